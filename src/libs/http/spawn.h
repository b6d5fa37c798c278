#pragma once

#include "http/awaitable.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace clementinefall::http {

/// Starts a coroutine that nobody awaits. An exception that leaves it, such as std::bad_alloc, is logged with \a name
/// and ends nothing else; then \a onFailure is called.
void spawn(const asio::any_io_executor& executor, std::string_view name, std::function<Awaitable<void>()> start,
    std::function<void()> onFailure = {});

/// Like spawn(), for a coroutine on which the whole process depends: after an exception it is started again.
void spawnLoop(const asio::any_io_executor& executor, std::string_view name, std::function<Awaitable<void>()> start);

/// Runs the handlers of \a context until it is stopped or out of work. An exception that leaves one of them is logged
/// and ends no other.
void runHandlers(asio::io_context& context);

} // namespace clementinefall::http
