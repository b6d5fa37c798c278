#include "http/clientconnection.h"

#include "http/readsome.h"
#include "http/responsecheck.h"
#include "http/sockets.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace clementinefall::http {

ClientConnection::ClientConnection(asio::any_io_executor executor)
    : stream(std::move(executor))
    , buffer(relayBufferBytes + maximumHeaderBytes)
{
}

Error ClientConnection::failed(beast::error_code error, ResultCode fallback)
{
    this->close();
    const ResultCode code = error == beast::error::timeout ? ResultCode::UnknownTimeout : fallback;
    return makeError(code, "{}: {}", this->serverAddress.text(), error.message());
}

Awaitable<Status> ClientConnection::connect(HostPort address, TimePoint deadline)
{
    this->serverAddress = std::move(address);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->serverAddress.host), this->serverAddress.port);
    this->stream.expires_at(deadline);
    const auto [error] = co_await this->stream.async_connect(endpoint, useTuple);
    if (error) {
        this->close();
        const ResultCode code
            = error == beast::error::timeout ? ResultCode::NotRunDeadline : ResultCode::NotRunConnectRefused;
        co_return makeError(code, "{}: {}", this->serverAddress.text(), error.message());
    }
    beast::error_code ignored;
    this->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    setSilenceDetection(this->stream.socket());
    this->open = true;
    this->openTime = Clock::now();
    this->lastUse = this->openTime;
    co_return okStatus();
}

Awaitable<Status> ClientConnection::sendHeader(
    RequestHeader header, std::optional<std::uint64_t> bodyBytes, TimePoint deadline)
{
    this->sentBytes = false;
    this->sentAll = false;
    this->receivedBytes = false;
    this->parser.reset();
    this->serializer.reset();
    this->outgoing.emplace(std::move(header));
    this->outgoing->version(11);
    this->outgoing->erase(Field::transfer_encoding);
    this->outgoing->erase(Field::content_length);
    if (bodyBytes)
        this->outgoing->content_length(*bodyBytes);
    else
        this->outgoing->chunked(true);
    this->outgoing->set(Field::host, this->serverAddress.text());
    this->outgoing->body().data = nullptr;
    this->outgoing->body().more = !bodyBytes || *bodyBytes > 0;
    this->serializer.emplace(*this->outgoing);
    this->stream.expires_at(deadline);
    const auto [error, bytes] = co_await beast::http::async_write_header(this->stream, *this->serializer, useTuple);
    this->sentBytes = bytes > 0;
    if (error)
        co_return this->failed(error, ResultCode::UnknownConnectionLost);
    this->sentAll = !this->outgoing->body().more;
    co_return okStatus();
}

Awaitable<Status> ClientConnection::sendBody(std::string_view piece, TimePoint deadline)
{
    auto& body = this->outgoing->body();
    // The serializer only reads the buffer, although the body type has a pointer to non-const.
    body.data = const_cast<char*>(piece.data());
    body.size = piece.size();
    body.more = true;
    this->stream.expires_at(deadline);
    const auto [error, bytes] = co_await beast::http::async_write(this->stream, *this->serializer, useTuple);
    if (error && error != beast::http::error::need_buffer)
        co_return this->failed(error, ResultCode::UnknownConnectionLost);
    co_return okStatus();
}

Awaitable<Status> ClientConnection::endBody(TimePoint deadline)
{
    auto& body = this->outgoing->body();
    body.data = nullptr;
    body.size = 0;
    body.more = false;
    this->stream.expires_at(deadline);
    const auto [error, bytes] = co_await beast::http::async_write(this->stream, *this->serializer, useTuple);
    if (error && error != beast::http::error::need_buffer)
        co_return this->failed(error, ResultCode::UnknownConnectionLost);
    this->sentAll = true;
    co_return okStatus();
}

Awaitable<Result<ResponseHeader>> ClientConnection::receiveHeader(TimePoint deadline)
{
    ResponseCheck check { .kind = ResponseKind::Interim };
    for (unsigned responses = 0; check.kind == ResponseKind::Interim; ++responses) {
        if (responses > maximumInterimResponses) {
            this->close();
            co_return makeError(ResultCode::UnknownAnswerInvalid, "{}: received too many interim responses",
                this->serverAddress.text());
        }
        this->parser.emplace();
        this->parser->header_limit(maximumHeaderBytes);
        this->parser->body_limit(boost::none);
        if (this->outgoing->method() == Verb::head)
            this->parser->skip(true);
        this->stream.expires_at(deadline);
        beast::error_code error;
        while (!error && !this->parser->is_header_done()) {
            error = co_await readSome(this->stream, this->buffer, *this->parser, relayBufferBytes);
            this->receivedBytes = this->receivedBytes || this->buffer.size() > 0 || this->parser->got_some();
        }
        if (error) {
            const bool lost = error == beast::http::error::end_of_stream || error == asio::error::connection_reset
                || error == asio::error::operation_aborted || error == asio::error::broken_pipe;
            co_return this->failed(error, lost ? ResultCode::UnknownConnectionLost : ResultCode::UnknownAnswerInvalid);
        }
        check = checkResponseHeader(this->parser->get().base());
    }
    if (check.kind == ResponseKind::Invalid) {
        this->close();
        co_return makeError(ResultCode::UnknownAnswerInvalid, "{}: {}", this->serverAddress.text(), check.fault);
    }
    if (this->parser->need_eof()) {
        // The end of such a body cannot be told from a broken connection.
        this->close();
        co_return makeError(
            ResultCode::UnknownAnswerInvalid, "{}: the response has no length", this->serverAddress.text());
    }
    co_return ResponseHeader(this->parser->get().base());
}

Awaitable<Result<std::size_t>> ClientConnection::receiveBody(asio::mutable_buffer target, TimePoint deadline)
{
    while (!this->parser->is_done()) {
        auto& body = this->parser->get().body();
        body.data = target.data();
        body.size = target.size();
        this->stream.expires_at(deadline);
        const auto [error, bytes]
            = co_await beast::http::async_read_some(this->stream, this->buffer, *this->parser, useTuple);
        const std::size_t received = target.size() - body.size;
        if (error && error != beast::http::error::need_buffer)
            co_return this->failed(error, ResultCode::UnknownAnswerCut);
        if (received > 0)
            co_return received;
    }
    this->lastUse = Clock::now();
    co_return std::size_t { 0 };
}

std::optional<std::uint64_t> ClientConnection::responseBodyBytes() const
{
    if (!this->parser || this->parser->chunked())
        return std::nullopt;
    const auto length = this->parser->content_length();
    return length ? *length : 0;
}

Awaitable<Result<Response>> ClientConnection::exchange(Request request, std::size_t maximumBytes, TimePoint deadline)
{
    const std::string body = std::move(request.body());
    RequestHeader header = request.base();
    Status sent = co_await this->sendHeader(std::move(header), body.size(), deadline);
    if (isOk(sent) && !body.empty())
        sent = co_await this->sendBody(body, deadline);
    if (isOk(sent) && !body.empty())
        sent = co_await this->endBody(deadline);
    if (!isOk(sent))
        co_return errorOf(sent);
    Result<ResponseHeader> received = co_await this->receiveHeader(deadline);
    if (!isOk(received))
        co_return errorOf(received);
    Response response;
    response.base() = valueOf(received);
    std::string piece(relayBufferBytes, '\0');
    while (true) {
        const asio::mutable_buffer target = asio::buffer(piece);
        const Result<std::size_t> bytes = co_await this->receiveBody(target, deadline);
        if (!isOk(bytes))
            co_return errorOf(bytes);
        if (valueOf(bytes) == 0)
            break;
        if (response.body().size() + valueOf(bytes) > maximumBytes) {
            this->close();
            co_return makeError(
                ResultCode::BodyTooLarge, "{}: response over {} bytes", this->serverAddress.text(), maximumBytes);
        }
        response.body().append(piece, 0, valueOf(bytes));
    }
    co_return response;
}

void ClientConnection::close()
{
    this->open = false;
    this->stream.close();
}

bool ClientConnection::isReusable() const
{
    return this->open && this->sentAll && this->parser && this->parser->is_done() && this->parser->keep_alive()
        && this->buffer.size() == 0;
}

bool ClientConnection::hasPendingInput()
{
    beast::error_code error;
    char byte = 0;
    this->stream.socket().non_blocking(true, error);
    this->stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace clementinefall::http
