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

/// Executions of one identity on one server.
struct Effect {
    std::uint64_t count = 0;
    std::string path;
    std::string bodyHash; ///< Of the last execution; empty until its body is complete.
    milliseconds firstAt { 0 }; ///< Since the start of the simulator.
};

struct ServerCounters {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t shed = 0;
    std::uint64_t expired = 0; ///< The deadline passed in the queue.
    std::uint64_t cancelled = 0;
    std::uint64_t connections = 0;
    std::uint64_t connectionsRefused = 0; ///< Over the connection limit.
    std::uint64_t probes = 0;
    std::uint64_t crashes = 0;
    std::uint64_t startedAfterDrain = 0;
    milliseconds latestStartAfterDrain { 0 }; ///< Since the drain order.
    unsigned highestConcurrency = 0;
};

/// One simulated backend server. It has its own accept loop instead of an http::Server, because it resets, silences
/// and charges single connections. All calls must be made on the context's thread.
class SimServer : public std::enable_shared_from_this<SimServer> {
public:
    SimServer(asio::io_context& serverContext, std::string serviceName, bundle::BackendServer description,
        ServerProfile serverProfile, bundle::Priority priority, std::uint64_t seed);

    /// Binds and accepts. Errors: SettingsBadAddress.
    Status start();
    void stop();

    /// Announces on each response that the server is leaving; it still takes requests.
    void setDraining(bool on);
    /// Reports say always healthy and always idle.
    void setMisleading(bool on) { this->misleading = on; }
    void setSlowFactor(double factor) { this->slowFactor = factor; }
    void setReportLag(milliseconds lag) { this->profile.reportLag = lag; }
    /// Resets every connection and refuses connects for \a restartTime.
    void crash(milliseconds restartTime);
    /// The open connections accept bytes and never answer again; new connections work. Returns their number.
    std::size_t silence();
    /// Forgets effects and counters and ends the orders above.
    void reset();

    asio::io_context& ioContext() { return this->context; }
    const std::string& service() const { return this->serviceName; }
    const bundle::BackendServer& description() const { return this->server; }
    const ServerProfile& serverProfile() const { return this->profile; }
    const std::map<std::string, Effect>& effects() const { return this->effectsByIdentity; }
    const ServerCounters& counters() const { return this->count; }
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
    Awaitable<void> answerProbe(ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, bool isHealth);
    Awaitable<void> answerCancel(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, std::string identity);
    Awaitable<void> runRequest(ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange);
    Awaitable<void> runInSlot(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, ExecutionPtr execution);
    Awaitable<Status> receiveRest(ExecutionPtr execution, std::shared_ptr<http::Exchange> exchange);
    Awaitable<void> answerRequest(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, ExecutionPtr execution);
    Awaitable<void> refuse(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, ExecutionPtr execution, std::string reason);
    Awaitable<void> respond(
        ConnectionPtr connection, std::shared_ptr<http::Exchange> exchange, http::Response response);

    ExecutionPtr newExecution(const http::RequestHeader& header);
    void watch(const std::shared_ptr<http::Exchange>& exchange, const ExecutionPtr& execution);
    std::string countRefusal(const Execution& execution, bool isFull);
    void enterOrQueue(const ExecutionPtr& execution);
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
    TimePoint warmingSince;
    TimePoint busyUntil;
    std::optional<TimePoint> drainOrder;
    bool misleading = false;
    bool stopped = false;
    double slowFactor = 1.0;
    unsigned running = 0;
    std::deque<ExecutionPtr> queue;
    std::set<ExecutionPtr> executions;
    std::set<ConnectionPtr> connections;
    LoadHistory history;
    std::map<std::string, Effect> effectsByIdentity;
    ServerCounters count;
};

} // namespace clementinefall::backend
