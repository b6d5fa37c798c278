#pragma once

#include "forwarding/forwardedrequest.h"
#include "forwarding/memorybudget.h"
#include "forwarding/servernotice.h"
#include "forwarding/servercatalog.h"
#include "http/awaitable.h"
#include "requests/retrybudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace clementinefall::forwarding {

/// Result of one attempt at a backend server, with its response if there is one.
struct ServerResponse {
    requests::AttemptEnd end = requests::AttemptEnd::NothingWritten;
    /// Valid when a whole response was received. Without its body when it was streamed, and without parts of it when it
    /// is a long rejection.
    CallerResponse message;
    bool isMisdirected = false; ///< The address belongs to another server now (status 421).
    bool hasSeal = false; ///< See WireNames::responseSeal.
    bool wasStreamed = false; ///< The response, or its first part, was passed to the sink.
    bool isConnectionLost = false; ///< The connection broke between the request and its response.
    bool isCutOff = false; ///< The connection broke within the response.
    bool isExcessive = false; ///< The server sent more than any response may have, and would go on.
    std::optional<LoadReport> load;
    std::optional<RateLimitState> rateLimit; ///< Empty unless the server itself responded to the request.
    std::string detail; ///< Reason for a failure.
};

/// Receives a response that is too long to be buffered.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    /// Starts the response; \a length is empty when it is not known. Like write(), returns false when the caller has
    /// closed the connection.
    virtual Awaitable<bool> begin(const CallerResponse& head, std::optional<std::size_t> length) = 0;
    virtual Awaitable<bool> write(std::string_view chunk) = 0;
    /// Whether begin() or write() would reach the caller now, and not wait for responses to earlier requests.
    virtual bool canPassOn() const = 0;
};

/// When a streamed response is cut. A response that has begun is delivered also after the deadline of its request,
/// unless it stalls or never ends.
struct StreamingLimits {
    /// Between two reads after the deadline. No caller waits that long, so a longer pause comes from a faulty server.
    Duration maximumStall = seconds(10);
    /// Beyond the deadline, without the time for passing the response on.
    Duration maximumOverrun = seconds(10);
};

/// What an exchange has to keep to.
struct ExchangeTerms {
    TimePoint deadline {};
    bool isIdempotent = false; ///< The request may run more than once.
};

/// Timeout for a new connection to \a server. Well under a second, to leave time for another server.
Duration connectTimeout(const BackendServer& server);

/// One connection to a backend server, with one request at a time. It is closed after a request that did not end
/// cleanly, so that a late response is never taken for that of a later request. Not thread-safe: all calls are made on
/// the executor's thread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    /// Response bodies below this size are buffered completely before they are passed on, so that a truncated one can
    /// be replaced by a retry. When memory is short, they are passed on from their first bytes.
    static constexpr std::size_t maximumBufferedBytes = 256UL * 1024;

    ServerConnection(
        const asio::any_io_executor& executor, ServerPointer connectionServer, StreamingLimits streamingLimits = {});

    /// Connects to the server and records the result in it. Returns false on failure.
    Awaitable<bool> connect(Duration timeout);

    /// Sends a request and receives its response, until the deadline of the \a terms. Responses to other requests are
    /// discarded. \a memory accounts for the bytes of the response.
    Awaitable<ServerResponse> exchange(std::shared_ptr<const ForwardedRequest> request, std::string head,
        const WireNames& names, ExchangeTerms terms, ResponseSink& sink, std::shared_ptr<MessageMemory> memory);

    /// Called as soon as the header of a response of the server has arrived, if it contains a notice.
    std::function<void(const ServerNotice&)> onNotice;

    /// Closes the connection; a pending operation ends as cancelled.
    void close();

    bool isReusable() const { return this->reusable; }
    /// Whether connect() failed because nothing listens at the server's address.
    bool wasRefused() const { return this->isRefused; }
    /// Whether the server has closed the idle connection or sent unexpected bytes.
    bool hasPendingInput();
    /// Whether an idle connection is old enough that the server may close it at any moment.
    bool isExpired(TimePoint now) const { return now - this->lastUsedAt >= this->idleLimit; }

private:
    struct PendingResponse;

    Awaitable<ServerResponse> sendAndReceive(
        PendingResponse& pending, std::string head, const WireNames& names, ResponseSink& sink);
    void armWatchdog(TimePoint deadline);
    void armStreamingWatchdog(const PendingResponse& pending);
    Awaitable<void> writeBody(std::shared_ptr<const ForwardedRequest> request);
    void recordBodyWritten(beast::error_code error);
    /// Ends the write of the request's body, and the use of the connection with it. Returns the error that the write
    /// has met.
    Awaitable<beast::error_code> endBodyWrite();
    Awaitable<beast::error_code> readHeader(PendingResponse& pending);
    /// Reads the body. Returns false when it is incomplete or the sink failed.
    Awaitable<bool> readBody(PendingResponse& pending, ResponseSink& sink);
    /// Passes on what was read of the body. Returns false when the sink failed.
    Awaitable<bool> passOn(PendingResponse& pending, ResponseSink& sink);
    /// Drops what was read of a body that nobody gets. Returns false when it goes on beyond all limits.
    bool discardBody(PendingResponse& pending);
    /// Waits until the response may hold more, or for a short time.
    Awaitable<void> waitForMemory(PendingResponse& pending);
    /// Updates the account for the response.
    void recordHeldBytes(const PendingResponse& pending);
    /// What is wrong with the header of a response to the pending request beyond the rules of HTTP: nothing that a
    /// server of the platform sends. Empty when it is in order.
    std::string_view platformFault(const PendingResponse& pending, const WireNames& names) const;
    /// Validates the header of a response and fills in the result.
    void processHeader(PendingResponse& pending, const WireNames& names);
    /// Closes the connection and returns the result of the failed exchange.
    ServerResponse failure(const PendingResponse& pending, beast::error_code error);

    asio::ip::tcp::socket socket;
    asio::steady_timer watchdog;
    ServerPointer server;
    StreamingLimits limits;
    beast::flat_buffer buffer;
    TimePoint lastUsedAt {};
    Duration idleLimit;
    bool reusable = false; ///< The last exchange ended cleanly.
    bool hasCarriedRequest = false; ///< Before the current request.
    bool hasTimedOut = false;
    bool isCancelled = false;
    bool isRefused = false;
    TimePoint requestSentAt {}; ///< Start of the current request.
    bool isRequestWritten = false; ///< The current request was written completely.
    bool isWritingBody = false; ///< Of the current request, beside the read of its response.
    beast::error_code bodyWriteError; ///< Of the current request.
    asio::steady_timer bodyWriteEnd; ///< Cancelled when the write of a body ends.
};

} // namespace clementinefall::forwarding
