#include "forwarding/serverconnection.h"

#include "http/sockets.h"
#include "http/syntaxerror.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <charconv>
#include <string>

namespace clementinefall::forwarding {

using asio::ip::tcp;
using requests::AttemptEnd;

namespace {

/// Idle time after which a connection is no longer used when the server does not state its own.
constexpr seconds defaultIdleLimit { 4 };

/// A server closes at the time that it states; a request that is on the way then is lost.
constexpr milliseconds idleMargin { 1000 };

/// Answers to other requests that are dropped before the connection is given up.
constexpr unsigned maximumForeignAnswers = 4;

constexpr std::uint32_t maximumAnswerHeaderBytes = 64U * 1024U;

/// Bodies up to this size are written together with the header; the kernel takes them without waiting.
constexpr std::size_t joinedBodyBytes = 16UL * 1024;

/// Longest pause between two pieces of a long answer.
constexpr seconds longestStall { 10 };

std::optional<unsigned> parseUnsigned(std::string_view text)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Parses `running,waiting,slots`.
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

/// Seconds of `timeout=N` in a Keep-Alive field.
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

struct ServerConnection::Reading {
    using Parser = beast::http::response_parser<beast::http::string_body>;

    std::shared_ptr<const ForwardedRequest> request;
    std::optional<Parser> parser;
    ServerAnswer result;
    beast::error_code error;
    bool isForeign = false;
    bool isInvalid = false;
    bool hasBegun = false; ///< Some of the answer to this request has arrived.
};

ServerConnection::ServerConnection(const asio::any_io_executor& executor, ServerPointer connectionServer)
    : socket(executor)
    , watchdog(executor)
    , server(std::move(connectionServer))
    , idleLimit(defaultIdleLimit)
{
}

void ServerConnection::arm(TimePoint deadline)
{
    this->watchdog.expires_at(deadline);
    this->watchdog.async_wait([weak = this->weak_from_this(), deadline](beast::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->watchdog.expiry() != deadline)
            return;
        self->timedOut = true;
        beast::error_code ignored;
        self->socket.close(ignored);
    });
}

void ServerConnection::close()
{
    this->cancelled = true;
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
    this->arm(start + timeout);
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    const auto [error] = co_await this->socket.async_connect(endpoint, useTuple);
    this->watchdog.cancel();
    const TimePoint now = Clock::now();
    if (error || this->timedOut || this->cancelled) {
        if (!this->cancelled)
            recordConnect(*this->server, false, now - start, now);
        co_return false;
    }
    recordConnect(*this->server, true, now - start, now);
    beast::error_code ignored; // Small answers only become slower without it.
    this->socket.set_option(tcp::no_delay(true), ignored);
    http::setSilenceDetection(this->socket);
    this->lastUse = now;
    co_return true;
}

Awaitable<void> ServerConnection::writeBody(std::shared_ptr<const ForwardedRequest> request)
{
    const auto self = this->shared_from_this();
    const auto [error, bytes] = co_await asio::async_write(this->socket, asio::buffer(request->body), useTuple);
    // A failed write shows in the read as well; the answer may still arrive.
    this->written = !error;
}

Awaitable<ServerAnswer> ServerConnection::exchange(std::shared_ptr<const ForwardedRequest> request, std::string head,
    const WireNames& names, TimePoint deadline, AnswerSink& sink)
{
    const auto self = this->shared_from_this();
    this->reusable = false;
    this->written = false;
    this->arm(deadline);
    Reading reading;
    reading.request = request;

    const bool joined = request->body.size() <= joinedBodyBytes;
    std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::const_buffer {} };
    if (joined)
        buffers[1] = asio::buffer(request->body);
    const auto [writeError, bytes] = co_await asio::async_write(this->socket, buffers, useTuple);
    if (writeError) {
        reading.result.end = bytes == 0 ? AttemptEnd::NothingWritten : AttemptEnd::LostAfterWrite;
        co_return this->failure(reading, writeError);
    }
    this->written = joined;
    if (!joined)
        asio::co_spawn(this->socket.get_executor(), this->writeBody(request), asio::detached);

    for (unsigned foreign = 0; foreign <= maximumForeignAnswers;) {
        reading.parser.emplace();
        reading.parser->header_limit(maximumAnswerHeaderBytes);
        reading.parser->body_limit(boost::none);
        if (request->method == "HEAD")
            reading.parser->skip(true);
        const auto [error, read]
            = co_await beast::http::async_read_header(this->socket, this->buffer, *reading.parser, useTuple);
        if (error)
            co_return this->failure(reading, error);
        const unsigned status = reading.parser->get().result_int();
        if (status / 100 == 1)
            continue; // An interim answer; the final one follows.
        this->judgeHeader(reading, names);
        if (reading.isInvalid)
            co_return this->failure(reading, {});
        if (!co_await this->readAnswer(reading, sink))
            co_return this->failure(reading, reading.error);
        if (!reading.isForeign)
            break;
        reading.isForeign = false;
        ++foreign;
    }
    if (!reading.hasBegun) {
        reading.result.detail = "only answers to other requests arrived";
        co_return this->failure(reading, {});
    }
    this->watchdog.cancel();
    this->lastUse = Clock::now();
    this->reusable = this->written && reading.parser->keep_alive() && !reading.parser->need_eof()
        && this->buffer.size() == 0 && !this->cancelled && !this->timedOut;
    // A refusal without the request's id cannot be told from a late one, so nothing else is sent on its connection.
    if (reading.result.end == AttemptEnd::ShedByServer && reading.parser->get()[names.requestId].empty())
        this->reusable = false;
    if (!this->reusable)
        this->close();
    co_return std::move(reading.result);
}

void ServerConnection::judgeHeader(Reading& reading, const WireNames& names)
{
    const auto& message = reading.parser->get();
    const auto field = [&message](const std::string& name) {
        const auto value = message[name];
        return std::string_view { value.data(), value.size() };
    };
    const std::string_view id = field(names.requestId);
    if (!id.empty() && id != reading.request->id) {
        reading.isForeign = true;
        return;
    }
    reading.hasBegun = true;
    ServerAnswer& result = reading.result;
    const unsigned status = message.result_int();
    const bool isNotRun = !field(names.notRun).empty() || status == 421;
    result.isMisdirected = status == 421;
    result.isSealed = !field(names.seal).empty();
    result.end = isNotRun ? AttemptEnd::ShedByServer : AttemptEnd::Answered;
    result.load = parseLoad(field(names.serverLoad));
    if (const auto keepAlive = parseKeepAlive(field("Keep-Alive"))) {
        const Duration stated = seconds(*keepAlive);
        this->idleLimit = std::max<Duration>(stated - idleMargin, stated / 2);
    }
    if (!isNotRun && id.empty()) {
        reading.isInvalid = true;
        result.detail = "the answer does not name its request";
    } else if (status / 100 == 2 && (!result.isSealed || isNotRun)) {
        reading.isInvalid = true;
        result.detail = "a success without the server's seal";
    } else if (message.count(http::Field::content_encoding) > 0) {
        reading.isInvalid = true;
        result.detail = "the body has an encoding that nobody asked for";
    }
    result.answer.status = status;
    result.answer.reason = std::string(message.reason());
    const auto options = message[http::Field::connection];
    for (const auto& entry : message) {
        const std::string_view name { entry.name_string().data(), entry.name_string().size() };
        if (isConnectionField(name, { options.data(), options.size() }))
            continue;
        result.answer.fields.emplace_back(name, entry.value());
    }
}

Awaitable<bool> ServerConnection::readAnswer(Reading& reading, AnswerSink& sink)
{
    auto& parser = *reading.parser;
    std::string& body = parser.get().body();
    while (!parser.is_done()) {
        const auto [error, bytes] = co_await beast::http::async_read_some(this->socket, this->buffer, parser, useTuple);
        if (error) {
            reading.error = error;
            co_return false;
        }
        if (body.size() < heldAnswerBytes)
            continue;
        if (!reading.isForeign) {
            // The answer has come; from here the pace of the two connections decides, not the caller's deadline.
            this->arm(Clock::now() + longestStall);
            if (!reading.result.wasStreamed) {
                reading.result.wasStreamed = true;
                const auto length = parser.content_length();
                const std::optional<std::size_t> known = length ? std::optional<std::size_t>(*length) : std::nullopt;
                if (!co_await sink.begin(reading.result.answer, known))
                    co_return false;
            }
            if (!co_await sink.write(body))
                co_return false;
        }
        body.clear();
    }
    if (reading.isForeign)
        co_return true;
    if (reading.result.wasStreamed) {
        if (!body.empty() && !co_await sink.write(body))
            co_return false;
        body.clear();
    }
    reading.result.answer.body = std::move(body);
    co_return true;
}

ServerAnswer ServerConnection::failure(const Reading& reading, beast::error_code error)
{
    ServerAnswer result = reading.result;
    if (result.detail.empty())
        result.detail = error.message();
    if (this->cancelled)
        result.end = AttemptEnd::CancelledSent;
    else if (this->timedOut)
        result.end = AttemptEnd::TimedOut;
    else if (reading.isInvalid)
        result.end = AttemptEnd::ResponseInvalid;
    else if (reading.hasBegun)
        result.end = AttemptEnd::ResponseTruncated;
    else if (reading.parser)
        result.end = http::isSyntaxError(error) || !error ? AttemptEnd::ResponseInvalid : AttemptEnd::LostAfterWrite;
    result.closedByServer = result.end == AttemptEnd::LostAfterWrite;
    this->close();
    return result;
}

} // namespace clementinefall::forwarding
