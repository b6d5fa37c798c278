#pragma once

#include "base/result.h"
#include "forwarding/peerclock.h"
#include "forwarding/ratelimit.h"
#include "platform/currency.h"
#include "requests/quarantine.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::forwarding {

enum class InstanceState : std::uint8_t { Starting, Ready, Stopping };

/// State that an entry instance sends to the others several times per second. Each heartbeat carries the whole state,
/// so the next one makes up for a lost one.
struct Heartbeat {
    std::string name;
    std::uint64_t incarnation = 0; ///< Random; new at each start.
    InstanceState state = InstanceState::Starting;
    bool isStranded = false; ///< Reaches no backend server; see ServerReachability.
    bool asksServers = false; ///< Asks backend servers whether they are cold; see ColdInquiry.
    std::map<std::string, double> regionUtilization; ///< Utilization of its region's slots, by service.
    std::map<std::string, unsigned> inFlight; ///< Requests per backend server; sent to the local zone only.
    std::vector<requests::CrashMark> crashMarks; ///< Recently observed crashes, the most important first.
    std::vector<requests::MarkClearing> clearings {}; ///< Requests with crash marks that have run to an end since.
    /// Rate limits of the backend servers that the instance coordinates, and limits that ended a short time ago.
    std::map<std::string, RateLimitState> rateLimits;
    std::vector<platform::KindReport> reports {}; ///< What the instance knows of the store.
    std::map<std::string, Duration> coldServers {}; ///< Remaining cold times that servers have told the instance.
    /// By the clock of the sender, see withClock(); not set by encodeHeartbeat().
    std::optional<Duration> clock {};
    std::optional<ClockEcho> echo {};
};

/// Maximum size of an encoded heartbeat; fits in one datagram on usual links.
inline constexpr std::size_t maximumHeartbeatBytes = 1400;

/// Encodes as JSON, without the fields that do not fit into `maximumHeartbeatBytes`. Of the requests in flight, those
/// of the most loaded servers are kept, and of the crash marks the first. Times of crash marks are sent as ages at \a
/// now.
std::string encodeHeartbeat(const Heartbeat& heartbeat, TimePoint now);

/// An encoded heartbeat with the sender's clock and the receiver's last stamp.
std::string withClock(std::string text, TimePoint now, const std::optional<ClockEcho>& echo);

/// Reports that are malformed are left out, so that what they tell counts as unknown. Error: PeerBadMessage or
/// PeerVersion.
Result<Heartbeat> decodeHeartbeat(std::string_view text, TimePoint now);

} // namespace clementinefall::forwarding
