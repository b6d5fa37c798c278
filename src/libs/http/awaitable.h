#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace clementinefall {

namespace asio = boost::asio;
namespace beast = boost::beast;

template <typename T> using Awaitable = asio::awaitable<T>;

/// Completion token: the awaited operation gives a tuple that starts with its error code and never throws.
inline constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

} // namespace clementinefall
