#include "forwarding/callersession.h"

#include "base/log.h"
#include "http/syntaxerror.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>

namespace clementinefall::forwarding {

using asio::ip::tcp;

namespace {

/// Requests of one connection that are on the way at the same time; more wait in the socket.
constexpr std::size_t maximumQueued = 16;

/// A caller that takes nothing of an answer for this long has gone.
constexpr seconds writeTimeout { 20 };

/// Longest time between two pieces of a body.
constexpr seconds bodyStall { 10 };

/// After an error answer the rest of the request is read and dropped, so that the close does not reset the connection
/// and take the answer with it.
constexpr milliseconds discardTime { 500 };

/// Refusals of an instance that is stopping: another one can take the request at once.
constexpr milliseconds stoppingRetryAfter { 50 };

/// Memory for bodies is freed as other requests end.
constexpr milliseconds memoryRetryAfter { 300 };

ResultCode codeOfReadError(beast::error_code error)
{
    if (error == beast::http::error::header_limit)
        return ResultCode::HeaderTooLarge;
    if (error == beast::http::error::body_limit)
        return ResultCode::BodyTooLarge;
    return ResultCode::BadRequest;
}

} // namespace

struct CallerSession::Entry {
    explicit Entry(const asio::any_io_executor& executor)
        : turn(executor, TimePoint::max())
    {
    }

    std::shared_ptr<RequestTicket> ticket = std::make_shared<RequestTicket>();
    asio::steady_timer turn; ///< Cancelled when the entry becomes the first.
    bool keepAlive = true;
    std::uint64_t heldBytes = 0;
};

/// Passes a long answer on in pieces, once it is its turn.
class CallerSession::Sink : public AnswerSink {
public:
    Sink(std::shared_ptr<CallerSession> sinkSession, std::shared_ptr<Entry> sinkEntry)
        : session(std::move(sinkSession))
        , entry(std::move(sinkEntry))
    {
    }

    Awaitable<bool> begin(const CallerAnswer& head, std::optional<std::size_t> length) override
    {
        if (!co_await this->session->awaitTurn(this->entry))
            co_return false;
        this->chunked = !length;
        const std::string text = encodeAnswerHead(head, length);
        co_return co_await this->put(text);
    }

    Awaitable<bool> write(std::string_view piece) override
    {
        if (!this->chunked)
            co_return co_await this->put(piece);
        const std::string text = fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
        co_return co_await this->put(text);
    }

    Awaitable<bool> end()
    {
        if (!this->chunked)
            co_return true;
        co_return co_await this->put("0\r\n\r\n");
    }

private:
    Awaitable<bool> put(std::string_view text)
    {
        const auto [error, bytes]
            = co_await asio::async_write(this->session->socket, asio::buffer(text.data(), text.size()), useTuple);
        co_return !error;
    }

    std::shared_ptr<CallerSession> session;
    std::shared_ptr<Entry> entry;
    bool chunked = false;
};

CallerSession::CallerSession(tcp::socket callerSocket, std::shared_ptr<SessionContext> sessionContext)
    : socket(std::move(callerSocket))
    , watchdog(this->socket.get_executor())
    , writeWatchdog(this->socket.get_executor())
    , roomSignal(this->socket.get_executor())
    , context(std::move(sessionContext))
{
}

CallerLimits CallerSession::limits() const
{
    const auto& configuration = this->context->forwarder->configuration();
    return configuration ? configuration->limits : CallerLimits {};
}

void CallerSession::arm(TimePoint deadline)
{
    this->watchdog.expires_at(deadline);
    this->watchdog.async_wait([weak = this->weak_from_this(), deadline](beast::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->watchdog.expiry() != deadline)
            return;
        beast::error_code ignored;
        self->socket.cancel(ignored);
    });
}

void CallerSession::armForIdle()
{
    if (this->queue.empty() && !this->isReading)
        this->arm(Clock::now() + this->limits().idleTimeout);
}

void CallerSession::close()
{
    if (this->isClosed)
        return;
    this->isClosed = true;
    this->watchdog.cancel();
    this->writeWatchdog.cancel();
    this->roomSignal.cancel();
    beast::error_code ignored;
    this->socket.close(ignored);
    this->abandon();
}

void CallerSession::abandon()
{
    const auto entries = this->queue;
    for (const auto& entry : entries) {
        entry->ticket->cancel();
        entry->turn.cancel();
    }
}

Awaitable<void> CallerSession::run()
{
    const auto self = this->shared_from_this();
    beast::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    while (!this->isClosed && !this->isLast) {
        if (!co_await this->receive())
            break;
        while (this->queue.size() >= maximumQueued && !this->isClosed) {
            this->roomSignal.expires_at(TimePoint::max());
            co_await this->roomSignal.async_wait(useTuple);
        }
    }
}

Awaitable<bool> CallerSession::receive()
{
    this->isReading = false;
    if (this->buffer.size() == 0) {
        if (this->queue.empty())
            this->arm(Clock::now() + this->limits().idleTimeout);
        const auto [waitError] = co_await this->socket.async_wait(tcp::socket::wait_read, useTuple);
        if (waitError) {
            this->close();
            co_return false;
        }
    }
    const CallerLimits bounds = this->limits();
    this->arm(Clock::now() + bounds.headerTimeout);
    Parser parser;
    parser.header_limit(bounds.maximumHeaderBytes);
    parser.body_limit(bounds.maximumBodyBytes);
    this->isReading = true;
    const auto [headerError, headerBytes]
        = co_await beast::http::async_read_header(this->socket, this->buffer, parser, useTuple);
    if (this->isClosed)
        co_return false;
    if (this->isLast) {
        // The last answer has said that the connection closes; the caller sends this request again.
        co_await this->discardInput();
        this->close();
        co_return false;
    }
    if (headerError) {
        const bool isSlow = headerError == asio::error::operation_aborted && this->buffer.size() > 0;
        if (isSlow || http::isSyntaxError(headerError)) {
            const Error problem = isSlow ? makeError(ResultCode::SlowSender, "the header took too long")
                                         : makeError(codeOfReadError(headerError), "{}", headerError.message());
            co_await this->reject(problem, nullptr);
        }
        this->close();
        co_return false;
    }
    const Result<ForwardedRequest> decoded = decodeRequest(parser.get().base(), this->context->names, Clock::now());
    if (!isOk(decoded)) {
        co_await this->reject(errorOf(decoded), nullptr);
        this->close();
        co_return false;
    }
    auto entry = std::make_shared<Entry>(this->socket.get_executor());
    auto request = std::make_shared<ForwardedRequest>(valueOf(decoded));
    request->hasBody = parser.content_length() || parser.chunked();
    entry->keepAlive = parser.keep_alive();
    entry->ticket->request = request;
    if (!parser.is_done()) {
        const Status whole = co_await this->receiveBody(parser, entry, bounds.maximumBodyBytes);
        if (!isOk(whole)) {
            if (!this->isClosed && errorOf(whole).code != ResultCode::UnknownCancelled)
                co_await this->reject(errorOf(whole), request);
            this->context->bodies.giveBack(entry->heldBytes);
            this->close();
            co_return false;
        }
    }
    this->watchdog.cancel();
    this->isReading = false;
    request->body = std::move(parser.get().body());
    request->receivedAt = Clock::now();
    this->queue.push_back(entry);
    ++this->context->inProgress;
    if (!entry->keepAlive)
        this->isLast = true;
    asio::co_spawn(this->socket.get_executor(), this->serve(entry), asio::detached);
    if (this->isLast) {
        // Nothing more is read as a request; only the caller's leaving matters.
        co_await this->discardInput();
        if (!this->queue.empty())
            this->close();
        co_return false;
    }
    co_return true;
}

Awaitable<Status> CallerSession::receiveBody(Parser& parser, std::shared_ptr<Entry> entry, std::uint64_t limitBytes)
{
    const auto length = parser.content_length();
    if (length && *length > limitBytes)
        co_return makeError(ResultCode::BodyTooLarge, "the body is over {} bytes", limitBytes);
    const auto hold = [&](std::uint64_t bytes) {
        if (bytes <= entry->heldBytes)
            return true;
        if (!this->context->bodies.take(bytes - entry->heldBytes))
            return false;
        entry->heldBytes = bytes;
        return true;
    };
    if (length && !hold(*length))
        co_return makeError(ResultCode::NotRunBodyLimit, "no memory for a body of {} bytes now", *length);
    const auto expectation = parser.get()[http::Field::expect];
    if (beast::iequals(expectation, "100-continue") && this->queue.empty()) {
        constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        const asio::const_buffer text = asio::buffer(proceed.data(), proceed.size());
        co_await asio::async_write(this->socket, text, useTuple);
    }
    while (!parser.is_done()) {
        this->arm(Clock::now() + bodyStall);
        const auto [error, bytes] = co_await beast::http::async_read_some(this->socket, this->buffer, parser, useTuple);
        if (error && http::isSyntaxError(error))
            co_return makeError(codeOfReadError(error), "{}", error.message());
        if (error == asio::error::operation_aborted && !this->isClosed)
            co_return makeError(ResultCode::SlowSender, "the body took too long");
        if (error || this->isClosed)
            co_return makeError(ResultCode::UnknownCancelled, "the caller left before its body was complete");
        if (!hold(parser.get().body().size()))
            co_return makeError(ResultCode::NotRunBodyLimit, "no memory for the body now");
    }
    co_return okStatus();
}

Awaitable<bool> CallerSession::awaitTurn(std::shared_ptr<Entry> entry)
{
    while (!this->isClosed && this->queue.front() != entry)
        co_await entry->turn.async_wait(useTuple);
    co_return !this->isClosed;
}

Awaitable<void> CallerSession::serve(std::shared_ptr<Entry> entry)
{
    const auto self = this->shared_from_this();
    const ForwardedRequest& request = *entry->ticket->request;
    const bool isHead = request.method == "HEAD";
    // Only requests that may be repeated run beside an earlier one: what follows an answer that closes the connection
    // is sent again.
    this->context->forwarder->resolve(*entry->ticket);
    const Route* route = entry->ticket->route;
    const bool mayRepeat = route != nullptr && route->isIdempotent();
    if (!mayRepeat && this->queue.front() != entry && !co_await this->awaitTurn(entry)) {
        this->finishEntry(entry);
        co_return;
    }
    Sink sink(self, entry);
    entry->ticket->sink = &sink;
    Forwarder::Outcome outcome;
    if (this->context->refusesNew) {
        outcome.answer = answerForError(makeError(ResultCode::NotRunStopping, "this instance is stopping"), request.id,
            this->context->names, stoppingRetryAfter);
    } else {
        outcome = co_await this->context->forwarder->forward(entry->ticket);
    }
    if (this->isClosed || entry->ticket->isCancelled) {
        this->finishEntry(entry);
        co_return;
    }
    if (outcome.wasStreamed) {
        if (outcome.isCut || !co_await sink.end())
            this->close();
        this->finishEntry(entry);
        co_return;
    }
    if (!co_await this->awaitTurn(entry)) {
        this->finishEntry(entry);
        co_return;
    }
    const bool closes = !entry->keepAlive || (this->context->isStopping && this->queue.size() == 1);
    outcome.answer.closesConnection = closes;
    if (closes)
        this->isLast = true;
    const bool sent = co_await this->send(outcome.answer, isHead);
    this->finishEntry(entry);
    if (!sent) {
        this->close();
    } else if (closes) {
        beast::error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
        this->arm(Clock::now() + discardTime);
    } else {
        this->armForIdle();
    }
}

void CallerSession::finishEntry(const std::shared_ptr<Entry>& entry)
{
    const auto found = std::find(this->queue.begin(), this->queue.end(), entry);
    if (found == this->queue.end())
        return;
    this->queue.erase(found);
    this->context->bodies.giveBack(entry->heldBytes);
    --this->context->inProgress;
    if (!this->queue.empty())
        this->queue.front()->turn.cancel();
    this->roomSignal.cancel();
}

Awaitable<bool> CallerSession::send(const CallerAnswer& answer, bool isHead)
{
    const std::string head = encodeAnswerHead(answer, answer.body.size());
    std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::const_buffer {} };
    if (!isHead && answer.status != 204 && answer.status != 304)
        buffers[1] = asio::buffer(answer.body);
    this->writeWatchdog.expires_after(writeTimeout);
    this->writeWatchdog.async_wait([weak = this->weak_from_this()](beast::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->close();
    });
    const auto [error, bytes] = co_await asio::async_write(this->socket, buffers, useTuple);
    this->writeWatchdog.cancel();
    co_return !error;
}

Awaitable<void> CallerSession::reject(const Error& error, std::shared_ptr<const ForwardedRequest> request)
{
    const std::string requestId = request ? request->id : std::string();
    // Answers keep their order, also those to requests that could not be read.
    while (!this->queue.empty() && !this->isClosed) {
        this->roomSignal.expires_at(TimePoint::max());
        co_await this->roomSignal.async_wait(useTuple);
    }
    if (this->isClosed)
        co_return;
    CallerAnswer answer = answerForError(error, requestId, this->context->names, memoryRetryAfter);
    answer.closesConnection = true;
    this->isLast = true;
    logInfo("request_rejected",
        { { "id", requestId }, { "status", answer.status }, { "code", number(error.code) }, { "why", error.message } });
    if (!co_await this->send(answer, false))
        co_return;
    beast::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->arm(Clock::now() + discardTime);
    co_await this->discardInput();
}

Awaitable<void> CallerSession::discardInput()
{
    std::array<char, 4096> scratch {};
    while (true) {
        const auto [error, bytes] = co_await this->socket.async_read_some(asio::buffer(scratch), useTuple);
        if (error)
            co_return;
    }
}

} // namespace clementinefall::forwarding
