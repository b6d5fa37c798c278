#pragma once

#include "forwarding/serverreachability.h"
#include "http/awaitable.h"

#include <functional>
#include <memory>

namespace clementinefall::forwarding {

/// Finds out whether this entry instance reaches the backend servers, by connecting to some of them when connections to
/// others have failed. No request is sent. Not thread-safe: all calls are made on the executor's thread.
class ReachabilityMonitor : public std::enable_shared_from_this<ReachabilityMonitor> {
public:
    ReachabilityMonitor(asio::any_io_executor monitorExecutor, std::shared_ptr<ServerCatalog> serverCatalog);

    /// Called when this instance has become stranded, or reaches backend servers again.
    std::function<void()> onChanged;

    const ServerReachability& state() const { return this->reachability; }

    /// A connection to the server could not be established, or broke.
    void recordFailure(const ServerPointer& server, TimePoint now);
    /// A new connection to a server was established.
    void recordConnected() { recordServerConnected(this->reachability); }
    /// Connects to some servers if that is due. To be called several times per second.
    void verifyIfDue(TimePoint now);

private:
    struct Verification;

    Awaitable<void> connectTo(std::shared_ptr<Verification> verification, ServerPointer server);
    void recordAttempt(Verification& verification, bool isConnected);

    asio::any_io_executor executor;
    std::shared_ptr<ServerCatalog> catalog;
    ServerReachability reachability;
    Random random;
};

} // namespace clementinefall::forwarding
