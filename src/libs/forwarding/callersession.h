#pragma once

#include "forwarding/forwarder.h"
#include "forwarding/memorybudget.h"
#include "http/growingbody.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <deque>
#include <exception>
#include <map>
#include <memory>
#include <optional>

namespace clementinefall::forwarding {

/// State shared by all caller sessions.
struct SessionContext {
    std::shared_ptr<Forwarder> forwarder;
    WireNames names;
    /// Time for writing a response, or one part of a streamed response, to a caller that reads slowly.
    Duration writeTimeout = seconds(20);
    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>(64ULL * 1024 * 1024);
    bool isStopping = false; ///< Connections are closed after the last queued response.
    bool rejectsNewRequests = false; ///< New requests are rejected as not run.
    /// Set during a stop: requests that would take longer are rejected as not run.
    std::optional<TimePoint> answerAllAt;
    std::size_t inProgress = 0; ///< Requests that were received and have no response yet.
    std::size_t maximumPeerRequests = 1000; ///< Requests of other instances that are forwarded at once.
    std::map<std::string, std::size_t> peerRequestsByRoute; ///< Those that are forwarded now.
};

/// Who sends the requests of a connection.
enum class RequestSource : std::uint8_t {
    Caller,
    EntryInstance, ///< Another entry instance; see peerforwarding.h.
};

/// What a session does with its requests.
enum class SessionMode : std::uint8_t {
    Serve,
    Reject, ///< Rejects the first request as not run and closes, as there are too many connections.
};

/// One connection of a caller, with pipelining. Idempotent requests run concurrently, others only once they are first
/// in the queue. Responses are sent in the order of the requests.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(asio::ip::tcp::socket callerSocket, std::shared_ptr<SessionContext> sessionContext,
        RequestSource requestSource, SessionMode sessionMode = SessionMode::Serve);

    /// Receives requests until the connection is closed.
    Awaitable<void> run();

    /// Whether no request is queued or being received, nor waits in the socket to be read.
    bool isIdle() const;
    /// Closes the connection and cancels its requests.
    void close();

private:
    class StreamingSink;
    struct QueuedRequest;

    /// Why a request is not forwarded, and when its caller may come back.
    struct Rejection {
        Error error;
        Duration retryAfter;
    };

    using Parser = beast::http::request_parser<http::GrowingBody>;

    /// Receives one request and starts to serve it. Returns false when no further one can follow.
    Awaitable<bool> receive();
    /// Reads and parses a part of a request. Error operation_aborted when the watchdog has fired.
    Awaitable<beast::error_code> readSome(Parser& parser);
    /// Errors: BodyTooLarge, NotRunMemory, SlowSender, BadRequest; UnknownCancelled when the caller closed the
    /// connection.
    Awaitable<Status> receiveBody(Parser& parser, std::shared_ptr<QueuedRequest> queued, std::uint64_t limitBytes);
    /// Forwards a request and sends the response when it is first in the queue.
    Awaitable<void> serve(std::shared_ptr<QueuedRequest> queued);
    /// Waits until the request is first in the queue. Returns false when the connection was closed.
    Awaitable<bool> awaitTurn(std::shared_ptr<QueuedRequest> queued);
    Awaitable<bool> send(const CallerResponse& response, bool isHead);
    /// Writes to the caller. Returns false when the connection was closed, also because the caller reads too slowly.
    template <std::size_t count> Awaitable<bool> write(std::array<asio::const_buffer, count> buffers);
    /// Encodes the header of a response, for another entry instance with its outcome.
    std::string encodeHead(const CallerResponse& response, std::optional<std::size_t> bodyBytes) const;
    /// Responds to a request that is malformed or was not received completely. receive() then closes the connection.
    /// \a request is null when the header could not be decoded. \a error must outlive the coroutine.
    Awaitable<void> reject(const Error& error, std::shared_ptr<const ForwardedRequest> request);
    /// Reads and discards input until the connection ends.
    Awaitable<void> discardInput();
    /// Closes the connection after an exception while the request was served.
    void abandon(const std::shared_ptr<QueuedRequest>& queued, const std::exception_ptr& error);
    /// Whether the instance stops before the request could be answered, or takes no requests any more.
    bool isTooLate(const RequestContext& requestContext) const;
    /// Whether requests of other instances leave room for another one of this \a route.
    bool hasRoomFor(const Route* route) const;
    std::optional<Rejection> findRejection(const RequestContext& requestContext) const;
    /// Forwards a request, and counts it if another instance has sent it.
    Awaitable<Forwarder::Outcome> forward(std::shared_ptr<RequestContext> requestContext);
    void finishRequest(const std::shared_ptr<QueuedRequest>& queued);
    void cancelRequests();
    void armWatchdog(TimePoint deadline);
    void armWriteWatchdog();
    void armIdleTimeout();
    CallerLimits limits() const;

    asio::ip::tcp::socket socket;
    asio::cancellation_signal readCancellation;
    asio::steady_timer watchdog; ///< Ends a read from the caller that takes too long.
    asio::steady_timer writeWatchdog;
    asio::steady_timer queueSignal; ///< Cancelled when a request leaves the queue or the connection is closed.
    std::shared_ptr<SessionContext> context;
    RequestSource source;
    SessionMode mode;
    beast::flat_buffer buffer;
    std::shared_ptr<ConnectionMemory> connectionMemory;
    /// Requests in the order of arrival. Only the response to the first one may be sent.
    std::deque<std::shared_ptr<QueuedRequest>> queue;
    bool isReading = false; ///< A request is being received.
    bool hasReadTimedOut = false; ///< The watchdog has fired since it was armed.
    bool isClosed = false;
    bool willClose = false; ///< No further request is accepted; the connection closes after the last response.
};

} // namespace clementinefall::forwarding
