#include "forwarding/reachabilitymonitor.h"

#include "base/log.h"
#include "forwarding/serverconnection.h"
#include "http/spawn.h"

namespace clementinefall::forwarding {

/// Results of connecting to several servers at the same time.
struct ReachabilityMonitor::Verification {
    std::size_t attempted = 0;
    std::size_t finished = 0;
    std::size_t connected = 0;
};

ReachabilityMonitor::ReachabilityMonitor(
    asio::any_io_executor monitorExecutor, std::shared_ptr<ServerCatalog> serverCatalog)
    : executor(std::move(monitorExecutor))
    , catalog(std::move(serverCatalog))
    , random(systemSeededRandom())
{
}

void ReachabilityMonitor::recordFailure(const ServerPointer& server, TimePoint now)
{
    recordServerFailure(this->reachability, server->entry.id, now);
    this->verifyIfDue(now);
}

void ReachabilityMonitor::verifyIfDue(TimePoint now)
{
    if (!isVerificationDue(this->reachability, now))
        return;
    const std::vector<ServerPointer> servers
        = serversToVerify(this->reachability, this->catalog->allServers(), this->random);
    if (servers.empty())
        return;
    this->reachability.isVerifying = true;
    this->reachability.verifiedAt = now;
    const auto verification = std::make_shared<Verification>(Verification { .attempted = servers.size() });
    const auto self = this->shared_from_this();
    for (const ServerPointer& server : servers) {
        http::spawn(
            this->executor, "verify_server",
            [self, verification, server] { return self->connectTo(verification, server); },
            [self, verification] { self->recordAttempt(*verification, false); });
    }
}

Awaitable<void> ReachabilityMonitor::connectTo(std::shared_ptr<Verification> verification, ServerPointer server)
{
    const auto self = this->shared_from_this();
    // A copy, as the result says as much about this instance as about the server.
    auto endpoint = std::make_shared<BackendServer>();
    endpoint->entry = server->entry;
    const auto connection = std::make_shared<ServerConnection>(this->executor, endpoint);
    const bool isConnected = co_await connection->connect(connectTimeout(*server));
    connection->close();
    this->recordAttempt(*verification, isConnected);
}

void ReachabilityMonitor::recordAttempt(Verification& verification, bool isConnected)
{
    verification.connected += isConnected ? 1 : 0;
    if (++verification.finished < verification.attempted)
        return;
    if (!recordVerification(this->reachability, verification.attempted, verification.connected))
        return;
    logWarning(this->reachability.isStranded ? "servers_unreachable" : "servers_reachable",
        { { "attempted", verification.attempted }, { "connected", verification.connected },
            { "failed_servers", this->reachability.failures.size() } });
    if (this->onChanged)
        this->onChanged();
}

} // namespace clementinefall::forwarding
