#pragma once

#include "link/relaystate.h"

#include <vector>

namespace clementinefall::link {

/// Reads the relays from the INI \a text; \a fileName is used in errors and \a seed for jitter and loss. Each section
/// `[relay <name>]` has the keys `listen`, `to`, `protocol` (tcp, udp or both), `delayMs`, `jitterMs`, `lossPercent`,
/// and for the backward direction `backDelayMs`, `backJitterMs`, `backLossPercent`, which default to the forward
/// values. The error lists every invalid setting.
Result<std::vector<RelayState>> readRelays(const std::string& fileName, const std::string& text, std::uint64_t seed);

} // namespace clementinefall::link
