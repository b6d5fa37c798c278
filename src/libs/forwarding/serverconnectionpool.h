#pragma once

#include "forwarding/serverconnection.h"

#include <map>
#include <memory>
#include <vector>

namespace clementinefall::forwarding {

/// Pool of idle keep-alive connections to backend servers. The most recently used one is reused first, so that surplus
/// connections expire.
class ServerConnectionPool {
public:
    /// Removes a reusable idle connection from the pool; null when there is none.
    std::shared_ptr<ServerConnection> acquire(const ServerPointer& server, TimePoint now);
    /// Returns a connection to the pool, unless it is not reusable or its server is not usable.
    void release(const ServerPointer& server, std::shared_ptr<ServerConnection> connection);

    /// Closes the idle connections of a server that was removed or whose connections may be broken.
    void closeIdle(const ServerPointer& server);

    /// Closes the connections that have reached their idle limit. To be called at least about once a second.
    void closeExpired(TimePoint now);

    std::size_t idleCount() const;

private:
    std::map<ServerPointer, std::vector<std::shared_ptr<ServerConnection>>> idle;
};

} // namespace clementinefall::forwarding
