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

/// An entry instance with its control thread and its traffic threads.
class EntryInstance {
public:
    explicit EntryInstance(EntrySettings instanceSettings);
    ~EntryInstance();

    /// Binds all ports and starts the threads.
    Status start();

    /// Runs the control loop on the calling thread until the instance has stopped.
    void run();

    /// Starts the graceful stop. Only for the control thread.
    void beginStop();

private:
    /// Event loop and system thread of one traffic thread.
    struct TrafficRunner {
        asio::io_context context { 1 };
        /// Keeps the context running while it has no connection.
        asio::executor_work_guard<asio::io_context::executor_type> guard { this->context.get_executor() };
        std::unique_ptr<requests::TrafficThread> thread;
        std::thread systemThread;
    };

    void adopt(const std::shared_ptr<const bundle::Bundle>& bundle);
    /// Publishes the routing state to the traffic threads.
    void publish();
    steering::MemberState memberStateOf(const steering::InstanceRoute& instance) const;
    void queryZoneIfDue(const steering::ShareQuery& query, TimePoint now);
    Awaitable<void> updatePlatformDrains();
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
    TimePoint nextPlatformListRead {};
    TimePoint nextSettledQuery {};
    std::shared_ptr<platform::PlatformClient> platformClient;
    std::shared_ptr<BundleWatcher> watcher;
    std::shared_ptr<admin::AdminService> adminService;
    asio::signal_set signals;
    bool stopRequested = false;
};

} // namespace clementinefall::entry
