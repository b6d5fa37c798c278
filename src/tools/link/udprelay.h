#pragma once

#include "http/awaitable.h"
#include "link/relaystate.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <map>
#include <memory>

namespace clementinefall::link {

/// Relays datagrams. Each sender gets its own socket to the target, so that responses find their way back.
class UdpRelay : public std::enable_shared_from_this<UdpRelay> {
public:
    UdpRelay(asio::io_context& relayContext, std::shared_ptr<RelayState> relayState);

    /// Binds and receives. Errors: SettingsBadAddress.
    Status start();
    /// The senders known so far get nothing delivered in \a direction.
    void silenceExisting(Direction direction);
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
    SessionPtr sessionOf(const asio::ip::udp::endpoint& sender);

    asio::io_context& context;
    std::shared_ptr<RelayState> state;
    asio::ip::udp::socket socket;
    std::map<asio::ip::udp::endpoint, SessionPtr> sessions;
    std::size_t underWay = 0;
};

} // namespace clementinefall::link
