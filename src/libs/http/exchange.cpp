#include "http/exchange.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace clementinefall::http {

namespace {

Error headerError(beast::error_code error)
{
    if (error == beast::http::error::header_limit)
        return makeError(ResultCode::HeaderTooLarge, "the header is over {} bytes", maximumHeaderBytes);
    if (error == beast::error::timeout)
        return makeError(ResultCode::SlowSender, "the header did not arrive in time");
    return makeError(ResultCode::BadRequest, "{}", error.message());
}

} // namespace

Exchange::Exchange(beast::tcp_stream& connectionStream, beast::flat_buffer& connectionBuffer, milliseconds timeout)
    : stream(connectionStream)
    , buffer(connectionBuffer)
    , ioTimeout(timeout)
{
    this->parser.header_limit(maximumHeaderBytes);
    this->parser.body_limit(boost::none);
}

Awaitable<Status> Exchange::receiveHeader(TimePoint deadline)
{
    this->stream.expires_at(deadline);
    const auto [error, bytes]
        = co_await beast::http::async_read_header(this->stream, this->buffer, this->parser, useTuple);
    if (error)
        co_return headerError(error);
    if (this->header().version() != 11 && this->header().version() != 10)
        co_return makeError(ResultCode::BadRequest, "the HTTP version is not supported");
    co_return okStatus();
}

std::string Exchange::peerAddress() const
{
    beast::error_code error;
    const auto endpoint = this->stream.socket().remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

std::optional<std::uint64_t> Exchange::bodyBytes() const
{
    if (this->parser.chunked())
        return std::nullopt;
    const auto length = this->parser.content_length();
    return length ? *length : 0;
}

Awaitable<Result<std::size_t>> Exchange::receiveBody(asio::mutable_buffer target)
{
    if (!this->continueSent && !this->parser.is_done()
        && beast::iequals(fieldValue(this->header(), "Expect"), "100-continue")) {
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        this->continueSent = true;
        this->stream.expires_after(this->ioTimeout);
        co_await asio::async_write(this->stream, asio::buffer(interim), useTuple);
    }
    while (!this->parser.is_done()) {
        auto& body = this->parser.get().body();
        body.data = target.data();
        body.size = target.size();
        this->stream.expires_after(this->ioTimeout);
        const auto [error, bytes]
            = co_await beast::http::async_read_some(this->stream, this->buffer, this->parser, useTuple);
        const std::size_t received = target.size() - body.size;
        if (error && error != beast::http::error::need_buffer) {
            this->broken = true;
            const ResultCode code = error == beast::error::timeout ? ResultCode::SlowSender : ResultCode::BadRequest;
            co_return makeError(code, "request body: {}", error.message());
        }
        if (received > 0)
            co_return received;
    }
    co_return std::size_t { 0 };
}

Awaitable<Result<std::string>> Exchange::receiveWholeBody(std::size_t maximumBytes)
{
    const auto length = this->bodyBytes();
    if (length && *length > maximumBytes)
        co_return makeError(ResultCode::BodyTooLarge, "the body is over {} bytes", maximumBytes);
    std::string body;
    std::string piece(std::min(relayBufferBytes, maximumBytes + 1), '\0');
    while (true) {
        const asio::mutable_buffer target = asio::buffer(piece);
        const Result<std::size_t> received = co_await this->receiveBody(target);
        if (!isOk(received))
            co_return errorOf(received);
        if (valueOf(received) == 0)
            co_return body;
        if (body.size() + valueOf(received) > maximumBytes)
            co_return makeError(ResultCode::BodyTooLarge, "the body is over {} bytes", maximumBytes);
        body.append(piece, 0, valueOf(received));
    }
}

Awaitable<Status> Exchange::respond(Response response)
{
    const std::string body = std::move(response.body());
    ResponseHeader header = response.base();
    Status sent = co_await this->sendHeader(std::move(header), body.size());
    if (isOk(sent) && !body.empty() && this->header().method() != Verb::head)
        sent = co_await this->sendBody(body);
    if (isOk(sent))
        sent = co_await this->endBody();
    co_return sent;
}

Awaitable<Status> Exchange::sendHeader(ResponseHeader header, std::optional<std::uint64_t> length)
{
    this->stopWatching();
    this->responseStarted = true;
    // A body that was not read would be taken for the next request.
    if (!this->parser.is_done())
        this->closing = true;
    this->outgoing.emplace(std::move(header));
    this->outgoing->version(11);
    this->outgoing->erase(Field::transfer_encoding);
    this->outgoing->erase(Field::content_length);
    if (length)
        this->outgoing->content_length(*length);
    else
        this->outgoing->chunked(true);
    this->outgoing->keep_alive(!this->closing && this->parser.keep_alive());
    this->outgoing->body().data = nullptr;
    this->outgoing->body().more = true;
    this->serializer.emplace(*this->outgoing);
    this->stream.expires_after(this->ioTimeout);
    const auto [error, bytes] = co_await beast::http::async_write_header(this->stream, *this->serializer, useTuple);
    co_return this->failed(error);
}

Awaitable<Status> Exchange::sendBody(std::string_view piece)
{
    auto& body = this->outgoing->body();
    // The serializer only reads the buffer, although the body type has a pointer to non-const.
    body.data = const_cast<char*>(piece.data());
    body.size = piece.size();
    body.more = true;
    this->stream.expires_after(this->ioTimeout);
    const auto [error, bytes] = co_await beast::http::async_write(this->stream, *this->serializer, useTuple);
    co_return this->failed(error == beast::http::error::need_buffer ? beast::error_code() : error);
}

Awaitable<Status> Exchange::endBody()
{
    auto& body = this->outgoing->body();
    body.data = nullptr;
    body.size = 0;
    body.more = false;
    this->stream.expires_after(this->ioTimeout);
    const auto [error, bytes] = co_await beast::http::async_write(this->stream, *this->serializer, useTuple);
    const Status status = this->failed(error == beast::http::error::need_buffer ? beast::error_code() : error);
    this->responseCompleted = isOk(status);
    co_return status;
}

Status Exchange::failed(beast::error_code error)
{
    if (!error)
        return okStatus();
    this->broken = true;
    return makeError(ResultCode::UnknownCancelled, "response: {}", error.message());
}

void Exchange::abort()
{
    this->broken = true;
    beast::error_code ignored;
    this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    this->stream.close();
}

bool Exchange::isKeptAlive() const
{
    return !this->broken && !this->closing && this->responseCompleted && this->parser.is_done()
        && this->parser.keep_alive();
}

void Exchange::watchDisconnect(std::function<void()> onDisconnect)
{
    this->watching = true;
    auto handler = [self = this->shared_from_this(), onDisconnect = std::move(onDisconnect)](beast::error_code error) {
        if (error || !self->watching)
            return;
        self->watching = false;
        if (self->isClosedByPeer())
            onDisconnect();
    };
    this->stream.socket().async_wait(
        asio::socket_base::wait_read, asio::bind_cancellation_slot(this->watchCancel.slot(), std::move(handler)));
}

void Exchange::stopWatching()
{
    if (!this->watching)
        return;
    this->watching = false;
    this->watchCancel.emit(asio::cancellation_type::all);
}

bool Exchange::isClosedByPeer()
{
    beast::error_code error;
    char byte = 0;
    this->stream.socket().non_blocking(true, error);
    const std::size_t bytes
        = this->stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    // Bytes of a next request are not a disconnect.
    return bytes == 0 && error != asio::error::would_block;
}

} // namespace clementinefall::http
