#pragma once

#include "http/awaitable.h"
#include "link/relaystate.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace clementinefall::link {

/// Relays TCP connections. Pieces stay in order. Each direction of a connection stops reading while more than 4 MiB are
/// buffered. Connections are accepted at once, so the delay applies to bytes and to the end of a stream, not to the
/// connect.
class TcpRelay : public std::enable_shared_from_this<TcpRelay> {
public:
    TcpRelay(asio::io_context& relayContext, std::shared_ptr<RelayState> relayState);

    /// Binds the listener and accepts connections; does nothing if it is open. Errors: SettingsBadAddress.
    Status start();
    /// Resets every connection and refuses new ones until start().
    void stop();
    /// Discards all further bytes of the open connections in \a direction.
    void silenceExisting(Direction direction);
    /// Ends the silence of the open connections.
    void endSilence();
    std::size_t openConnections() const { return this->connections.size(); }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    Awaitable<void> acceptLoop(std::shared_ptr<TcpRelay> self);
    Awaitable<void> connect(std::shared_ptr<TcpRelay> self, ConnectionPtr connection);
    Awaitable<void> read(std::shared_ptr<TcpRelay> self, ConnectionPtr connection, Direction direction);
    Awaitable<void> write(std::shared_ptr<TcpRelay> self, ConnectionPtr connection, Direction direction);
    bool isSilent(const Connection& connection, Direction direction) const;
    void reset(const ConnectionPtr& connection);
    /// Closes the connection once both directions have ended.
    void closeIfFinished(const ConnectionPtr& connection);

    asio::io_context& context;
    std::shared_ptr<RelayState> state;
    asio::ip::tcp::acceptor acceptor;
    std::set<ConnectionPtr> connections;
};

} // namespace clementinefall::link
