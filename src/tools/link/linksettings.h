#pragma once

#include "link/relaystate.h"

#include <vector>

namespace clementinefall::link {

/// Reads the relays of an INI text. Each section `[relay <name>]` has the keys `listen`, `to`, `protocol` (tcp, udp or
/// both), `delayMs`, `jitterMs`, `lossPercent`, and for the way back `backDelayMs`, `backJitterMs`, `backLossPercent`,
/// which default to the values of the way forth. The error lists every mistake.
Result<std::vector<RelayState>> readRelays(const std::string& fileName, const std::string& text, std::uint64_t seed);

} // namespace clementinefall::link
