#include "http/sockets.h"

#include "base/clock.h"
#include "http/message.h"

#include <netinet/tcp.h>

#include <vector>

namespace clementinefall::http {

using asio::ip::tcp;

namespace {

constexpr std::size_t maximumDiscardBytes = 4 * 1024 * 1024;
constexpr milliseconds discardTimeout { 1000 };

/// Unacknowledged bytes, and unanswered keep-alive probes, break a connection after about this time. Without it, a
/// connection that has gone silent is noticed only at the caller's deadline. Where it is set, it decides when the
/// probes give up, and not their number; both are chosen so that they agree.
constexpr int silenceMs = 3000;
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

} // namespace

void setSilenceDetection(tcp::socket& socket)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    beast::error_code ignored; // Without these options silence is noticed later, by the deadline.
    socket.set_option(UserTimeout(silenceMs), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(keepAliveIdleSeconds), ignored);
    socket.set_option(KeepInterval(keepAliveIntervalSeconds), ignored);
    socket.set_option(KeepCount(keepAliveProbes), ignored);
}

Status openAcceptor(tcp::acceptor& acceptor, const HostPort& address)
{
    beast::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    const auto attempt = [&error](auto&& step) {
        if (!error)
            step();
    };
    attempt([&] { acceptor.open(endpoint.protocol(), error); });
    attempt([&] { acceptor.set_option(tcp::acceptor::reuse_address(true), error); });
    attempt([&] { acceptor.bind(endpoint, error); });
    attempt([&] { acceptor.listen(asio::socket_base::max_listen_connections, error); });
    if (!error)
        return okStatus();
    beast::error_code ignored;
    acceptor.close(ignored);
    return makeError(ResultCode::SettingsBadAddress, "cannot listen on {}: {}", address.text(), error.message());
}

Awaitable<void> discardInput(beast::tcp_stream& stream)
{
    beast::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    std::vector<char> scratch(relayBufferBytes);
    std::size_t discarded = 0;
    stream.expires_after(discardTimeout);
    while (discarded < maximumDiscardBytes) {
        const auto [error, bytes] = co_await stream.async_read_some(asio::buffer(scratch), useTuple);
        if (error)
            co_return;
        discarded += bytes;
    }
}

} // namespace clementinefall::http
