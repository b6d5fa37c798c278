#pragma once

#include "base/clock.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <kj/async.h>

#include <functional>

namespace clementinefall::peers {

/// Lets one thread run an Asio `io_context` and a KJ event loop: while the KJ loop has nothing to do, it runs Asio
/// handlers. Construct, run and destroy it on the same thread. Objects of this slice must be destroyed before it.
class ControlLoop {
public:
    explicit ControlLoop(boost::asio::io_context& context);
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    /// Runs both loops until stop().
    void run();

    /// Ends run(). Safe from every thread.
    void stop();

private:
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

/// Promise that is fulfilled after \a time.
kj::Promise<void> delayFor(boost::asio::io_context& context, milliseconds time);

} // namespace clementinefall::peers
