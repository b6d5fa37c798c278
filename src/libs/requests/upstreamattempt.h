#pragma once

#include "http/exchange.h"
#include "requests/connectionpool.h"
#include "requests/retrybudget.h"

#include <functional>
#include <optional>
#include <string>

namespace clementinefall::requests {

/// Body of the request that is being relayed: a prefix in memory and the rest still with the sender.
struct RequestBody {
    std::string prefix; ///< At most one relay buffer.
    std::optional<std::uint64_t> totalBytes; ///< Nothing for a chunked body that is longer than the prefix.
    bool isComplete = true; ///< The prefix is the whole body, so the request can be sent again.
    std::shared_ptr<http::Exchange> rest; ///< Source of the rest when it is not complete.
    std::uint64_t maximumBytes = 0; ///< A longer body is broken off.
    bool restConsumed = false; ///< Part of the rest was read, so the request cannot be sent again.
};

/// Response header and, for a short body, the whole body.
struct UpstreamAnswer {
    http::ResponseHeader header;
    std::string body;
    bool isBodyComplete = false;
    std::optional<std::uint64_t> totalBytes; ///< Nothing for a chunked body that is not complete yet.
};

/// One attempt to send a request to one backend server or entry instance. It lives as long as its answer is relayed.
class UpstreamAttempt {
public:
    UpstreamAttempt(ConnectionPool& connectionPool, HostPort target, TimePoint end);

    /// New connections wait for the target's ration; for backend servers, which each connection costs time.
    void rationConnections() { this->isRationed = true; }

    /// Longest wait for the first byte of the answer on a reused connection, which may have gone silent.
    void setFirstByteTimeout(Duration timeout) { this->firstByteLimit = timeout; }
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    /// Sends the request and receives the answer's header and up to one buffer of its body. Gives Answered when that
    /// much arrived; the rest of a longer body follows through receiveMore().
    Awaitable<AttemptEnd> run(http::RequestHeader header, RequestBody& body);

    /// Next piece of a body that is not complete; empty at its end. Errors as ClientConnection::receiveBody().
    Awaitable<Result<std::size_t>> receiveMore(asio::mutable_buffer buffer);

    /// Breaks the attempt off; a pending run() or receiveMore() ends soon.
    void cancel();

    UpstreamAnswer& answer() { return this->received; }
    bool isNewConnection() const { return this->lease.isNew; }
    bool wasSilent() const { return this->silent; }

private:
    Awaitable<Status> connect();
    Awaitable<Status> send(http::RequestHeader header, RequestBody& body);
    AttemptEnd endOf(const Error& error) const;

    ConnectionPool& pool;
    HostPort address;
    TimePoint deadline;
    ConnectionPool::Lease lease;
    UpstreamAnswer received;
    std::optional<Duration> firstByteLimit;
    bool isRationed = false;
    bool cancelled = false;
    bool connected = false;
    bool silent = false;
    bool answeredEarly = false;
};

} // namespace clementinefall::requests
