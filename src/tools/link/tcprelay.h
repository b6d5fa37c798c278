#pragma once

#include "http/awaitable.h"
#include "link/relaystate.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace clementinefall::link {

/// Relays TCP connections. Pieces stay in order; each direction of a connection buffers at most 4 MiB and then stops
/// reading. The accept is immediate, so the delay applies to bytes and to the end of a stream, not to the connect.
class TcpRelay : public std::enable_shared_from_this<TcpRelay> {
public:
    TcpRelay(asio::io_context& relayContext, std::shared_ptr<RelayState> relayState);

    /// Binds and accepts. Errors: SettingsBadAddress.
    Status start();
    /// Resets every connection and refuses new ones until start().
    void stop();
    /// The open connections deliver nothing more in \a direction.
    void silenceExisting(Direction direction);
    /// Ends the above.
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
    void finish(const ConnectionPtr& connection);

    asio::io_context& context;
    std::shared_ptr<RelayState> state;
    asio::ip::tcp::acceptor acceptor;
    std::set<ConnectionPtr> connections;
};

} // namespace clementinefall::link
