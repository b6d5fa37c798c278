#pragma once

#include "http/clientconnection.h"
#include "requests/connectionhealth.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementinefall::requests {

/// Idle connections to backend servers and entry instances, for one traffic thread. A connection is taken out for one
/// exchange and is put back only when that exchange ended cleanly.
class ConnectionPool {
public:
    ConnectionPool(asio::any_io_executor poolExecutor, Random poolRandom);

    struct Lease {
        std::shared_ptr<http::ClientConnection> connection;
        ConnectionState state;
        bool isNew = false;
        unsigned closedIdle = 0; ///< Pooled connections that were closed on the way.
    };

    /// A healthy idle connection to \a address, or a new one that is not connected yet.
    Lease take(const HostPort& address, TimePoint now);

    /// Puts the connection back when it is reusable; closes it otherwise.
    void release(Lease lease, TimePoint now);

    /// Notes that an exchange on the connection timed out; older idle connections to the server become suspect.
    /// Returns true when it made them suspect.
    bool recordExchangeTimeout(const Lease& lease, bool receivedAnyByte, TimePoint now);

    /// Takes a new connection to \a address from its ration; otherwise gives the time at which to ask again.
    std::optional<TimePoint> reserveNewConnection(const HostPort& address, TimePoint now);

    /// Closes connections that are too old or idle for too long.
    void sweep(TimePoint now);

    std::size_t idleCount() const;

private:
    struct Idle {
        std::shared_ptr<http::ClientConnection> connection;
        ConnectionState state;
    };
    struct Server {
        std::vector<Idle> idle;
        ServerSuspicion suspicion;
        TokenBucket ration = newConnectionBucket();
    };

    asio::any_io_executor executor;
    Random random;
    std::map<std::string, Server> servers; ///< By address text.
};

} // namespace clementinefall::requests
