#pragma once

#include "backend/serverprofile.h"
#include "http/exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace clementinefall::backend {

/// Record of the executions of one identity on one server.
struct Effect {
    std::uint64_t count = 0;
    std::string path;
    std::string bodyHash; ///< Of the latest execution; empty until its body is received.
    milliseconds firstAt { 0 }; ///< Start of the first execution, since the server was first started.
};

struct ServerCounters {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t shed = 0; ///< Rejected because the queue was full.
    std::uint64_t expired = 0; ///< Not run because the deadline passed on arrival or in the queue.
    std::uint64_t cancelled = 0;
    std::uint64_t connections = 0;
    std::uint64_t connectionsRefused = 0; ///< Reset because the connection limit was reached.
    std::uint64_t probes = 0;
    std::uint64_t crashes = 0;
    std::uint64_t startedAfterDrain = 0;
    milliseconds latestStartAfterDrain { 0 }; ///< From the drain command to the latest start counted above.
    unsigned highestConcurrency = 0;
};

/// One simulated backend server. It has an accept loop of its own instead of an http::Server, because it resets and
/// silences connections and adds the cost of each to its busy time. All calls must be made on the context's thread.
class SimServer : public std::enable_shared_from_this<SimServer> {
public:
    SimServer(asio::io_context& serverContext, std::string serviceName, bundle::BackendServer description,
        ServerProfile serverProfile, bundle::Priority priority, std::uint64_t seed);

    /// Binds the address and accepts connections. Errors: SettingsBadAddress.
    Status start();
    void stop();

    /// While draining, each response announces it and the health report gives it. Requests are still accepted.
    void setDraining(bool on);
    /// If on, health and load reports always give a healthy and idle server.
    void setMisleading(bool on) { this->isMisleading = on; }
    void setSlowFactor(double factor) { this->slowFactor = factor; }
    void setReportLag(milliseconds lag) { this->profile.reportLag = lag; }
    /// Resets every connection, cancels all executions and refuses connections for \a restartTime.
    void crash(milliseconds restartTime);
    /// The connections that are open now read all input but send no further response; new connections are not affected.
    /// Returns the number of open connections.
    std::size_t silenceConnections();
    /// Clears effects and counters, and ends draining, misleading reports and the slow factor.
    void reset();

    asio::io_context& ioContext() { return this->context; }
    const std::string& service() const { return this->serviceName; }
    const bundle::BackendServer& description() const { return this->server; }
    const ServerProfile& serverProfile() const { return this->profile; }
    const std::map<std::string, Effect>& effects() const { return this->effectsByIdentity; }
    const ServerCounters& counters() const { return this->serverCounters; }
    std::uint16_t port() const { return this->server.address.port; }

private:
    struct Connection;
    struct Execution;

    using ExecutionPtr = std::shared_ptr<Execution>;
    using ConnectionPtr = std::shared_ptr<Connection>;

    Status open();
    Awaitable<void> acceptLoop(std::shared_ptr<SimServer> self);
    Awaitable<void> reopen(std::shared_ptr<SimServer> self, milliseconds delay);
    Awaitable<void> serve(std::shared_ptr<SimServer> self, ConnectionPtr connection);
    Awaitable<bool> serveOne(ConnectionPtr connection);
    Awaitable<void> handle(ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange);
    Awaitable<void> respondToProbe(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, bool isHealthProbe);
    Awaitable<void> cancelIdentity(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, std::string identity);
    Awaitable<void> runRequest(ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange);
    Awaitable<void> runInSlot(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, ExecutionPtr execution);
    Awaitable<Status> receiveRemainingBody(ExecutionPtr execution, std::shared_ptr<http::Exchange> exchange);
    Awaitable<void> sendResult(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, ExecutionPtr execution);
    Awaitable<void> sendRejection(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, ExecutionPtr execution, std::string reason);
    Awaitable<void> respond(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, http::Response response);

    ExecutionPtr newExecution(const http::RequestHeader& header);
    void watchDisconnect(const std::shared_ptr<http::Exchange>& exchange, const ExecutionPtr& execution);
    std::string countRejection(const Execution& execution, bool isFull);
    void beginOrQueue(const ExecutionPtr& execution);
    void leaveQueue(const ExecutionPtr& execution);
    TimePoint finishTime(const Execution& execution);
    void begin(const ExecutionPtr& execution);
    void release(const ExecutionPtr& execution);
    void cancel(const ExecutionPtr& execution);
    void recordLoad();
    void setServerFields(http::ResponseHeader& header, const std::string& identity);

    asio::io_context& context;
    std::string serviceName;
    bundle::BackendServer server;
    ServerProfile profile;
    bundle::Priority servicePriority;
    Random random;
    asio::ip::tcp::acceptor acceptor;
    TimePoint processStart;
    TimePoint coldSince; ///< Latest time at which the server began to listen.
    TimePoint busyUntil; ///< End of the time taken by connection and probe costs; work starts after it.
    std::optional<TimePoint> drainRequestedAt;
    bool isMisleading = false;
    bool isStopped = false;
    double slowFactor = 1.0;
    unsigned running = 0;
    std::deque<ExecutionPtr> queue;
    std::set<ExecutionPtr> executions;
    std::set<ConnectionPtr> connections;
    LoadHistory history;
    std::map<std::string, Effect> effectsByIdentity;
    ServerCounters serverCounters;
};

} // namespace clementinefall::backend
