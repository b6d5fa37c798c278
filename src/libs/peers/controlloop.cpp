#include "peers/controlloop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace clementinefall::peers {

namespace asio = boost::asio;

bool ControlLoop::Port::wait()
{
    this->context.run_one();
    return false;
}

bool ControlLoop::Port::poll()
{
    this->context.poll();
    return false;
}

ControlLoop::ControlLoop(asio::io_context& loopContext)
    : context(loopContext)
    , work(asio::make_work_guard(loopContext))
    , port(loopContext)
    , loop(this->port)
    , scope(this->loop)
{
}

void ControlLoop::run()
{
    auto stopped = kj::newPromiseAndFulfiller<void>();
    this->stopper = kj::mv(stopped.fulfiller);
    stopped.promise.wait(this->scope);
}

void ControlLoop::stop()
{
    asio::post(this->context, [this] {
        if (this->stopper)
            this->stopper->fulfill();
    });
}

namespace {

/// Adapts an Asio timer to a KJ promise.
class TimerAdapter {
public:
    TimerAdapter(kj::PromiseFulfiller<void>& timerFulfiller, asio::io_context& context, milliseconds time)
        : timer(context, time)
        , aliveFlag(std::make_shared<bool>(true))
    {
        this->timer.async_wait([isAlive = this->aliveFlag, &timerFulfiller](const boost::system::error_code& error) {
            if (*isAlive && !error)
                timerFulfiller.fulfill();
        });
    }
    ~TimerAdapter() { *this->aliveFlag = false; }
    TimerAdapter(const TimerAdapter&) = delete;
    TimerAdapter& operator=(const TimerAdapter&) = delete;

private:
    asio::steady_timer timer;
    std::shared_ptr<bool> aliveFlag; ///< False after destruction; the handler may already be queued then.
};

} // namespace

kj::Promise<void> delayFor(asio::io_context& context, milliseconds time)
{
    return kj::newAdaptedPromise<void, TimerAdapter>(context, time);
}

} // namespace clementinefall::peers
