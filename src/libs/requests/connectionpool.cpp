#include "requests/connectionpool.h"

namespace clementinefall::requests {

namespace {

/// Idle connections kept for one address and thread.
constexpr std::size_t maximumIdlePerServer = 16;

} // namespace

ConnectionPool::ConnectionPool(asio::any_io_executor poolExecutor, Random poolRandom)
    : executor(std::move(poolExecutor))
    , random(poolRandom)
{
}

ConnectionPool::Lease ConnectionPool::take(const HostPort& address, TimePoint now)
{
    Server& server = this->servers[address.text()];
    Lease lease;
    while (!server.idle.empty()) {
        IdleConnection candidate = std::move(server.idle.back());
        server.idle.pop_back();
        const bool isUsable = decideUse(candidate.state, server.suspicion, now) == ConnectionUse::Reuse;
        if (isUsable && !candidate.connection->hasPendingInput()) {
            lease.connection = std::move(candidate.connection);
            lease.state = candidate.state;
            return lease;
        }
        candidate.connection->close();
        ++lease.closedIdle;
    }
    lease.connection = std::make_shared<http::ClientConnection>(this->executor);
    lease.state = ConnectionState { now, now, jitteredAge(this->random), 0 };
    lease.isNew = true;
    return lease;
}

void ConnectionPool::release(Lease lease, TimePoint now)
{
    if (!lease.connection->isReusable()) {
        lease.connection->close();
        return;
    }
    Server& server = this->servers[lease.connection->address().text()];
    if (server.idle.size() >= maximumIdlePerServer) {
        lease.connection->close();
        return;
    }
    lease.state.lastUsed = now;
    ++lease.state.exchanges;
    server.idle.push_back({ std::move(lease.connection), lease.state });
}

bool ConnectionPool::recordExchangeTimeout(const Lease& lease, bool receivedAnyByte, TimePoint now)
{
    Server& server = this->servers[lease.connection->address().text()];
    return recordTimeout(server.suspicion, lease.state, receivedAnyByte, now);
}

std::optional<TimePoint> ConnectionPool::reserveNewConnection(const HostPort& address, TimePoint now)
{
    TokenBucket& bucket = this->servers[address.text()].newConnections;
    if (bucket.take(now))
        return std::nullopt;
    return bucket.availableAt(now);
}

void ConnectionPool::sweep(TimePoint now)
{
    for (auto entry = this->servers.begin(); entry != this->servers.end();) {
        Server& server = entry->second;
        std::erase_if(server.idle, [&server, now](const IdleConnection& idle) {
            if (decideUse(idle.state, server.suspicion, now) == ConnectionUse::Reuse)
                return false;
            idle.connection->close();
            return true;
        });
        ++entry;
    }
}

std::size_t ConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto& [address, server] : this->servers)
        count += server.idle.size();
    return count;
}

} // namespace clementinefall::requests
