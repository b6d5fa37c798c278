#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// How much of a service's traffic runs in other regions. Answers an uneven load: a region whose servers are full while
/// others have room. Objects move by the order of their hashes, so that the same objects leave first on every entry
/// instance and the servers that handle them keep them.
namespace clementinefall::forwarding {

/// Part of a region's requests that may move to or from other regions in each second. The sum over two seconds stays
/// well under the bound for a shift between regions, 0.15 of the requests from one two-second window to the next.
inline constexpr double spillChangePerSecond = 0.05;

/// The share follows the difference between the regions' use: it grows while the own region is busy and clearly busier
/// than the others, and shrinks once it is less busy than they are. Waves of load are then met with the share that the
/// last one needed. The gap keeps the share still while the regions are about equal.
inline constexpr double busyUse = 0.4;
inline constexpr double growDifference = 0.15;
inline constexpr double shrinkDifference = -0.05;

/// Use of the own region under which everything fits there and distance only costs time.
inline constexpr double idleUse = 0.12;

/// Used part of another region's slots above which nothing more is sent there.
inline constexpr double fullUse = 0.8;

/// Weight of the newest measurement of the use, for measurements every quarter of a second.
inline constexpr double useWeight = 0.2;

/// State for one service.
struct RegionSpill {
    std::map<std::string, double> shares; ///< Part of the objects that each other region runs.
    double ownUse = 0.0; ///< Moving average of outstanding requests over slots.

    double total() const;
};

/// What is known of a region before any request has come: its slots, and its entry instances, by which callers are
/// assumed to be spread.
struct RegionCapacity {
    double slots = 0;
    std::size_t instances = 0;
};

/// Shares with which a service starts, so that all regions are used alike. Without them the first seconds, in which no
/// server has handled any object yet, would overload a small region before the shares could follow.
std::map<std::string, double> initialSpillShares(
    const std::map<std::string, RegionCapacity>& regions, const std::string& own);

/// Adds a measurement of the own use and moves one share: that of the least used other region up, or that of the most
/// used one down. \a useByRegion holds the other regions that have room for the service at all; shares of other
/// regions end at once. \a elapsed is the time since the last call.
void updateSpill(RegionSpill& spill, double ownUse, const std::map<std::string, double>& useByRegion, Duration elapsed);

/// The region that runs \a object; empty for the own one.
std::string spillTarget(const RegionSpill& spill, std::uint64_t object);

} // namespace clementinefall::forwarding
