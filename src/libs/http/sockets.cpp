#include "http/sockets.h"

#include "base/clock.h"
#include "http/message.h"

#include <vector>

namespace clementinefall::http {

using asio::ip::tcp;

namespace {

constexpr std::size_t maximumDiscardBytes = 4 * 1024 * 1024;
constexpr milliseconds discardTimeout { 1000 };

} // namespace

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
