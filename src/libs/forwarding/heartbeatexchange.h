#pragma once

#include "forwarding/instancetable.h"
#include "http/awaitable.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>

namespace clementinefall::forwarding {

/// How often an instance sends beats. The time between two beats to the same instance grows with the fleet, so that the
/// cost for each instance stays bounded.
struct HeartbeatTiming {
    milliseconds sameZoneInterval { 250 }; ///< With the requests in flight; half of a usual working time.
    milliseconds otherZoneInterval { 1000 }; ///< A third of the time after which silence counts as death.
    unsigned maximumPerSecond = 150; ///< Beats that one instance sends in all.
};

/// Time between two beats to one instance of a fleet that has \a others besides this one.
milliseconds heartbeatInterval(const HeartbeatTiming& timing, bool isSameZone, std::size_t others);

/// Sends this instance's beats and takes those of the others, over UDP.
class HeartbeatExchange : public std::enable_shared_from_this<HeartbeatExchange> {
public:
    HeartbeatExchange(asio::any_io_executor exchangeExecutor, std::shared_ptr<InstanceTable> instanceTable);

    /// Error: SettingsBadAddress.
    Status open(const HostPort& address);
    void close();

    /// Sends what is due. To be called about four times a second.
    void sendDue(const Heartbeat& heartbeat, TimePoint now);
    /// Sends to every instance at once, for news that cannot wait: this instance starts or stops.
    void sendToAll(const Heartbeat& heartbeat, TimePoint now);

    std::function<void(const Heartbeat&)> onHeartbeat;

private:
    Awaitable<void> receiveLoop();
    void send(const InstanceInfo& target, const std::string& text);

    asio::any_io_executor executor;
    std::shared_ptr<InstanceTable> table;
    asio::ip::udp::socket socket;
    HeartbeatTiming timing;
    std::map<std::string, TimePoint> lastSent;
    std::array<char, 2048> datagram {};
};

} // namespace clementinefall::forwarding
