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
struct BeatTiming {
    milliseconds inZone { 250 }; ///< With the requests in flight; half of a usual working time.
    milliseconds elsewhere { 1000 }; ///< A third of the time after which silence counts as death.
    unsigned perSecond = 150; ///< Beats that one instance sends in all.
};

/// Time between two beats to one instance of a fleet that has \a others besides this one.
milliseconds beatInterval(const BeatTiming& timing, bool isSameZone, std::size_t others);

/// Sends this instance's beats and takes those of the others, over UDP.
class BeatExchange : public std::enable_shared_from_this<BeatExchange> {
public:
    BeatExchange(asio::any_io_executor exchangeExecutor, std::shared_ptr<InstanceTable> instanceTable);

    /// Error: SettingsBadAddress.
    Status open(const HostPort& address);
    void close();

    /// Sends what is due. To be called about four times a second.
    void sendDue(const Beat& beat, TimePoint now);
    /// Sends to every instance at once, for news that cannot wait: this instance starts or stops.
    void sendToAll(const Beat& beat, TimePoint now);

    std::function<void(const Beat&)> onBeat;

private:
    Awaitable<void> receiveLoop();
    void send(const InstanceInfo& target, const std::string& text);

    asio::any_io_executor executor;
    std::shared_ptr<InstanceTable> table;
    asio::ip::udp::socket socket;
    BeatTiming timing;
    std::map<std::string, TimePoint> lastSent;
    std::array<char, 2048> datagram {};
};

} // namespace clementinefall::forwarding
