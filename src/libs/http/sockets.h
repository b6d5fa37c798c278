#pragma once

#include "base/settings.h"
#include "http/awaitable.h"

#include <boost/asio/ip/tcp.hpp>

namespace clementinefall::http {

/// Binds and listens on \a address; the acceptor is closed again on failure. Error: SettingsBadAddress.
Status openAcceptor(asio::ip::tcp::acceptor& acceptor, const HostPort& address);

/// Lets the kernel break a connection whose peer acknowledges nothing for about 3 s, also while both sides are idle.
/// Otherwise a connection that has gone silent is noticed only at the next deadline.
void setSilenceDetection(asio::ip::tcp::socket& socket);

/// Ends the sending side, then reads and drops input until the peer closes, 4 MB have arrived or one second has passed.
/// To be called after a response that came before the request's end: without it the close would reset the connection
/// and the peer could lose the response.
Awaitable<void> discardInput(beast::tcp_stream& stream);

} // namespace clementinefall::http
