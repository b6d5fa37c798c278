#pragma once

#include "steering/routing.h"
#include "steering/sharehistory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinefall::steering {

/// Interval in which a bulk transfer may send; short enough that a burst delays a lookup by no more.
inline constexpr milliseconds pacingGranularity { 10 };

/// Token bucket for the bulk bytes that one instance sends over one link between regions. It holds what two intervals
/// may send, so that a late timer does not lose rate.
struct LinkBucket {
    std::string key; ///< `<from>/<to>` by region name.
    std::uint64_t bytesPerSecond = 0; ///< Share of this instance.
    std::uint64_t tokens = 0; ///< Bytes that may be sent now.
    std::uint64_t remainder = 0; ///< Of the division in refill, in bytes × 100; small shares lose nothing.
    std::int64_t refilledInterval = 0; ///< Number of the last interval that was added.
};

/// Share of the instances in the sending region in each link's budget, in bytes/s.
ShareTable linkShares(const RoutingSnapshot& snapshot);

/// Buckets for the links of \a snapshot, in its order. Keeps the tokens of links that stay. Rates are 0 until
/// applyShares().
void applySnapshot(std::vector<LinkBucket>& buckets, const RoutingSnapshot& snapshot);

/// Sets the rates to what \a history allows.
void applyShares(std::vector<LinkBucket>& buckets, const ShareHistory& history);

/// Takes up to \a wanted bytes and returns how many may be sent now. When it returns less, the sender waits until
/// nextInterval().
std::uint64_t takeBytes(LinkBucket& bucket, std::uint64_t wanted, TimePoint now);

/// Start of the next interval after \a now.
TimePoint nextInterval(TimePoint now);

} // namespace clementinefall::steering
