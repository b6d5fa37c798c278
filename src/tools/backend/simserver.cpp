#include "backend/simserver.h"

#include "backend/filler.h"

#include "base/hash.h"
#include "base/log.h"
#include "http/sockets.h"
#include "http/target.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace clementinefall::backend {

namespace json = boost::json;

using asio::ip::tcp;

namespace {

constexpr milliseconds ioTimeout { 30'000 };
/// Longer than the idle timeout of any entry instance, so that the entry instance closes the connection first.
constexpr milliseconds idleTimeout { 600'000 };
constexpr milliseconds reopenRetryDelay { 100 };
/// Bodies up to this size are received before admission, so that their hash is known when the execution starts.
constexpr std::uint64_t maximumEarlyBodyBytes = 64 * 1024;
constexpr std::uint64_t maximumTimeMs = 600'000;
constexpr std::uint64_t maximumFillerBytes = 1ULL << 36U;

std::optional<std::uint64_t> numberParameter(const http::Target& target, const std::string& name)
{
    const std::string text = target.parameter(name);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

template <typename Socket> void resetSocket(Socket& socket)
{
    beast::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/// Reads and discards input until the peer closes the connection or the stream's timeout expires.
Awaitable<void> discardUntilClosed(beast::tcp_stream& stream)
{
    std::vector<char> scratch(http::relayBufferBytes);
    while (true) {
        const auto [error, bytes] = co_await stream.async_read_some(asio::buffer(scratch), useTuple);
        if (error)
            co_return;
    }
}

} // namespace

struct SimServer::Connection {
    explicit Connection(tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { http::relayBufferBytes + http::maximumHeaderBytes };
    bool isSilenced = false;
};

struct SimServer::Execution {
    explicit Execution(asio::io_context& context)
        : stateTimer(context)
    {
    }

    enum class State : std::uint8_t { New, Queued, Running, Done };

    std::string identity;
    std::string path;
    State state = State::New;
    bool isCancelled = false;
    bool crashesServer = false;
    std::optional<milliseconds> workTime;
    std::uint64_t fillerBytes = 0;
    std::uint64_t bodyBytes = 0;
    StreamHash body;
    std::string bodyDigest;
    TimePoint deadline = TimePoint::max();
    /// Expires at the deadline in the queue, and at the end of the work in a slot. Cancelled when the state or
    /// isCancelled changes.
    asio::steady_timer stateTimer;

    void appendBody(std::string_view chunk)
    {
        this->body.update(chunk);
        this->bodyBytes += chunk.size();
    }

    void finishBody()
    {
        const Hash128 digest = this->body.digest();
        this->bodyDigest = fmt::format("{:016x}{:016x}", digest.high, digest.low);
    }
};

SimServer::SimServer(asio::io_context& serverContext, std::string service, bundle::BackendServer description,
    ServerProfile serverProfile, bundle::Priority priority, std::uint64_t seed)
    : context(serverContext)
    , serviceName(std::move(service))
    , server(std::move(description))
    , profile(serverProfile)
    , servicePriority(priority)
    , random(seed ^ hash64(this->server.name))
    , acceptor(serverContext)
    , processStart(Clock::now())
{
}

Status SimServer::open()
{
    const Status opened = http::openAcceptor(this->acceptor, this->server.address);
    if (!isOk(opened))
        return makeError(errorOf(opened).code, "server {}: {}", this->server.name, errorOf(opened).message);
    this->server.address.port = this->acceptor.local_endpoint().port();
    this->coldSince = Clock::now();
    asio::co_spawn(this->context, this->acceptLoop(this->shared_from_this()), asio::detached);
    return okStatus();
}

Status SimServer::start()
{
    this->processStart = Clock::now();
    return this->open();
}

void SimServer::stop()
{
    this->isStopped = true;
    beast::error_code ignored;
    this->acceptor.close(ignored);
    for (const ConnectionPtr& connection : this->connections)
        connection->stream.close();
    for (const ExecutionPtr& execution : this->executions)
        this->cancel(execution);
}

Awaitable<void> SimServer::acceptLoop(std::shared_ptr<SimServer> self)
{
    while (self->acceptor.is_open()) {
        auto [error, socket] = co_await self->acceptor.async_accept(self->context, useTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer timer(self->context, reopenRetryDelay);
            co_await timer.async_wait(useTuple);
            continue;
        }
        if (self->connections.size() >= self->server.maximumConnections) {
            ++self->serverCounters.connectionsRefused;
            resetSocket(socket);
            continue;
        }
        ++self->serverCounters.connections;
        self->busyUntil = std::max(self->busyUntil, Clock::now()) + self->profile.connectionCost;
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto connection = std::make_shared<Connection>(std::move(socket));
        self->connections.insert(connection);
        asio::co_spawn(self->context, self->serve(self, connection), asio::detached);
    }
}

Awaitable<void> SimServer::reopen(std::shared_ptr<SimServer> self, milliseconds delay)
{
    asio::steady_timer timer(self->context, delay);
    co_await timer.async_wait(useTuple);
    while (!self->isStopped && !isOk(self->open())) {
        timer.expires_after(reopenRetryDelay);
        co_await timer.async_wait(useTuple);
    }
}

Awaitable<void> SimServer::serve(std::shared_ptr<SimServer> self, ConnectionPtr connection)
{
    // Not written as a loop with an empty body and an awaited condition, because g++ 12 miscompiles that.
    bool isKeptAlive = true;
    while (isKeptAlive)
        isKeptAlive = co_await self->serveOne(connection);
    self->connections.erase(connection);
}

Awaitable<bool> SimServer::serveOne(ConnectionPtr connection)
{
    const auto exchange = std::make_shared<http::Exchange>(connection->stream, connection->buffer, ioTimeout);
    const Status received = co_await exchange->receiveHeader(Clock::now() + idleTimeout);
    if (!isOk(received)) {
        const bool hasReceivedBytes = connection->buffer.size() > 0;
        if (hasReceivedBytes && connection->stream.socket().is_open()) {
            exchange->setClosing();
            http::Response response = http::errorResponse(errorOf(received));
            co_await this->respond(connection, exchange, std::move(response));
        }
        co_return false;
    }
    co_await this->handle(connection, exchange);
    exchange->stopWatching();
    if (connection->isSilenced) {
        connection->stream.expires_never();
        co_await discardUntilClosed(connection->stream);
        co_return false;
    }
    if (!exchange->hasCompletedResponse()) {
        exchange->abort();
        co_return false;
    }
    if (exchange->isKeptAlive())
        co_return true;
    co_await http::discardInput(connection->stream);
    co_return false;
}

Awaitable<void> SimServer::handle(ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange)
{
    const auto target = http::parseTarget(exchange->header().target());
    if (!target) {
        http::Response response
            = http::errorResponse(makeError(ResultCode::BadRequest, "request target cannot be parsed"));
        co_return co_await this->respond(connection, exchange, std::move(response));
    }
    const auto method = exchange->header().method();
    if (method == http::Verb::get && (target->path == "/health" || target->path == "/load"))
        co_return co_await this->respondToProbe(connection, exchange, target->path == "/health");
    if (method == http::Verb::delete_ && target->segments.size() == 2 && target->segments[0] == "requests") {
        std::string identity = target->segments[1];
        co_return co_await this->cancelIdentity(connection, exchange, std::move(identity));
    }
    co_await this->runRequest(connection, exchange);
}

Awaitable<void> SimServer::respondToProbe(
    ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, bool isHealthProbe)
{
    ++this->serverCounters.probes;
    const TimePoint now = Clock::now();
    this->busyUntil = std::max(this->busyUntil, now) + this->profile.probeCost;
    const LoadReport report = this->isMisleading ? LoadReport() : this->history.at(now - this->profile.reportLag);
    asio::steady_timer timer(this->context, this->busyUntil);
    co_await timer.async_wait(useTuple);
    json::object body;
    if (isHealthProbe) {
        body = { { "server", this->server.name }, { "status", report.draining ? "draining" : "healthy" } };
    } else {
        body = { { "server", this->server.name }, { "running", report.running }, { "slots", this->server.slots },
            { "queue", report.queued } };
    }
    http::Response response = http::jsonResponse(200, json::serialize(body) + "\n");
    if (!this->isMisleading)
        this->setServerFields(response.base(), {});
    co_await this->respond(connection, exchange, std::move(response));
}

Awaitable<void> SimServer::cancelIdentity(
    ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, std::string identity)
{
    unsigned cancelledCount = 0;
    for (const ExecutionPtr& execution : this->executions) {
        if (execution->identity == identity && !execution->isCancelled) {
            this->cancel(execution);
            ++cancelledCount;
        }
    }
    const json::object body { { "cancelled", cancelledCount } };
    http::Response response = http::jsonResponse(cancelledCount > 0 ? 200 : 404, json::serialize(body) + "\n");
    this->setServerFields(response.base(), identity);
    co_await this->respond(connection, exchange, std::move(response));
}

SimServer::ExecutionPtr SimServer::newExecution(const http::RequestHeader& header)
{
    auto execution = std::make_shared<Execution>(this->context);
    const auto target = http::parseTarget(header.target());
    execution->identity = http::fieldValue(header, http::HeaderName::identity);
    execution->path = target->path;
    execution->crashesServer = target->parameter("crash") == "1";
    if (const auto workMs = numberParameter(*target, "workMs"))
        execution->workTime = milliseconds(std::min(*workMs, maximumTimeMs));
    execution->fillerBytes = std::min(numberParameter(*target, "bytes").value_or(0), maximumFillerBytes);
    if (const auto deadlineMs = http::fieldNumber(header, http::HeaderName::deadlineMs))
        execution->deadline = Clock::now() + milliseconds(std::min(*deadlineMs, maximumTimeMs));
    return execution;
}

void SimServer::watchDisconnect(const std::shared_ptr<http::Exchange>& exchange, const ExecutionPtr& execution)
{
    exchange->stopWatching();
    // Unread body bytes would end the watch, so it starts only after the body has been received.
    if (exchange->isBodyComplete())
        exchange->watchDisconnect([self = this->shared_from_this(), execution] { self->cancel(execution); });
}

std::string SimServer::countRejection(const Execution& execution, bool isFull)
{
    if (isFull) {
        ++this->serverCounters.shed;
        return "shed";
    }
    if (execution.isCancelled) {
        ++this->serverCounters.cancelled;
        return "cancelled";
    }
    ++this->serverCounters.expired;
    return "deadline";
}

Awaitable<void> SimServer::runRequest(ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange)
{
    const ExecutionPtr execution = this->newExecution(exchange->header());
    const auto length = exchange->bodyBytes();
    if (length && *length <= maximumEarlyBodyBytes) {
        const Status received = co_await this->receiveRemainingBody(execution, exchange);
        if (!isOk(received))
            co_return;
    }
    this->executions.insert(execution);
    this->watchDisconnect(exchange, execution);
    const bool isFull = this->running >= this->server.slots && this->queue.size() >= this->server.slots;
    if (!isFull && execution->deadline > Clock::now())
        this->beginOrQueue(execution);
    if (execution->state == Execution::State::Queued) {
        co_await execution->stateTimer.async_wait(useTuple);
        this->leaveQueue(execution);
    }
    if (execution->state != Execution::State::Running) {
        this->executions.erase(execution);
        const std::string reason = this->countRejection(*execution, isFull);
        co_return co_await this->sendRejection(connection, exchange, execution, reason);
    }
    co_await this->runInSlot(connection, exchange, execution);
}

Awaitable<void> SimServer::runInSlot(
    ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, ExecutionPtr execution)
{
    const Status received = co_await this->receiveRemainingBody(execution, exchange);
    if (isOk(received)) {
        this->watchDisconnect(exchange, execution);
        execution->stateTimer.expires_at(this->finishTime(*execution));
        if (!execution->isCancelled)
            co_await execution->stateTimer.async_wait(useTuple);
    }
    this->release(execution);
    if (!isOk(received) || execution->isCancelled) {
        ++this->serverCounters.cancelled;
        // Entry instances take a reset for a crash of the server, so a cancelled request gets a response if possible.
        http::Response response = http::jsonResponse(409, "{\"cancelled\":true}\n");
        this->setServerFields(response.base(), execution->identity);
        if (isOk(received))
            co_await this->respond(connection, exchange, std::move(response));
        co_return;
    }
    ++this->serverCounters.finished;
    if (execution->crashesServer) {
        this->crash(this->profile.restartTime);
        co_return;
    }
    co_await this->sendResult(connection, exchange, execution);
}

void SimServer::beginOrQueue(const ExecutionPtr& execution)
{
    if (this->running < this->server.slots) {
        this->begin(execution);
        return;
    }
    execution->state = Execution::State::Queued;
    this->queue.push_back(execution);
    this->recordLoad();
    execution->stateTimer.expires_at(execution->deadline);
}

void SimServer::leaveQueue(const ExecutionPtr& execution)
{
    std::erase(this->queue, execution);
    this->recordLoad();
}

Awaitable<Status> SimServer::receiveRemainingBody(ExecutionPtr execution, std::shared_ptr<http::Exchange> exchange)
{
    std::string chunk(exchange->isBodyComplete() ? 1 : http::relayBufferBytes, '\0');
    while (true) {
        const asio::mutable_buffer target = asio::buffer(chunk);
        const Result<std::size_t> received = co_await exchange->receiveBody(target);
        if (!isOk(received))
            co_return errorOf(received);
        if (valueOf(received) == 0)
            break;
        execution->appendBody(std::string_view(chunk).substr(0, valueOf(received)));
        if (execution->isCancelled)
            co_return makeError(ResultCode::UnknownCancelled, "cancelled");
    }
    execution->finishBody();
    if (execution->state == Execution::State::Running && !execution->identity.empty())
        this->effectsByIdentity[execution->identity].bodyHash = execution->bodyDigest;
    co_return okStatus();
}

TimePoint SimServer::finishTime(const Execution& execution)
{
    const TimePoint now = Clock::now();
    const Duration baseTime = execution.workTime
        ? Duration(*execution.workTime)
        : randomServiceTime(meanServiceTime(this->servicePriority), this->random);
    const double factor = this->slowFactor * coldServiceFactor(this->profile, now - this->coldSince);
    const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(baseTime) * factor);
    return std::max(now, this->busyUntil) + time;
}

void SimServer::begin(const ExecutionPtr& execution)
{
    execution->state = Execution::State::Running;
    ++this->running;
    ++this->serverCounters.started;
    this->serverCounters.highestConcurrency = std::max(this->serverCounters.highestConcurrency, this->running);
    const TimePoint now = Clock::now();
    if (this->drainRequestedAt) {
        ++this->serverCounters.startedAfterDrain;
        this->serverCounters.latestStartAfterDrain
            = std::chrono::duration_cast<milliseconds>(now - *this->drainRequestedAt);
    }
    if (!execution->identity.empty()) {
        Effect& effect = this->effectsByIdentity[execution->identity];
        if (effect.count++ == 0) {
            effect.firstAt = std::chrono::duration_cast<milliseconds>(now - this->processStart);
            effect.path = execution->path;
        }
        effect.bodyHash = execution->bodyDigest;
    }
    this->recordLoad();
}

void SimServer::release(const ExecutionPtr& execution)
{
    execution->state = Execution::State::Done;
    this->executions.erase(execution);
    --this->running;
    while (!this->queue.empty() && this->running < this->server.slots) {
        const ExecutionPtr next = this->queue.front();
        this->queue.pop_front();
        if (next->isCancelled || next->deadline <= Clock::now()) {
            next->stateTimer.cancel();
            continue;
        }
        this->begin(next);
        next->stateTimer.cancel();
    }
    this->recordLoad();
}

void SimServer::cancel(const ExecutionPtr& execution)
{
    execution->isCancelled = true;
    execution->stateTimer.cancel();
}

Awaitable<void> SimServer::sendResult(
    ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, ExecutionPtr execution)
{
    if (connection->isSilenced)
        co_return;
    const json::object line { { "identity", execution->identity }, { "server", this->server.name },
        { "path", execution->path }, { "bytes", execution->bodyBytes }, { "hash", execution->bodyDigest } };
    const std::string summary = json::serialize(line) + "\n";
    http::ResponseHeader header;
    header.result(200);
    header.set(http::Field::content_type, "application/octet-stream");
    this->setServerFields(header, execution->identity);
    Status sent = co_await exchange->sendHeader(std::move(header), summary.size() + execution->fillerBytes);
    const bool hasBody = exchange->header().method() != http::Verb::head;
    if (isOk(sent) && hasBody)
        sent = co_await exchange->sendBody(summary);
    std::string chunk;
    std::uint64_t offset = 0;
    while (isOk(sent) && hasBody && offset < execution->fillerBytes) {
        if (connection->isSilenced)
            co_return;
        chunk.resize(std::min<std::uint64_t>(http::relayBufferBytes, execution->fillerBytes - offset));
        fillBytes(execution->identity, offset, chunk);
        sent = co_await exchange->sendBody(chunk);
        offset += chunk.size();
    }
    if (isOk(sent) && !connection->isSilenced)
        co_await exchange->endBody();
}

Awaitable<void> SimServer::sendRejection(
    ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, ExecutionPtr execution, std::string reason)
{
    const json::object body { { "notRun", reason } };
    http::Response response = http::jsonResponse(503, json::serialize(body) + "\n");
    response.set(http::HeaderName::notRun, reason);
    this->setServerFields(response.base(), execution->identity);
    co_await this->respond(connection, exchange, std::move(response));
}

Awaitable<void> SimServer::respond(
    ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, http::Response response)
{
    if (!connection->isSilenced)
        co_await exchange->respond(std::move(response));
}

void SimServer::setServerFields(http::ResponseHeader& header, const std::string& identity)
{
    header.set("Clementine-Server", this->server.name);
    if (!identity.empty())
        header.set(http::HeaderName::identity, identity);
    if (this->drainRequestedAt)
        header.set(http::HeaderName::draining, "1");
}

void SimServer::recordLoad()
{
    const LoadReport report { this->running, static_cast<unsigned>(this->queue.size()),
        this->drainRequestedAt.has_value() };
    this->history.record(Clock::now(), report, this->profile.reportLag);
}

void SimServer::setDraining(bool on)
{
    if (!on)
        this->drainRequestedAt.reset();
    else if (!this->drainRequestedAt)
        this->drainRequestedAt = Clock::now();
    this->recordLoad();
}

void SimServer::crash(milliseconds restartTime)
{
    if (!this->acceptor.is_open())
        return;
    logInfo("server_crash", { { "server", this->server.name }, { "restart_ms", restartTime.count() } });
    ++this->serverCounters.crashes;
    beast::error_code ignored;
    this->acceptor.close(ignored);
    for (const ConnectionPtr& connection : this->connections)
        resetSocket(connection->stream.socket());
    for (const ExecutionPtr& execution : this->executions)
        this->cancel(execution);
    asio::co_spawn(this->context, this->reopen(this->shared_from_this(), restartTime), asio::detached);
}

std::size_t SimServer::silenceConnections()
{
    for (const ConnectionPtr& connection : this->connections)
        connection->isSilenced = true;
    return this->connections.size();
}

void SimServer::reset()
{
    this->effectsByIdentity.clear();
    this->serverCounters = ServerCounters();
    this->isMisleading = false;
    this->slowFactor = 1.0;
    this->setDraining(false);
}

} // namespace clementinefall::backend
