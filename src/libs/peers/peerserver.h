#pragma once

#include "membership/messagecodec.h"
#include "peers/peermessages.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace clementinefall::peers {

struct PeerServerSettings {
    HostPort address; ///< Port 0 selects a free port.
    membership::ClusterKey key {};
    std::size_t maximumConnections = 128;
    /// A connection that has not authenticated within this time is closed.
    milliseconds authenticationTimeout { 2000 };
    /// Connections without a call for this long are closed, so that idle ones do not use up the limit.
    milliseconds idleTimeout { 60'000 };
};

/// Accepts RPC connections from other entry instances. Must be used and destroyed on the thread of a ControlLoop.
class PeerServer {
public:
    PeerServer(boost::asio::io_context& context, PeerServerSettings settings, PeerHandlers handlers);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    /// Errors: SettingsBadAddress when the address cannot be bound.
    Status listen();

    std::uint16_t port() const;
    std::size_t connectionCount() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace clementinefall::peers
