#pragma once

#include "http/clientconnection.h"
#include "requests/connectionhealth.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementinefall::requests {

/// Pool of idle connections to backend servers and entry instances, for one traffic thread. A connection is taken for
/// one exchange and returns to the pool only when that exchange ended cleanly.
class ConnectionPool {
public:
    ConnectionPool(asio::any_io_executor poolExecutor, Random poolRandom);

    struct Lease {
        std::shared_ptr<http::ClientConnection> connection;
        ConnectionState state;
        bool isNew = false;
        unsigned closedIdle = 0; ///< Unusable pooled connections that take() closed.
    };

    /// Returns a usable idle connection to \a address, or a new one that is not connected yet.
    Lease take(const HostPort& address, TimePoint now);

    /// Returns the connection to the pool when it is reusable; closes it otherwise.
    void release(Lease lease, TimePoint now);

    /// Records that an exchange on the connection timed out. Returns true when this makes the older idle connections to
    /// the server suspect.
    bool recordExchangeTimeout(const Lease& lease, bool receivedAnyByte, TimePoint now);

    /// Takes a token for a new connection to \a address. Returns the time at which to try again when there is none.
    std::optional<TimePoint> reserveNewConnection(const HostPort& address, TimePoint now);

    /// Closes idle connections that are too old, unused for too long, or suspect.
    void sweep(TimePoint now);

    std::size_t idleCount() const;

private:
    struct IdleConnection {
        std::shared_ptr<http::ClientConnection> connection;
        ConnectionState state;
    };
    struct Server {
        std::vector<IdleConnection> idle;
        ServerSuspicion suspicion;
        TokenBucket newConnections = newConnectionBucket();
    };

    asio::any_io_executor executor;
    Random random;
    std::map<std::string, Server> servers; ///< By address text.
};

} // namespace clementinefall::requests
