#include "forwarding/serverconnection.h"

#include "forwarding/rejection.h"

#include "base/log.h"
#include "http/growingbody.h"
#include "http/readsome.h"
#include "http/responsecheck.h"
#include "http/sockets.h"
#include "http/spawn.h"
#include "http/syntaxerror.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <charconv>
#include <string>

namespace clementinefall::forwarding {

using asio::ip::tcp;
using requests::AttemptEnd;

namespace {

/// Idle time after which a connection is no longer reused, for servers that send no Keep-Alive timeout.
constexpr seconds defaultIdleLimit { 4 };

/// Reuse of a connection ends this long before the server's Keep-Alive timeout. A request that is in flight when the
/// server closes the connection is lost.
constexpr milliseconds idleMargin { 1000 };

/// Responses to other requests that are discarded before the connection is closed. A faulty server may send them
/// without end.
constexpr unsigned maximumUnrelatedResponses = 4;

/// Total size of the bodies that are discarded in one exchange before the connection is closed.
constexpr std::size_t maximumDiscardedBytes = 1024UL * 1024;

constexpr std::uint32_t maximumResponseHeaderBytes = 64U * 1024U;

/// Limit of the bytes that are received but not parsed yet. Chunk extensions and trailers are parsed as a whole, so a
/// faulty server could fill the memory with one that never ends.
constexpr std::size_t maximumUnparsedBytes = maximumResponseHeaderBytes + 64U * 1024U;

/// Bodies up to this size are written together with the header; they fit into the socket's send buffer.
constexpr std::size_t maximumBytesWithHeader = 16UL * 1024;

/// Connect timeout: this base plus a number of round trips.
constexpr milliseconds connectTimeoutBase { 250 };
constexpr unsigned connectRoundTrips = 3;

std::optional<unsigned> parseUnsigned(std::string_view text)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Parses `running,waiting,slots`; the slots are ignored.
std::optional<LoadReport> parseLoad(std::string_view text)
{
    const std::size_t first = text.find(',');
    const std::size_t second = first == std::string_view::npos ? first : text.find(',', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    const auto running = parseUnsigned(text.substr(0, first));
    const auto waiting = parseUnsigned(text.substr(first + 1, second - first - 1));
    if (!running || !waiting)
        return std::nullopt;
    return LoadReport { .running = *running, .waiting = *waiting };
}

/// Parses `timeout=N` in a Keep-Alive field. Returns seconds.
std::optional<unsigned> parseKeepAlive(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const std::size_t at = text.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view rest = text.substr(at + key.size());
    return parseUnsigned(rest.substr(0, rest.find_first_not_of("0123456789")));
}

} // namespace

Duration connectTimeout(const BackendServer& server)
{
    return connectTimeoutBase + connectRoundTrips * server.connectTime;
}

struct ServerConnection::PendingResponse {
    using Parser = beast::http::response_parser<http::GrowingBody>;

    std::shared_ptr<const ForwardedRequest> request;
    std::optional<Parser> parser;
    ServerResponse result;
    beast::error_code error;
    bool isForOtherRequest = false; ///< Its request id is a different one.
    bool isInvalid = false;
    bool hasStarted = false; ///< The header of the response to this request has arrived.
    ExchangeTerms terms;
    TimePoint streamingDeadline {}; ///< Moves on while the response is passed on.
    std::size_t discardedBytes = 0; ///< Of bodies that nobody gets.
    bool isExcessive = false; ///< A limit of what a server may send was exceeded.
    std::shared_ptr<MessageMemory> memory;
    std::optional<TimePoint> waitsForMemorySince;

    /// Whether parts of the body may reach the caller before all of it is here. After a rejection, the forwarder
    /// decides what the caller gets.
    bool canBeStreamed() const { return !this->isForOtherRequest && this->result.end == AttemptEnd::Answered; }

    bool canBePassedOnEarly() const
    {
        return this->canBeStreamed() && this->result.message.status < 500 && !this->parser->get().body().empty();
    }
};

ServerConnection::ServerConnection(
    const asio::any_io_executor& executor, ServerPointer connectionServer, StreamingLimits streamingLimits)
    : socket(executor)
    , watchdog(executor)
    , server(std::move(connectionServer))
    , limits(streamingLimits)
    , buffer(maximumUnparsedBytes)
    , idleLimit(defaultIdleLimit)
    , bodyWriteEnd(executor, TimePoint::max())
{
}

void ServerConnection::armWatchdog(TimePoint deadline)
{
    this->watchdog.expires_at(deadline);
    this->watchdog.async_wait([weak = this->weak_from_this(), deadline](beast::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->watchdog.expiry() != deadline)
            return;
        self->hasTimedOut = true;
        beast::error_code ignored;
        self->socket.close(ignored);
    });
}

void ServerConnection::close()
{
    this->isCancelled = true;
    this->reusable = false;
    this->watchdog.cancel();
    beast::error_code ignored;
    this->socket.close(ignored);
}

bool ServerConnection::hasPendingInput()
{
    beast::error_code error;
    char byte = 0;
    this->socket.non_blocking(true, error);
    this->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

Awaitable<bool> ServerConnection::connect(Duration timeout)
{
    const auto self = this->shared_from_this();
    const HostPort& address = this->server->entry.address;
    const TimePoint start = Clock::now();
    this->armWatchdog(start + timeout);
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    const auto [error] = co_await this->socket.async_connect(endpoint, useTuple);
    this->watchdog.cancel();
    const TimePoint now = Clock::now();
    if (error || this->hasTimedOut || this->isCancelled) {
        this->isRefused = error == asio::error::connection_refused;
        if (!this->isCancelled)
            recordConnect(*this->server, false, now - start, now);
        co_return false;
    }
    recordConnect(*this->server, true, now - start, now);
    beast::error_code ignored; // Without no_delay, small requests are only slower.
    this->socket.set_option(tcp::no_delay(true), ignored);
    http::setSilenceDetection(this->socket);
    this->lastUsedAt = now;
    co_return true;
}

Awaitable<void> ServerConnection::writeBody(std::shared_ptr<const ForwardedRequest> request)
{
    const auto self = this->shared_from_this();
    const auto [error, bytes] = co_await asio::async_write(this->socket, asio::buffer(request->body), useTuple);
    // A response may still arrive, so the exchange goes on after an error.
    this->recordBodyWritten(error);
}

void ServerConnection::recordBodyWritten(beast::error_code error)
{
    this->isRequestWritten = !error;
    this->bodyWriteError = error;
    this->isWritingBody = false;
    this->bodyWriteEnd.cancel();
}

Awaitable<beast::error_code> ServerConnection::endBodyWrite()
{
    const auto self = this->shared_from_this();
    if (!this->isWritingBody)
        co_return this->bodyWriteError;
    beast::error_code ignored; // The connection is given up.
    this->socket.close(ignored);
    while (this->isWritingBody)
        co_await this->bodyWriteEnd.async_wait(useTuple);
    // A write that has met an error before it was ended here keeps that error.
    const bool isEndedHere
        = this->bodyWriteError == asio::error::operation_aborted || this->bodyWriteError == asio::error::bad_descriptor;
    co_return isEndedHere ? beast::error_code() : this->bodyWriteError;
}

Awaitable<ServerResponse> ServerConnection::exchange(std::shared_ptr<const ForwardedRequest> request, std::string head,
    const WireNames& names, ExchangeTerms terms, ResponseSink& sink, std::shared_ptr<MessageMemory> memory)
{
    const auto self = this->shared_from_this();
    PendingResponse pending;
    pending.request = request;
    pending.memory = std::move(memory);
    pending.terms = terms;
    pending.streamingDeadline = terms.deadline + this->limits.maximumOverrun;
    try {
        co_return co_await this->sendAndReceive(pending, std::move(head), names, sink);
    } catch (const std::exception& error) {
        // Costs this request and connection only, also when the memory is used up.
        logError("exchange_failed", { { "server", this->server->entry.id }, { "why", error.what() } });
        pending.isInvalid = true;
        pending.result.detail = error.what();
    }
    co_return this->failure(pending, {});
}

Awaitable<ServerResponse> ServerConnection::sendAndReceive(
    PendingResponse& pending, std::string head, const WireNames& names, ResponseSink& sink)
{
    const auto self = this->shared_from_this();
    const std::shared_ptr<const ForwardedRequest> request = pending.request;
    this->reusable = false;
    this->isRequestWritten = false;
    this->bodyWriteError = {};
    this->armWatchdog(pending.terms.deadline);
    this->requestSentAt = Clock::now();

    const bool writesBodyWithHeader = request->body.size() <= maximumBytesWithHeader;
    std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::const_buffer {} };
    if (writesBodyWithHeader)
        buffers[1] = asio::buffer(request->body);
    const auto [writeError, bytes] = co_await asio::async_write(this->socket, buffers, useTuple);
    if (writeError) {
        pending.result.end = bytes == 0 ? AttemptEnd::NothingWritten : AttemptEnd::LostAfterWrite;
        co_return this->failure(pending, writeError);
    }
    this->isRequestWritten = writesBodyWithHeader;
    if (!writesBodyWithHeader) {
        this->isWritingBody = true;
        http::spawn(
            this->socket.get_executor(), "write_body", [self, request] { return self->writeBody(request); },
            [self] { self->recordBodyWritten(asio::error::no_memory); });
    }

    unsigned interimResponses = 0;
    for (unsigned unrelatedResponses = 0; unrelatedResponses <= maximumUnrelatedResponses;) {
        pending.parser.emplace();
        pending.parser->header_limit(maximumResponseHeaderBytes);
        pending.parser->body_limit(boost::none);
        if (request->method == "HEAD")
            pending.parser->skip(true);
        const beast::error_code error = co_await this->readHeader(pending);
        if (error)
            co_return this->failure(pending, error);
        const http::ResponseCheck check = http::checkResponseHeader(pending.parser->get().base());
        if (check.kind == http::ResponseKind::Invalid) {
            pending.result.detail = check.fault;
            pending.isInvalid = true;
            co_return this->failure(pending, {});
        }
        if (check.kind == http::ResponseKind::Interim) {
            if (++interimResponses > http::maximumInterimResponses) {
                pending.result.detail = "received too many interim responses";
                pending.isInvalid = true;
                pending.isExcessive = true;
                co_return this->failure(pending, {});
            }
            continue; // The final response follows.
        }
        this->processHeader(pending, names);
        if (pending.isInvalid)
            co_return this->failure(pending, {});
        if (!co_await this->readBody(pending, sink))
            co_return this->failure(pending, pending.error);
        if (!pending.isForOtherRequest)
            break;
        pending.isForOtherRequest = false;
        ++unrelatedResponses;
    }
    if (!pending.hasStarted) {
        pending.result.detail = "received only responses to other requests";
        co_return this->failure(pending, {});
    }
    if (pending.parser->need_eof()) {
        // The system reports a reset once, to the write or to the read. After a failed write, the end of the connection
        // says nothing about whether the response is complete (RFC 9112 section 8).
        const beast::error_code bodyError = co_await this->endBodyWrite();
        if (bodyError) {
            pending.result.detail
                = fmt::format("a response without a length, on a connection that failed: {}", bodyError.message());
            co_return this->failure(pending, bodyError);
        }
    }
    this->watchdog.cancel();
    this->buffer.shrink_to_fit();
    this->lastUsedAt = Clock::now();
    this->hasCarriedRequest = true;
    this->reusable = this->isRequestWritten && pending.parser->keep_alive() && !pending.parser->need_eof()
        && this->buffer.size() == 0 && !this->isCancelled && !this->hasTimedOut;
    // A rejection without a request id may belong to an earlier request, so the connection is not reused.
    if (pending.result.end == AttemptEnd::ShedByServer && pending.parser->get()[names.requestId].empty())
        this->reusable = false;
    if (!this->reusable)
        this->close();
    co_return std::move(pending.result);
}

std::string_view ServerConnection::platformFault(const PendingResponse& pending, const WireNames& names) const
{
    const auto& header = pending.parser->get();
    const unsigned status = header.result_int();
    const bool claimsNotRun = isStatedNotRun(header, names);
    // A rejection without an id proves something only when no other request can be meant.
    if (header.count(names.requestId) > 1)
        return "the response has several request ids";
    if (header[names.requestId].empty() && (!claimsNotRun || this->hasCarriedRequest))
        return "the response has no request id";
    if (status / 100 == 2 && header[names.responseSeal].empty())
        return "the success response is not sealed by the server";
    if (status / 100 == 2 && claimsNotRun)
        return "the success response claims that the request did not run";
    // Fields of the connection are not passed on, so the caller would get the response without them.
    const auto options = header[http::Field::connection];
    const std::string_view connectionOptions { options.data(), options.size() };
    if (isHopByHopField(names.requestId, connectionOptions) || isHopByHopField(names.responseSeal, connectionOptions))
        return "the response takes its id or its seal for a field of the connection";
    if (header.count(http::Field::content_encoding) > 0)
        return "the response body has a content encoding that was not requested";
    return {};
}

void ServerConnection::processHeader(PendingResponse& pending, const WireNames& names)
{
    const auto& header = pending.parser->get();
    const auto field = [&header](const std::string& name) {
        const auto value = header[name];
        return std::string_view { value.data(), value.size() };
    };
    const std::string_view id = field(names.requestId);
    const bool namesOneRequest = header.count(names.requestId) == 1 && !id.empty();
    if (namesOneRequest && id != pending.request->id) {
        pending.isForOtherRequest = true;
        return;
    }
    pending.hasStarted = true;
    ServerResponse& result = pending.result;
    // Bytes that are no response of the server prove nothing, neither that the request did not run nor what the server
    // says of itself.
    result.detail = this->platformFault(pending, names);
    if (!result.detail.empty()) {
        pending.isInvalid = true;
        return;
    }
    const unsigned status = header.result_int();
    result.end = endOfResponse(header, names, pending.terms.isIdempotent);
    const bool isNotRun = result.end == AttemptEnd::ShedByServer;
    if (result.end == AttemptEnd::RejectedUnproven)
        result.detail = fmt::format("responded with {} and did not state that the request has not run", status);
    result.isMisdirected = status == misdirectedStatus;
    result.hasSeal = !field(names.responseSeal).empty();
    result.load = parseLoad(field(names.serverLoad));
    const std::string_view statedLimit = field(names.rateLimit);
    const std::optional<double> rateLimit = parseRateLimit(statedLimit);
    if (!rateLimit && !statedLimit.empty())
        logWarning("rate_limit_invalid", { { "server", this->server->entry.id }, { "value", statedLimit } });
    else if (!id.empty() && !result.isMisdirected && (rateLimit || !isNotRun))
        result.rateLimit = observedRateLimit(rateLimit, this->requestSentAt, Clock::now());
    if (const auto keepAlive = parseKeepAlive(field("Keep-Alive"))) {
        const Duration stated = seconds(*keepAlive);
        this->idleLimit = std::max<Duration>(stated - idleMargin, stated / 2);
    }
    // A misdirected response is another server's.
    if (this->onNotice && !result.isMisdirected) {
        const ServerNotice notice = readServerNotice(header, status, names);
        if (!notice.isEmpty())
            this->onNotice(notice);
        if (this->server->isLeaving)
            result.message.leavingServer = { this->server->entry.id, this->server->entry.startTimeMs };
    }
    result.message.status = status;
    result.message.reason = std::string(header.reason());
    const auto length = pending.parser->content_length();
    if (pending.request->method == "HEAD" && length)
        result.message.announcedBytes = static_cast<std::size_t>(*length);
    const auto options = header[http::Field::connection];
    for (const auto& entry : header) {
        const std::string_view name { entry.name_string().data(), entry.name_string().size() };
        if (isHopByHopField(name, { options.data(), options.size() }))
            continue;
        result.message.fields.emplace_back(name, entry.value());
    }
}

void ServerConnection::armStreamingWatchdog(const PendingResponse& pending)
{
    const TimePoint stalledAt = std::max<TimePoint>(pending.terms.deadline, Clock::now() + this->limits.maximumStall);
    this->armWatchdog(std::min(stalledAt, pending.streamingDeadline));
}

void ServerConnection::recordHeldBytes(const PendingResponse& pending)
{
    pending.memory->holdResponse(pending.parser->get().body().size() + this->buffer.size(), this->server->entry.id);
}

Awaitable<void> ServerConnection::waitForMemory(PendingResponse& pending)
{
    const auto self = this->shared_from_this();
    if (!pending.waitsForMemorySince)
        pending.waitsForMemorySince = Clock::now();
    co_await pending.memory->budget().waitForRoom(this->socket.get_executor(), *pending.waitsForMemorySince);
}

Awaitable<beast::error_code> ServerConnection::readHeader(PendingResponse& pending)
{
    beast::error_code error;
    while (!error && !pending.parser->is_header_done()) {
        const std::size_t allowed = std::min(pending.memory->readAllowance(), maximumHeaderReadBytes);
        if (allowed > 0)
            error = co_await http::readSome(this->socket, this->buffer, *pending.parser, allowed);
        else
            co_await this->waitForMemory(pending);
        if (this->hasTimedOut || this->isCancelled)
            error = asio::error::operation_aborted;
        this->recordHeldBytes(pending);
    }
    co_return error;
}

Awaitable<bool> ServerConnection::passOn(PendingResponse& pending, ResponseSink& sink)
{
    std::string& body = pending.parser->get().body();
    // A caller that reads slowly, or waits for an earlier response, is no stall of the server.
    this->watchdog.cancel();
    const TimePoint passedOnAt = Clock::now();
    if (!pending.result.wasStreamed) {
        pending.result.wasStreamed = true;
        const auto length = pending.parser->content_length();
        const std::optional<std::size_t> known = length ? std::optional<std::size_t>(*length) : std::nullopt;
        if (!co_await sink.begin(pending.result.message, known))
            co_return false;
    }
    if (!co_await sink.write(body))
        co_return false;
    pending.streamingDeadline += Clock::now() - passedOnAt;
    std::string().swap(body);
    this->recordHeldBytes(pending);
    co_return true;
}

bool ServerConnection::discardBody(PendingResponse& pending)
{
    std::string& body = pending.parser->get().body();
    pending.discardedBytes += body.size();
    body.clear();
    if (pending.discardedBytes <= maximumDiscardedBytes)
        return true;
    pending.result.detail = pending.isForOtherRequest ? "received an unlimited response to another request"
                                                      : "received an unlimited rejection";
    pending.isInvalid = true;
    pending.isExcessive = true;
    return false;
}

Awaitable<bool> ServerConnection::readBody(PendingResponse& pending, ResponseSink& sink)
{
    auto& parser = *pending.parser;
    std::string& body = parser.get().body();
    while (!parser.is_done()) {
        if (pending.result.wasStreamed)
            this->armStreamingWatchdog(pending);
        const std::size_t allowed = pending.memory->readAllowance();
        if (allowed == 0) {
            if (pending.canBePassedOnEarly() && sink.canPassOn()) {
                if (!co_await this->passOn(pending, sink))
                    co_return false;
            } else {
                co_await this->waitForMemory(pending);
            }
            if (this->hasTimedOut || this->isCancelled)
                co_return false;
            continue;
        }
        pending.error = co_await http::readSome(this->socket, this->buffer, parser, allowed);
        if (pending.error)
            co_return false;
        const bool isDiscarded
            = pending.isForOtherRequest || (!pending.canBeStreamed() && body.size() >= maximumBufferedBytes);
        if (isDiscarded && !this->discardBody(pending))
            co_return false;
        this->recordHeldBytes(pending);
        const std::size_t passedOnBytes = pending.result.wasStreamed ? 1 : maximumBufferedBytes;
        if (body.size() >= passedOnBytes && !co_await this->passOn(pending, sink))
            co_return false;
    }
    if (pending.isForOtherRequest)
        co_return true;
    if (pending.result.wasStreamed && !body.empty() && !co_await this->passOn(pending, sink))
        co_return false;
    pending.result.message.body = std::move(body);
    co_return true;
}

ServerResponse ServerConnection::failure(const PendingResponse& pending, beast::error_code error)
{
    ServerResponse result = pending.result;
    if (result.detail.empty())
        result.detail = error.message();
    if (this->isCancelled)
        result.end = AttemptEnd::CancelledSent;
    else if (this->hasTimedOut)
        result.end = AttemptEnd::TimedOut;
    else if (pending.isInvalid)
        result.end = AttemptEnd::ResponseInvalid;
    else if (pending.hasStarted)
        result.end = AttemptEnd::ResponseTruncated;
    else if (pending.parser)
        result.end = http::isSyntaxError(error) || !error ? AttemptEnd::ResponseInvalid : AttemptEnd::LostAfterWrite;
    result.isConnectionLost = result.end == AttemptEnd::LostAfterWrite;
    result.isCutOff = result.end == AttemptEnd::ResponseTruncated && error && !http::isSyntaxError(error);
    // A streamed response that goes on long after the deadline has no end, and the parser's limits no other reason.
    result.isExcessive = pending.isExcessive || error == beast::http::error::header_limit
        || error == beast::http::error::buffer_overflow
        || (result.end == AttemptEnd::TimedOut && result.wasStreamed && Clock::now() >= pending.streamingDeadline);
    pending.memory->holdResponse(0, {});
    this->close();
    return result;
}

} // namespace clementinefall::forwarding
