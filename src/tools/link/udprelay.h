#pragma once

#include "http/awaitable.h"
#include "link/relaystate.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <map>
#include <memory>

namespace clementinefall::link {

/// Relays datagrams. Each sender gets its own socket to the target, so that responses can be matched to the sender.
class UdpRelay : public std::enable_shared_from_this<UdpRelay> {
public:
    UdpRelay(asio::io_context& relayContext, std::shared_ptr<RelayState> relayState);

    /// Binds the socket and receives datagrams. Errors: SettingsBadAddress.
    Status start();
    /// Discards all further datagrams of the existing sessions in \a direction.
    void silenceExisting(Direction direction);
    /// Ends the silence of the existing sessions.
    void endSilence();
    std::size_t senders() const { return this->sessions.size(); }

private:
    struct Session;
    using SessionPtr = std::shared_ptr<Session>;

    Awaitable<void> receiveForward(std::shared_ptr<UdpRelay> self);
    Awaitable<void> receiveBackward(std::shared_ptr<UdpRelay> self, SessionPtr session);
    Awaitable<void> deliver(
        std::shared_ptr<UdpRelay> self, SessionPtr session, Direction direction, std::string data, Duration delay);
    void forward(const SessionPtr& session, Direction direction, std::string_view data);
    /// Session of \a sender. Null if the session limit is reached or its socket cannot connect.
    SessionPtr findOrCreateSession(const asio::ip::udp::endpoint& sender);

    asio::io_context& context;
    std::shared_ptr<RelayState> state;
    asio::ip::udp::socket socket;
    std::map<asio::ip::udp::endpoint, SessionPtr> sessions;
    std::size_t datagramsInFlight = 0;
};

} // namespace clementinefall::link
