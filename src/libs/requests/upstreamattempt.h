#pragma once

#include "http/exchange.h"
#include "requests/connectionpool.h"
#include "requests/retrybudget.h"

#include <functional>
#include <optional>
#include <string>

namespace clementinefall::requests {

/// Body of a request that is being relayed. The prefix is in memory; the rest is read from the sender while it is
/// relayed.
struct RequestBody {
    std::string prefix; ///< At most http::relayBufferBytes.
    std::optional<std::uint64_t> totalBytes; ///< Empty for a chunked body that is longer than the prefix.
    bool isComplete = true; ///< The prefix is the whole body, so the request can be retried.
    std::shared_ptr<http::Exchange> rest; ///< Source of the rest; null when the prefix is the whole body.
    std::uint64_t maximumBytes = 0; ///< The attempt is aborted when the body exceeds this limit.
    bool isRestConsumed = false; ///< Part of the rest was read, so the request cannot be retried.
};

/// Response header and up to one relay buffer of the body, which is the whole body if it is short.
struct UpstreamResponse {
    http::ResponseHeader header;
    std::string body;
    bool isBodyComplete = false;
    std::optional<std::uint64_t> totalBytes; ///< Empty for a chunked body that is not complete yet.
};

/// One attempt to send a request to one backend server or entry instance. It must live until its response has been
/// relayed.
class UpstreamAttempt {
public:
    UpstreamAttempt(ConnectionPool& connectionPool, HostPort target, TimePoint attemptDeadline);

    /// Limits the rate of new connections to the target. Meant for backend servers, since accepting a connection costs
    /// them time.
    void limitConnectionRate() { this->isConnectionRateLimited = true; }

    /// Sets the timeout for the first byte of the response on a reused connection, whose peer may no longer respond.
    void setFirstByteTimeout(Duration timeout) { this->firstByteLimit = timeout; }
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    /// Sends the request and receives the response header and up to one relay buffer of the body. Returns Answered
    /// when these have arrived; receiveMore() reads the rest of a longer body.
    Awaitable<AttemptEnd> run(http::RequestHeader header, RequestBody& body);

    /// Reads the next piece of an incomplete body and returns its size in bytes, 0 at the end of the body. Errors are
    /// those of ClientConnection::receiveBody().
    Awaitable<Result<std::size_t>> receiveMore(asio::mutable_buffer buffer);

    /// Aborts the attempt by closing its connection, so a pending run() or receiveMore() returns soon.
    void cancel();

    UpstreamResponse& response() { return this->received; }
    bool isNewConnection() const { return this->lease.isNew; }
    /// True if this attempt timed out and made the idle connections to its target suspect.
    bool hasSuspectedConnections() const { return this->connectionsSuspected; }

private:
    Awaitable<Status> connect();
    Awaitable<Status> send(http::RequestHeader header, RequestBody& body);
    AttemptEnd attemptEndFor(const Error& error) const;

    ConnectionPool& pool;
    HostPort address;
    TimePoint deadline;
    ConnectionPool::Lease lease;
    UpstreamResponse received;
    std::optional<Duration> firstByteLimit;
    bool isConnectionRateLimited = false;
    bool isCancelled = false;
    bool isConnected = false;
    bool connectionsSuspected = false;
    bool hasEarlyResponse = false;
};

} // namespace clementinefall::requests
