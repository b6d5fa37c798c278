#pragma once

#include "base/clock.h"
#include "http/message.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <functional>
#include <memory>

namespace clementinefall::http {

/// One request that a server received and its response. Used on the connection's thread only.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(beast::tcp_stream& connectionStream, beast::flat_buffer& connectionBuffer, milliseconds timeout);

    /// Reads the request's header; called once by the server.
    Awaitable<Status> receiveHeader(TimePoint deadline);

    const RequestHeader& header() const { return this->parser.get().base(); }
    std::string peerAddress() const;
    asio::any_io_executor executor() { return this->stream.get_executor(); }
    /// Length of the request's body when the header gives one; nothing for a chunked body.
    std::optional<std::uint64_t> bodyBytes() const;
    bool isBodyComplete() const { return this->parser.is_done(); }

    /// Receives a piece of the request's body; 0 means that it is complete. Errors: BadRequest, SlowSender.
    Awaitable<Result<std::size_t>> receiveBody(asio::mutable_buffer buffer);
    /// Receives the whole body. Errors: as above, BodyTooLarge.
    Awaitable<Result<std::string>> receiveWholeBody(std::size_t maximumBytes);

    /// Sends a whole response.
    Awaitable<Status> respond(Response response);
    /// Sends a response's header. \a length is the body's length, nothing for a chunked body.
    Awaitable<Status> sendHeader(ResponseHeader header, std::optional<std::uint64_t> length);
    Awaitable<Status> sendBody(std::string_view piece);
    Awaitable<Status> endBody();

    /// Breaks the connection, so that the peer sees that the response is not complete.
    void abort();

    /// Calls \a onDisconnect once when the peer closes the connection before stopWatching().
    void watchDisconnect(std::function<void()> onDisconnect);
    void stopWatching();

    bool hasStartedResponse() const { return this->responseStarted; }
    bool hasCompletedResponse() const { return this->responseCompleted; }
    /// The next response tells the peer to close.
    void setClosing() { this->closing = true; }
    bool isKeptAlive() const;

private:
    bool isClosedByPeer();
    Status failed(beast::error_code error);

    using Parser = beast::http::request_parser<beast::http::buffer_body>;
    using Outgoing = beast::http::response<beast::http::buffer_body>;
    using Serializer = beast::http::response_serializer<beast::http::buffer_body>;

    beast::tcp_stream& stream;
    beast::flat_buffer& buffer;
    milliseconds ioTimeout;
    Parser parser;
    std::optional<Outgoing> outgoing;
    std::optional<Serializer> serializer;
    asio::cancellation_signal watchCancel;
    bool watching = false;
    bool closing = false;
    bool continueSent = false;
    bool responseStarted = false;
    bool responseCompleted = false;
    bool broken = false;
};

} // namespace clementinefall::http
