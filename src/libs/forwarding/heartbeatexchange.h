#pragma once

#include "forwarding/instancetable.h"
#include "forwarding/permitmessage.h"
#include "http/awaitable.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>

namespace clementinefall::forwarding {

/// How often an instance sends heartbeats. The interval per destination grows with the size of the fleet, up to 1 s, to
/// bound the cost per instance.
struct HeartbeatTiming {
    /// Half of a usual processing time. These heartbeats include the requests in flight.
    milliseconds sameZoneInterval { 250 };
    milliseconds otherZoneInterval { 1000 }; ///< A third of the liveness timeout.
    unsigned maximumPerSecond = 150; ///< Heartbeats that one instance sends in total.
};

/// Time between two heartbeats to the same instance, in a fleet of \a others besides this one.
milliseconds heartbeatInterval(const HeartbeatTiming& timing, bool isSameZone, std::size_t others);

/// Sends this instance's heartbeats and receives those of the others, over UDP.
class HeartbeatExchange : public std::enable_shared_from_this<HeartbeatExchange> {
public:
    HeartbeatExchange(asio::any_io_executor exchangeExecutor, std::shared_ptr<InstanceTable> instanceTable);

    /// Binds to \a address and starts receiving heartbeats. Error: SettingsBadAddress.
    Status open(const HostPort& address);
    void close();

    /// Sends to the instances whose interval has elapsed. To be called about four times per second.
    void sendDue(const Heartbeat& heartbeat, TimePoint now);
    /// Sends to every instance immediately, when this instance starts or stops.
    void sendToAll(const Heartbeat& heartbeat, TimePoint now);
    /// Sends to \a targets immediately, but for this instance.
    void sendTo(const std::vector<InstanceInfo>& targets, const Heartbeat& heartbeat, TimePoint now);

    /// Sends \a text to the socket of another instance. It may be lost, like a heartbeat.
    void sendTo(const HostPort& instance, const std::string& text);

    /// Called with each permit message and the address of its sender.
    std::function<void(const PermitMessage&, const HostPort& from)> onPermitMessage;

    /// Called with each heartbeat of a registered instance, and what is known of its clock.
    std::function<void(const Heartbeat&, const PeerClock&)> onHeartbeat;

    /// To be called after a pause of the process: the local clock may not have counted it.
    void forgetClocks() { this->clocks.clear(); }

private:
    /// The clock of the instance's current incarnation.
    struct KnownClock {
        std::uint64_t incarnation = 0;
        PeerClock clock;
    };

    Awaitable<void> receiveLoop();
    std::string withClockFor(const InstanceInfo& target, const std::string& text, TimePoint now) const;
    const PeerClock& recordClock(const Heartbeat& heartbeat, TimePoint now);
    void forgetUnregistered(const std::vector<InstanceInfo>& registered);
    void receivePermitMessage(std::string_view text, const asio::ip::udp::endpoint& sender, TimePoint now);

    asio::any_io_executor executor;
    std::shared_ptr<InstanceTable> table;
    asio::ip::udp::socket socket;
    HeartbeatTiming timing;
    std::map<std::string, TimePoint> lastSent;
    std::map<std::string, KnownClock> clocks; ///< By instance.
    std::array<char, 2048> datagram {};
};

} // namespace clementinefall::forwarding
