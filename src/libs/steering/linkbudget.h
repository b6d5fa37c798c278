#pragma once

#include "steering/routing.h"
#include "steering/sharehistory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinefall::steering {

/// Interval at which the tokens of a link are refilled. A burst of bulk data delays a lookup by no more than this.
inline constexpr milliseconds pacingInterval { 10 };

/// Token bucket for the bulk bytes that one instance sends over one link between regions. Its burst is two intervals,
/// so that a late timer does not lower the rate.
struct LinkBucket {
    std::string key; ///< `<from>/<to>` by region name.
    std::uint64_t bytesPerSecond = 0; ///< Share of this instance in the link budget.
    std::uint64_t tokens = 0; ///< Bytes that may be sent now.
    std::uint64_t remainder
        = 0; ///< Remainder of the last refill, in bytes × 100, so that rounding does not lower small shares.
    std::int64_t refilledInterval = 0; ///< Number of the last interval that was refilled.
};

/// Divides the budget of each link, in bytes/s, among the instances of its sending region.
ShareTable linkShares(const RoutingSnapshot& snapshot);

/// Replaces \a buckets by those for the links of \a snapshot, in its order. Links that remain keep their tokens. Rates
/// are 0 until applyShares().
void applySnapshot(std::vector<LinkBucket>& buckets, const RoutingSnapshot& snapshot);

/// Sets the rates to what \a history allows.
void applyShares(std::vector<LinkBucket>& buckets, const ShareHistory& history);

/// Takes up to \a wanted bytes from the bucket and returns how many may be sent now. When it returns fewer, the sender
/// waits until nextInterval().
std::uint64_t takeBytes(LinkBucket& bucket, std::uint64_t wanted, TimePoint now);

/// Start of the next interval after \a now.
TimePoint nextInterval(TimePoint now);

} // namespace clementinefall::steering
