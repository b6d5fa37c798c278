#pragma once

#include "base/clock.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <kj/async.h>

#include <functional>

namespace clementinefall::peers {

/// Runs an Asio `io_context` and a KJ event loop on one thread: while the KJ loop is idle, it runs Asio handlers.
/// Construct, run and destroy it on the same thread. Peer clients, peer servers and streams must be destroyed before
/// it.
class ControlLoop {
public:
    explicit ControlLoop(boost::asio::io_context& context);
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    /// Runs both loops until stop().
    void run();

    /// Ends run(). Thread-safe.
    void stop();

private:
    /// Waits for events of the KJ loop by running Asio handlers.
    class Port final : public kj::EventPort {
    public:
        explicit Port(boost::asio::io_context& portContext)
            : context(portContext)
        {
        }
        bool wait() override;
        bool poll() override;

    private:
        boost::asio::io_context& context;
    };

    boost::asio::io_context& context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    Port port;
    kj::EventLoop loop;
    kj::WaitScope scope;
    kj::Own<kj::PromiseFulfiller<void>> stopper;
};

/// Returns a promise that is fulfilled after \a time.
kj::Promise<void> delayFor(boost::asio::io_context& context, milliseconds time);

} // namespace clementinefall::peers
