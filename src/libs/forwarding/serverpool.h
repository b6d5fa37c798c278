#pragma once

#include "forwarding/serverconnection.h"

#include <map>
#include <memory>
#include <vector>

namespace clementinefall::forwarding {

/// Idle connections to backend servers, the most recently used first, so that the others expire.
class ServerPool {
public:
    /// An idle connection that can take a request, or nothing.
    std::shared_ptr<ServerConnection> take(const ServerPointer& server, TimePoint now);
    void giveBack(const ServerPointer& server, std::shared_ptr<ServerConnection> connection);

    /// Closes the idle connections of a server that is gone, or whose connections are in doubt.
    void drop(const ServerPointer& server);

    /// Closes the connections that were idle for too long. To be called about once a second.
    void closeExpired(TimePoint now);

    std::size_t idleCount() const;

private:
    std::map<ServerPointer, std::vector<std::shared_ptr<ServerConnection>>> idle;
};

} // namespace clementinefall::forwarding
