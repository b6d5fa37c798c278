#include "forwarding/callersession.h"

#include "base/log.h"
#include "forwarding/peerforwarding.h"
#include "forwarding/stopschedule.h"
#include "http/readsome.h"
#include "http/syntaxerror.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>

namespace clementinefall::forwarding {

using asio::ip::tcp;

namespace {

/// Limit of queued requests per connection; further ones stay in the socket's receive buffer.
constexpr std::size_t maximumPipelinedRequests = 16;

/// Limit of the bytes that are received but not parsed yet, beyond the limit of a header. Chunk extensions and trailers
/// are parsed as a whole, so a caller could fill the memory with one that never ends.
constexpr std::size_t maximumUnparsedBytes = 64UL * 1024;

/// Maximum time between two reads of a body.
constexpr seconds bodyReadTimeout { 10 };

/// After the last response, input is discarded for up to this time. Closing with unread input would reset the
/// connection and could lose the response.
constexpr milliseconds discardTimeout { 500 };

/// Retry-After of an instance that is stopping. Short, as another instance can accept the request at once.
constexpr milliseconds stoppingRetryAfter { 50 };

/// Retry-After when memory is exhausted; it is freed as other requests complete.
constexpr milliseconds memoryRetryAfter { 300 };

/// Retry-After when there are too many connections or requests of other instances.
constexpr milliseconds crowdedRetryAfter { 300 };

/// Memory for the state of a request beside its header and body.
constexpr std::size_t requestStateBytes = 4096;

std::size_t headerBytes(const ForwardedRequest& request)
{
    std::size_t bytes = request.method.size() + request.target.size() + request.host.size();
    for (const auto& [name, value] : request.fields)
        bytes += name.size() + value.size();
    return bytes;
}

ResultCode codeOfReadError(beast::error_code error)
{
    if (error == beast::http::error::header_limit)
        return ResultCode::HeaderTooLarge;
    if (error == beast::http::error::body_limit)
        return ResultCode::BodyTooLarge;
    return ResultCode::BadRequest;
}

Error notEnoughMemory()
{
    return makeError(ResultCode::NotRunMemory, "the memory for messages under way is exhausted");
}

} // namespace

struct CallerSession::QueuedRequest {
    explicit QueuedRequest(const asio::any_io_executor& executor)
        : turn(executor, TimePoint::max())
    {
    }

    std::shared_ptr<RequestContext> requestContext = std::make_shared<RequestContext>();
    asio::steady_timer turn; ///< Cancelled when the request becomes the first in the queue.
    bool keepAlive = true;
};

/// Streams a response to the caller once its request is first in the queue.
class CallerSession::StreamingSink : public ResponseSink {
public:
    StreamingSink(std::shared_ptr<CallerSession> sinkSession, std::shared_ptr<QueuedRequest> queuedRequest)
        : session(std::move(sinkSession))
        , queued(std::move(queuedRequest))
    {
    }

    Awaitable<bool> begin(const CallerResponse& head, std::optional<std::size_t> length) override
    {
        this->queued->requestContext->isStreaming = true;
        if (!co_await this->session->awaitTurn(this->queued))
            co_return false;
        this->isChunked = !length;
        const std::string text = this->session->encodeHead(head, length);
        co_return co_await this->session->write(std::array { asio::buffer(text) });
    }

    bool canPassOn() const override
    {
        return this->queued->requestContext->isStreaming || this->session->queue.front() == this->queued;
    }

    Awaitable<bool> write(std::string_view chunk) override
    {
        const asio::const_buffer content = asio::buffer(chunk.data(), chunk.size());
        if (!this->isChunked)
            co_return co_await this->session->write(std::array { content });
        const std::string size = fmt::format("{:x}\r\n", chunk.size());
        constexpr std::string_view end = "\r\n";
        const asio::const_buffer ending = asio::buffer(end.data(), end.size());
        co_return co_await this->session->write(std::array { asio::const_buffer(asio::buffer(size)), content, ending });
    }

    Awaitable<bool> end()
    {
        if (!this->isChunked)
            co_return true;
        constexpr std::string_view last = "0\r\n\r\n";
        co_return co_await this->session->write(std::array { asio::buffer(last.data(), last.size()) });
    }

private:
    std::shared_ptr<CallerSession> session;
    std::shared_ptr<QueuedRequest> queued;
    bool isChunked = false;
};

CallerSession::CallerSession(tcp::socket callerSocket, std::shared_ptr<SessionContext> sessionContext,
    RequestSource requestSource, SessionMode sessionMode)
    : socket(std::move(callerSocket))
    , watchdog(this->socket.get_executor())
    , writeWatchdog(this->socket.get_executor())
    , queueSignal(this->socket.get_executor())
    , context(std::move(sessionContext))
    , source(requestSource)
    , mode(sessionMode)
{
}

CallerLimits CallerSession::limits() const
{
    const auto& configuration = this->context->forwarder->configuration();
    return configuration ? configuration->limits : CallerLimits {};
}

void CallerSession::armWatchdog(TimePoint deadline)
{
    this->hasReadTimedOut = false;
    this->watchdog.expires_at(deadline);
    this->watchdog.async_wait([weak = this->weak_from_this(), deadline](beast::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->watchdog.expiry() != deadline)
            return;
        // Ends the read alone: the response to an earlier request may be on its way to the caller.
        self->hasReadTimedOut = true;
        self->readCancellation.emit(asio::cancellation_type::terminal);
    });
}

void CallerSession::armWriteWatchdog()
{
    this->writeWatchdog.expires_after(this->context->writeTimeout);
    this->writeWatchdog.async_wait([weak = this->weak_from_this()](beast::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->isClosed)
            return;
        logInfo("caller_too_slow",
            { { "timeout_ms", std::chrono::duration_cast<milliseconds>(self->context->writeTimeout).count() } });
        self->close();
    });
}

void CallerSession::armIdleTimeout()
{
    if (this->queue.empty() && !this->isReading)
        this->armWatchdog(Clock::now() + this->limits().idleTimeout);
}

bool CallerSession::isIdle() const
{
    if (!this->queue.empty() || this->buffer.size() > 0 || this->isReading)
        return false;
    beast::error_code error;
    return this->socket.available(error) == 0 || error;
}

void CallerSession::close()
{
    if (this->isClosed)
        return;
    this->isClosed = true;
    this->watchdog.cancel();
    this->writeWatchdog.cancel();
    this->queueSignal.cancel();
    beast::error_code ignored;
    this->socket.close(ignored);
    this->cancelRequests();
}

void CallerSession::cancelRequests()
{
    const auto queuedRequests = this->queue;
    for (const auto& queued : queuedRequests) {
        queued->requestContext->cancel();
        queued->turn.cancel();
    }
}

Awaitable<void> CallerSession::run()
{
    const auto self = this->shared_from_this();
    this->connectionMemory = this->context->memory->open([weak = this->weak_from_this()] {
        if (const auto session = weak.lock())
            session->close();
    });
    beast::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    while (!this->isClosed && !this->willClose) {
        if (!co_await this->receive())
            break;
        while (this->queue.size() >= maximumPipelinedRequests && !this->isClosed) {
            this->queueSignal.expires_at(TimePoint::max());
            co_await this->queueSignal.async_wait(useTuple);
        }
    }
}

Awaitable<bool> CallerSession::receive()
{
    this->isReading = false;
    if (this->buffer.size() == 0) {
        if (this->queue.empty()) {
            const CallerLimits waits = this->limits();
            this->armWatchdog(
                Clock::now() + (this->mode == SessionMode::Serve ? waits.idleTimeout : waits.headerTimeout));
        }
        const auto [waitError] = co_await this->socket.async_wait(
            tcp::socket::wait_read, asio::bind_cancellation_slot(this->readCancellation.slot(), useTuple));
        if (waitError) {
            this->close();
            co_return false;
        }
    }
    const CallerLimits bounds = this->limits();
    this->armWatchdog(Clock::now() + bounds.headerTimeout);
    this->buffer.max_size(bounds.maximumHeaderBytes + maximumUnparsedBytes);
    auto queued = std::make_shared<QueuedRequest>(this->socket.get_executor());
    const auto memory = std::make_shared<MessageMemory>(this->connectionMemory);
    queued->requestContext->memory = memory;
    Parser parser;
    parser.header_limit(bounds.maximumHeaderBytes);
    parser.body_limit(bounds.maximumBodyBytes);
    this->isReading = true;
    beast::error_code headerError;
    bool isMemoryExhausted = false;
    while (!headerError && !parser.is_header_done() && !isMemoryExhausted) {
        headerError = co_await this->readSome(parser);
        memory->holdRequest(this->buffer.size());
        isMemoryExhausted
            = this->buffer.size() > guaranteedBytes && this->context->memory->pressure() == MemoryPressure::Exhausted;
    }
    if (this->isClosed)
        co_return false;
    if (this->willClose) {
        // The last response announced the close, so the caller repeats this request on another connection.
        co_await this->discardInput();
        this->close();
        co_return false;
    }
    if (!headerError && !parser.is_header_done()) {
        co_await this->reject(notEnoughMemory(), nullptr);
        this->close();
        co_return false;
    }
    if (headerError) {
        const bool isSlow = headerError == asio::error::operation_aborted && this->buffer.size() > 0;
        if (isSlow || http::isSyntaxError(headerError)) {
            const Error problem = isSlow
                ? makeError(ResultCode::SlowSender, "the header was not received before the header timeout")
                : makeError(codeOfReadError(headerError), "{}", headerError.message());
            co_await this->reject(problem, nullptr);
        }
        this->close();
        co_return false;
    }
    Result<ForwardedRequest> decoded = decodeRequest(parser.get().base(), this->context->names, Clock::now());
    if (isOk(decoded) && this->source == RequestSource::EntryInstance) {
        const Status status = decodePeerRequest(valueOf(decoded));
        if (!isOk(status))
            decoded = errorOf(status);
    }
    if (!isOk(decoded)) {
        co_await this->reject(errorOf(decoded), nullptr);
        this->close();
        co_return false;
    }
    auto request = std::make_shared<ForwardedRequest>(valueOf(decoded));
    request->hasBody = parser.content_length() || parser.chunked();
    queued->keepAlive = parser.keep_alive();
    queued->requestContext->request = request;
    if (!memory->reserveRequest(requestStateBytes + headerBytes(*request))) {
        co_await this->reject(notEnoughMemory(), request);
        this->close();
        co_return false;
    }
    if (!parser.is_done()) {
        const Status bodyStatus = co_await this->receiveBody(parser, queued, bounds.maximumBodyBytes);
        if (!isOk(bodyStatus)) {
            if (!this->isClosed && errorOf(bodyStatus).code != ResultCode::UnknownCancelled)
                co_await this->reject(errorOf(bodyStatus), request);
            this->close();
            co_return false;
        }
    }
    if (this->willClose) {
        // A response that announced the close left while the body was arriving, so the caller repeats this request.
        this->close();
        co_return false;
    }
    this->watchdog.cancel();
    this->isReading = false;
    if (this->buffer.size() == 0)
        this->buffer.shrink_to_fit(); // The connection may be idle for long.
    request->body = std::move(parser.get().body());
    request->receivedAt = Clock::now();
    this->queue.push_back(queued);
    ++this->context->inProgress;
    if (!queued->keepAlive)
        this->willClose = true;
    const auto onEnd = [self = this->shared_from_this(), queued](const std::exception_ptr& error) {
        if (error)
            self->abandon(queued, error);
    };
    asio::co_spawn(this->socket.get_executor(), this->serve(queued), onEnd);
    if (this->willClose) {
        // Further requests are ignored; reading only detects that the caller closes the connection.
        co_await this->discardInput();
        if (!this->queue.empty())
            this->close();
        co_return false;
    }
    co_return true;
}

Awaitable<beast::error_code> CallerSession::readSome(Parser& parser)
{
    const std::size_t maximumBytes = parser.is_header_done() ? maximumBodyReadBytes : maximumHeaderReadBytes;
    const beast::error_code error
        = co_await http::readSome(this->socket, this->buffer, parser, maximumBytes, this->readCancellation.slot());
    // The watchdog may fire when the read has ended but this coroutine has not been resumed yet.
    co_return !error && this->hasReadTimedOut ? asio::error::operation_aborted : error;
}

Awaitable<Status> CallerSession::receiveBody(
    Parser& parser, std::shared_ptr<QueuedRequest> queued, std::uint64_t limitBytes)
{
    const auto length = parser.content_length();
    if (length && *length > limitBytes)
        co_return makeError(ResultCode::BodyTooLarge, "the body exceeds the limit of {} bytes", limitBytes);
    const std::size_t head = requestStateBytes + headerBytes(*queued->requestContext->request);
    MessageMemory& memory = *queued->requestContext->memory;
    if (!memory.reserveRequest(head + length.value_or(this->buffer.size())))
        co_return notEnoughMemory();
    const auto expectation = parser.get()[http::Field::expect];
    if (beast::iequals(expectation, "100-continue") && this->queue.empty()) {
        constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        const asio::const_buffer text = asio::buffer(proceed.data(), proceed.size());
        co_await asio::async_write(this->socket, text, useTuple);
    }
    while (!parser.is_done()) {
        this->armWatchdog(Clock::now() + bodyReadTimeout);
        const beast::error_code error = co_await this->readSome(parser);
        if (error && http::isSyntaxError(error))
            co_return makeError(codeOfReadError(error), "{}", error.message());
        if (error == asio::error::operation_aborted && !this->isClosed)
            co_return makeError(ResultCode::SlowSender, "the read timeout for the body has elapsed");
        if (error || this->isClosed)
            co_return makeError(
                ResultCode::UnknownCancelled, "the caller closed the connection before the body was complete");
        // A body of a known length was admitted at its begin, and is not rejected halfway.
        const std::uint64_t received = head + parser.get().body().size() + this->buffer.size();
        if (length)
            memory.holdRequest(std::max(head + *length, received));
        else if (!memory.reserveRequest(received))
            co_return notEnoughMemory();
    }
    co_return okStatus();
}

Awaitable<bool> CallerSession::awaitTurn(std::shared_ptr<QueuedRequest> queued)
{
    while (!this->isClosed && this->queue.front() != queued)
        co_await queued->turn.async_wait(useTuple);
    co_return !this->isClosed;
}

Awaitable<void> CallerSession::serve(std::shared_ptr<QueuedRequest> queued)
{
    const auto self = this->shared_from_this();
    const ForwardedRequest& request = *queued->requestContext->request;
    const bool isHead = request.method == "HEAD";
    // Only idempotent requests run concurrently with an earlier one: if its response closes the connection, the caller
    // repeats the requests behind it.
    this->context->forwarder->resolve(*queued->requestContext);
    const Route* route = queued->requestContext->route;
    const bool isIdempotent = route != nullptr && route->isIdempotent();
    if (!isIdempotent && this->queue.front() != queued && !co_await this->awaitTurn(queued)) {
        this->finishRequest(queued);
        co_return;
    }
    StreamingSink sink(self, queued);
    queued->requestContext->sink = &sink;
    Forwarder::Outcome outcome;
    if (const std::optional<Rejection> rejection = this->findRejection(*queued->requestContext)) {
        outcome.response = responseForError(rejection->error, request.id, this->context->names,
            this->context->forwarder->withJitter(rejection->retryAfter));
    } else {
        outcome = co_await this->forward(queued->requestContext);
    }
    if (this->isClosed || queued->requestContext->isCancelled) {
        this->finishRequest(queued);
        co_return;
    }
    if (outcome.wasStreamed) {
        if (outcome.isTruncated || !co_await sink.end())
            this->close();
        this->finishRequest(queued);
        co_return;
    }
    if (!co_await this->awaitTurn(queued)) {
        this->finishRequest(queued);
        co_return;
    }
    // A request that is being received is answered, too, and closes the connection then.
    const bool isLast = this->queue.size() == 1 && !this->isReading;
    const bool closes
        = !queued->keepAlive || (this->context->isStopping && isLast) || this->mode == SessionMode::Reject;
    outcome.response.closesConnection = closes;
    if (closes)
        this->willClose = true;
    const bool sent = co_await this->send(outcome.response, isHead);
    this->finishRequest(queued);
    if (!sent) {
        this->close();
    } else if (closes) {
        beast::error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
        this->armWatchdog(Clock::now() + discardTimeout);
    } else {
        this->armIdleTimeout();
    }
}

void CallerSession::abandon(const std::shared_ptr<QueuedRequest>& queued, const std::exception_ptr& error)
{
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& exception) {
        logError("request_abandoned", { { "id", queued->requestContext->request->id }, { "why", exception.what() } });
    }
    this->close();
    this->finishRequest(queued);
}

bool CallerSession::isTooLate(const RequestContext& requestContext) const
{
    if (this->context->rejectsNewRequests)
        return true;
    const std::optional<TimePoint>& answerAllAt = this->context->answerAllAt;
    return answerAllAt
        && !canAnswerBefore(*answerAllAt, this->context->forwarder->usualProcessingTime(requestContext), Clock::now());
}

bool CallerSession::hasRoomFor(const Route* route) const
{
    const auto& counts = this->context->peerRequestsByRoute;
    PeerRequestLoad load { .limit = this->context->maximumPeerRequests };
    for (const auto& [name, count] : counts)
        load.total += count;
    if (const auto found = route == nullptr ? counts.end() : counts.find(route->name); found != counts.end())
        load.ofRoute = found->second;
    if (const auto& configuration = this->context->forwarder->configuration())
        load.routes = configuration->routes.size();
    return hasRoomForPeerRequest(load);
}

std::optional<CallerSession::Rejection> CallerSession::findRejection(const RequestContext& requestContext) const
{
    if (this->mode == SessionMode::Reject)
        return Rejection { makeError(ResultCode::TooManyConnections, "too many connections are open"),
            crowdedRetryAfter };
    if (this->isTooLate(requestContext))
        return Rejection { makeError(ResultCode::NotRunStopping, "the instance is stopping"), stoppingRetryAfter };
    if (this->source == RequestSource::EntryInstance && !this->hasRoomFor(requestContext.route))
        return Rejection { makeError(ResultCode::NotRunNoCapacity, "too many requests of other instances are waiting"),
            crowdedRetryAfter };
    return std::nullopt;
}

Awaitable<Forwarder::Outcome> CallerSession::forward(std::shared_ptr<RequestContext> requestContext)
{
    const auto self = this->shared_from_this();
    if (this->source != RequestSource::EntryInstance || requestContext->route == nullptr)
        co_return co_await this->context->forwarder->forward(requestContext);
    auto& counts = this->context->peerRequestsByRoute;
    const std::string route = requestContext->route->name;
    const auto leave = [&counts, &route](std::size_t* count) {
        if (--*count == 0)
            counts.erase(route);
    };
    // Also when an exception ends the request.
    const std::unique_ptr<std::size_t, decltype(leave)> counted(&++counts[route], leave);
    co_return co_await this->context->forwarder->forward(requestContext);
}

void CallerSession::finishRequest(const std::shared_ptr<QueuedRequest>& queued)
{
    const auto found = std::find(this->queue.begin(), this->queue.end(), queued);
    if (found == this->queue.end())
        return;
    this->queue.erase(found);
    --this->context->inProgress;
    if (!this->queue.empty())
        this->queue.front()->turn.cancel();
    this->queueSignal.cancel();
}

std::string CallerSession::encodeHead(const CallerResponse& response, std::optional<std::size_t> bodyBytes) const
{
    return this->source == RequestSource::EntryInstance ? encodePeerResponseHead(response, bodyBytes)
                                                        : encodeResponseHead(response, bodyBytes);
}

Awaitable<bool> CallerSession::send(const CallerResponse& response, bool isHead)
{
    const std::string head = this->encodeHead(response, response.announcedBytes.value_or(response.body.size()));
    std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::const_buffer {} };
    if (!isHead && response.status != 204 && response.status != 304)
        buffers[1] = asio::buffer(response.body);
    co_return co_await this->write(buffers);
}

template <std::size_t count> Awaitable<bool> CallerSession::write(std::array<asio::const_buffer, count> buffers)
{
    const auto self = this->shared_from_this();
    this->armWriteWatchdog();
    beast::buffers_suffix<std::array<asio::const_buffer, count>> rest(buffers);
    beast::error_code error;
    while (!error && beast::buffer_bytes(rest) > 0) {
        this->connectionMemory->recordWriteProgress(Clock::now());
        const auto [writeError, bytes] = co_await this->socket.async_write_some(rest, useTuple);
        rest.consume(bytes);
        error = writeError;
    }
    this->connectionMemory->recordWriteEnd();
    this->writeWatchdog.cancel();
    co_return !error;
}

Awaitable<void> CallerSession::reject(const Error& error, std::shared_ptr<const ForwardedRequest> request)
{
    const std::string requestId = request ? request->id : std::string();
    if (error.code == ResultCode::NotRunMemory)
        this->context->memory->recordRejection();
    // Waits for the responses to earlier requests, to keep the order.
    while (!this->queue.empty() && !this->isClosed) {
        this->queueSignal.expires_at(TimePoint::max());
        co_await this->queueSignal.async_wait(useTuple);
    }
    if (this->isClosed)
        co_return;
    CallerResponse response = responseForError(
        error, requestId, this->context->names, this->context->forwarder->withJitter(memoryRetryAfter));
    response.closesConnection = true;
    this->willClose = true;
    logInfo("request_rejected",
        { { "id", requestId }, { "status", response.status }, { "code", number(error.code) },
            { "why", error.message } });
    if (!co_await this->send(response, false))
        co_return;
    beast::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->armWatchdog(Clock::now() + discardTimeout);
    co_await this->discardInput();
}

Awaitable<void> CallerSession::discardInput()
{
    std::array<char, 4096> scratch {};
    while (true) {
        const auto [error, bytes] = co_await this->socket.async_read_some(
            asio::buffer(scratch), asio::bind_cancellation_slot(this->readCancellation.slot(), useTuple));
        if (error)
            co_return;
    }
}

} // namespace clementinefall::forwarding
