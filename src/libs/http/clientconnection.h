#pragma once

#include "base/clock.h"
#include "base/settings.h"
#include "http/message.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <memory>

namespace clementinefall::http {

/// One HTTP/1.1 connection to a server, with one exchange at a time. After an exchange that did not end cleanly the
/// connection is closed and cannot be used again, so that a late response can never answer a later request.
/// All calls must be made on the executor's thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    explicit ClientConnection(asio::any_io_executor executor);

    /// Errors: NotRunConnectRefused, NotRunDeadline.
    Awaitable<Status> connect(HostPort address, TimePoint deadline);

    /// Sends the header. \a bodyBytes is the body's length, nothing for a chunked body of unknown length.
    /// Errors: UnknownConnectionLost, UnknownTimeout.
    Awaitable<Status> sendHeader(RequestHeader header, std::optional<std::uint64_t> bodyBytes, TimePoint deadline);

    /// Sends a piece of the body; the piece must not be empty.
    Awaitable<Status> sendBody(std::string_view piece, TimePoint deadline);

    /// Ends a chunked body.
    Awaitable<Status> endBody(TimePoint deadline);

    /// Waits for the response's header. Errors: UnknownConnectionLost, UnknownTimeout, UnknownAnswerInvalid.
    Awaitable<Result<ResponseHeader>> receiveHeader(TimePoint deadline);

    /// Receives a piece of the response's body; 0 means that the body is complete.
    /// Errors: UnknownAnswerCut, UnknownTimeout, UnknownAnswerInvalid.
    Awaitable<Result<std::size_t>> receiveBody(asio::mutable_buffer buffer, TimePoint deadline);

    /// Length of the response's body when its header gives one.
    std::optional<std::uint64_t> responseBodyBytes() const;

    /// Whole exchange with bodies in memory. Errors as above, BodyTooLarge for a response over \a maximumBytes.
    Awaitable<Result<Response>> exchange(Request request, std::size_t maximumBytes, TimePoint deadline);

    /// Closes at once; a pending operation ends with an error.
    void close();

    bool isOpen() const { return this->open; }
    /// Whether any byte of the current request may have left this process.
    bool hasSentBytes() const { return this->sentBytes; }
    /// Whether any byte of the current response has arrived.
    bool hasReceivedBytes() const { return this->receivedBytes; }
    /// Whether the last exchange ended cleanly and the server keeps the connection open.
    bool isReusable() const;
    /// Whether the peer has closed the idle connection or sent bytes that nobody asked for.
    bool hasPendingInput();

    TimePoint openedAt() const { return this->openTime; }
    TimePoint lastUsedAt() const { return this->lastUse; }
    const HostPort& address() const { return this->serverAddress; }

private:
    using Parser = beast::http::response_parser<beast::http::buffer_body>;
    using Outgoing = beast::http::request<beast::http::buffer_body>;
    using Serializer = beast::http::request_serializer<beast::http::buffer_body>;

    Error failed(beast::error_code error, ResultCode fallback);

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    HostPort serverAddress;
    std::optional<Outgoing> outgoing;
    std::optional<Serializer> serializer;
    std::optional<Parser> parser;
    TimePoint openTime;
    TimePoint lastUse;
    bool open = false;
    bool sentBytes = false;
    bool sentAll = false;
    bool receivedBytes = false;
};

} // namespace clementinefall::http
