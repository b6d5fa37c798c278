#pragma once

#include "base/result.h"
#include "requests/quarantine.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::forwarding {

enum class InstanceState : std::uint8_t { Starting, Ready, Stopping };

/// What an entry instance tells the others several times a second. A lost beat is made up for by the next one.
struct Heartbeat {
    std::string name;
    std::uint64_t incarnation = 0; ///< Random, new at each start.
    InstanceState state = InstanceState::Starting;
    std::map<std::string, double> regionUtilization; ///< Used part of its region's slots, by service.
    std::map<std::string, unsigned> inFlight; ///< Its requests at each backend server; to its own zone only.
    std::vector<requests::CrashMark> crashMarks; ///< Crashes that it saw in the last seconds.
};

/// Longest beat in bytes; fits in one datagram on usual links.
inline constexpr std::size_t maximumHeartbeatBytes = 1400;

/// JSON; leaves out what does not fit into `maximumHeartbeatBytes`. Ages of marks are relative to \a now.
std::string encodeHeartbeat(const Heartbeat& heartbeat, TimePoint now);

/// Error: PeerBadMessage.
Result<Heartbeat> decodeHeartbeat(std::string_view text, TimePoint now);

} // namespace clementinefall::forwarding
