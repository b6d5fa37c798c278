#pragma once

#include "base/clock.h"

#include <functional>
#include <set>
#include <span>
#include <string>

namespace clementinefall::forwarding {

/// The availability zones under evacuation. After a restore of the store, an evacuation may be missing until the
/// operator has written it again, and one that has ended may be back until it is removed again. Until then, the zones
/// stay as they were, so that no zone gets requests in between.
struct EvacuationSet {
    std::set<std::string> zones; ///< In force.
    std::set<std::string> listed; ///< According to the store; in force once settled.
    TimePoint settlesAt {}; ///< Unset when `zones` and `listed` are the same.
};

/// Time after a restore within which what the operator wrote is written again.
inline constexpr seconds evacuationSettleTime { 2 };

void replaceEvacuations(EvacuationSet& set, std::set<std::string> listed, bool isAfterRestore, TimePoint now);

/// Applies one change. It was made after the list, so it holds at once.
void changeEvacuation(EvacuationSet& set, const std::string& zone, bool isRemoved);

struct EvacuationChange {
    std::string zone;
    bool isRemoved = false;
};

/// Applies changes that arrive together, and passes the zones in force after each of them to \a apply: an evacuation
/// that has begun and ended since the last answer of the store leaves cold servers, too.
void changeEvacuations(EvacuationSet& set, std::span<const EvacuationChange> changes,
    const std::function<void(const std::set<std::string>& zones)>& apply);

/// Puts the listed zones in force when their time has come. Returns whether that changed the zones.
bool settleEvacuations(EvacuationSet& set, TimePoint now);

} // namespace clementinefall::forwarding
