#pragma once

#include "base/clock.h"

#include <map>
#include <span>
#include <string>

namespace clementinefall::requests {

/// Divides the retry allowance of the fleet among its entry instances. It answers network partitions and restarts: by
/// the number of live instances, each group that hears of fewer others would take more, and a process that starts again
/// would use the part of the one before it once more.
struct AllowanceHolders {
    TimePoint startedAt {}; ///< Of this process.
    std::map<std::string, TimePoint> lastRegistered {}; ///< Of each instance that may hold a part, by name.
    bool isEntitled = false; ///< Whether this process holds a part.
};

/// Time for which an instance that is no longer registered may still hold a part, as it may have lost contact with the
/// store. Longer than regions are cut off from each other (docs/design.md section 1.3).
inline constexpr std::chrono::hours holderRetention { 2 };

/// Records the names of the \a registered instances, including this one. \a isCurrent tells whether the store confirms
/// them. The first part is due once they are current a budget window after the start: by then the part of an earlier
/// process of this instance has lapsed, and the instances that started together have registered.
void recordHolders(AllowanceHolders& holders, std::span<const std::string> registered, bool isCurrent, TimePoint now);

/// Part of \a fleetAllowance, in retries for each budget window and service, that this instance may use. The parts of
/// all instances add up to half of it. The other half covers instances that know fewer others than there are.
unsigned allowancePart(const AllowanceHolders& holders, double fleetAllowance);

} // namespace clementinefall::requests
