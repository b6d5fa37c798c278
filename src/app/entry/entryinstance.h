#pragma once

#include "bundlewatcher.h"
#include "entrysettings.h"
#include "http/server.h"
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

    void adopt(std::shared_ptr<const bundle::Bundle> bundle);
    Awaitable<void> tick();
    Awaitable<void> stopGracefully();
    Awaitable<void> handleAdmin(std::shared_ptr<http::Exchange> exchange);

    EntrySettings settings;
    asio::io_context control { 1 };
    SpanSink spans;
    requests::TrafficState state;
    std::vector<std::unique_ptr<TrafficRunner>> runners;
    std::shared_ptr<http::Server> trafficServer;
    std::shared_ptr<http::Server> adminServer;
    std::shared_ptr<platform::PlatformClient> platformClient;
    std::shared_ptr<BundleWatcher> watcher;
    asio::signal_set signals;
    bool stopRequested = false;
};

} // namespace clementinefall::entry
