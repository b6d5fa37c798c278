#include "forwarding/serverconnectionpool.h"

namespace clementinefall::forwarding {

std::shared_ptr<ServerConnection> ServerConnectionPool::acquire(const ServerPointer& server, TimePoint now)
{
    const auto found = this->idle.find(server);
    if (found == this->idle.end())
        return nullptr;
    auto& connections = found->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (!connection->isExpired(now) && !connection->hasPendingInput())
            return connection;
        connection->close();
    }
    return nullptr;
}

void ServerConnectionPool::release(const ServerPointer& server, std::shared_ptr<ServerConnection> connection)
{
    if (!connection->isReusable())
        return;
    if (!isUsable(*server)) {
        connection->close();
        return;
    }
    this->idle[server].push_back(std::move(connection));
}

void ServerConnectionPool::closeIdle(const ServerPointer& server)
{
    const auto found = this->idle.find(server);
    if (found == this->idle.end())
        return;
    for (const auto& connection : found->second)
        connection->close();
    this->idle.erase(found);
}

void ServerConnectionPool::closeExpired(TimePoint now)
{
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        auto& connections = entry->second;
        std::erase_if(connections, [now](const auto& connection) {
            const bool expired = connection->isExpired(now);
            if (expired)
                connection->close();
            return expired;
        });
        entry = connections.empty() ? this->idle.erase(entry) : std::next(entry);
    }
}

std::size_t ServerConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto& [server, connections] : this->idle)
        count += connections.size();
    return count;
}

} // namespace clementinefall::forwarding
