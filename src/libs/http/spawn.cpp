#include "http/spawn.h"

#include "base/clock.h"
#include "base/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <exception>
#include <string>
#include <utility>

namespace clementinefall::http {

namespace {

/// Delay before a failed coroutine is started again, so that a permanent failure causes no busy loop.
constexpr milliseconds restartDelay { 100 };

std::string reasonOf(const std::exception_ptr& error)
{
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& exception) {
        return exception.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

void logFailure(std::string_view name, const std::exception_ptr& error)
{
    logError("coroutine_failed", { { "name", name }, { "why", reasonOf(error) } });
}

Awaitable<void> runAgainAfterFailures(std::string_view name, std::function<Awaitable<void>()> start)
{
    while (true) {
        std::exception_ptr failure;
        try {
            co_await start();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure)
            co_return;
        logFailure(name, failure);
        asio::steady_timer timer(co_await asio::this_coro::executor, restartDelay);
        co_await timer.async_wait(useTuple);
    }
}

} // namespace

void spawn(const asio::any_io_executor& executor, std::string_view name, std::function<Awaitable<void>()> start,
    std::function<void()> onFailure)
{
    asio::co_spawn(
        executor, std::move(start), [name, onFailure = std::move(onFailure)](const std::exception_ptr& error) {
            if (!error)
                return;
            logFailure(name, error);
            if (onFailure)
                onFailure();
        });
}

void spawnLoop(const asio::any_io_executor& executor, std::string_view name, std::function<Awaitable<void>()> start)
{
    asio::co_spawn(executor, runAgainAfterFailures(name, std::move(start)), asio::detached);
}

void runHandlers(asio::io_context& context)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (...) {
            logError("handler_failed", { { "why", reasonOf(std::current_exception()) } });
        }
    }
}

} // namespace clementinefall::http
