#pragma once

#include "admin/adminservice.h"
#include "bundlewatcher.h"
#include "entrysettings.h"
#include "fleetlink.h"
#include "http/server.h"
#include "peers/controlloop.h"
#include "requests/callerapi.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace clementinefall::entry {

/// One entry instance: a control thread and traffic threads.
class EntryInstance {
public:
    explicit EntryInstance(EntrySettings instanceSettings);
    ~EntryInstance();

    /// Binds all ports and starts the threads.
    Status start();

    /// Runs the control thread's work on the calling thread until the instance has stopped.
    void run();

    /// Begins the graceful stop; safe to call on the control thread only.
    void beginStop();

private:
    struct TrafficRunner {
        asio::io_context context { 1 };
        /// Keeps the thread running while it has no connection.
        asio::executor_work_guard<asio::io_context::executor_type> guard { this->context.get_executor() };
        std::unique_ptr<requests::TrafficThread> thread;
        std::thread runner;
    };

    void adopt(const std::shared_ptr<const bundle::Bundle>& bundle);
    void publish();
    steering::MemberState memberStateOf(const steering::InstanceRoute& instance) const;
    void queryZoneWhenDue(const steering::ShareQuery& query, TimePoint now);
    Awaitable<void> refreshPlatformList();
    Awaitable<void> tick();
    Awaitable<void> stopGracefully();
    Status startControl();
    admin::InstanceHooks adminHooks();
    boost::json::object statusReport() const;
    Awaitable<void> handleAdmin(std::shared_ptr<http::Exchange> exchange);

    EntrySettings settings;
    asio::io_context control { 1 };
    SpanSink spans;
    requests::TrafficState state;
    std::vector<std::unique_ptr<TrafficRunner>> runners;
    std::shared_ptr<http::Server> trafficServer;
    std::shared_ptr<http::Server> adminServer;
    std::unique_ptr<peers::ControlLoop> controlLoop;
    std::unique_ptr<FleetLink> fleet;
    std::shared_ptr<const steering::RoutingSnapshot> snapshot;
    TimePoint nextListRead {};
    TimePoint nextSettledQuery {};
    std::shared_ptr<platform::PlatformClient> platformClient;
    std::shared_ptr<BundleWatcher> watcher;
    std::shared_ptr<admin::AdminService> adminService;
    asio::signal_set signals;
    bool stopRequested = false;
};

} // namespace clementinefall::entry
