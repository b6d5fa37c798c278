#pragma once

#include "base/settings.h"
#include "http/awaitable.h"

#include <boost/asio/ip/tcp.hpp>

namespace clementinefall::http {

/// Binds and listens on \a address; the acceptor is closed again on failure. Error: SettingsBadAddress.
Status openAcceptor(asio::ip::tcp::acceptor& acceptor, const HostPort& address);

/// Ends the sending side, then reads and drops input until the peer closes, 4 MB have arrived or one second has passed.
/// To be called after a response that came before the request's end: without it the close would reset the connection
/// and the peer could lose the response.
Awaitable<void> discardInput(beast::tcp_stream& stream);

} // namespace clementinefall::http
