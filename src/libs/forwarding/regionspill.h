#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// Share of a service's traffic that runs in other regions. It balances an uneven load: the servers of one region are
/// saturated while those of others have capacity. Objects move in the order of their hashes, so that every entry
/// instance moves the same objects first and the servers that handle them keep them cached.
namespace clementinefall::forwarding {

/// Maximum change per second of the fraction of a region's objects that another region runs. The sum over two seconds
/// stays well below the bound for a shift between regions, 0.15 of the requests from one two-second window to the next.
inline constexpr double maximumSpillChangePerSecond = 0.05;

/// The share follows the difference between the regions' utilization: it grows while the local region is busy and
/// clearly busier than another one, and shrinks once the local region is less busy. Repeated load peaks are then met
/// with the share that the previous one needed. The hysteresis between the two thresholds keeps the share constant
/// while the regions are about equal.
inline constexpr double busyUtilization = 0.4;
inline constexpr double growThreshold = 0.15;
inline constexpr double shrinkThreshold = -0.05;

/// Utilization of the local region below which it can run all its traffic, and distance only adds latency.
inline constexpr double idleUtilization = 0.12;

/// Utilization of another region above which its share does not grow.
inline constexpr double saturatedUtilization = 0.8;

/// A share of which a smaller part than this is used shrinks. What it exceeds the use would otherwise move at once when
/// the other region has capacity again.
inline constexpr double minimumUsedPart = 0.85;

/// Weight of the newest measurement in the moving average of the utilization, for measurements every 250 ms.
inline constexpr double utilizationWeight = 0.2;

/// Use of the share of one region: requests for objects that it runs, and how many of them were sent there.
struct SpillUse {
    unsigned intended = 0; ///< Since the previous update.
    unsigned sent = 0;
    double usedPart = 1.0; ///< Moving average of sent to intended requests.
};

/// Spill of one service.
struct RegionSpill {
    std::map<std::string, double> shares; ///< Fraction of the objects that may run in each other region.
    std::map<std::string, SpillUse> uses {}; ///< By region.
    double localUtilization = 0.0; ///< Moving average of outstanding requests per slot; above 1 with queueing.

    /// Fraction of the objects that run in other regions.
    double totalShare() const;
};

/// Capacity of a region, known before the first request. Callers are assumed to be distributed like the entry
/// instances.
struct RegionCapacity {
    double slots = 0;
    std::size_t instances = 0;
};

/// Initial shares of a service, with which all regions have the same utilization. Without them, a small region would be
/// overloaded in the first seconds, in which no server has any object cached, before the shares could adapt.
std::map<std::string, double> initialSpillShares(
    const std::map<std::string, RegionCapacity>& regions, const std::string& localRegion);

/// Records that a request for an object that \a region runs was sent there, or for lack of capacity elsewhere.
void recordSpillUse(RegionSpill& spill, const std::string& region, bool wasSentThere);

/// Adds a measurement of the local utilization and changes one share: it raises that of the least used other region, or
/// lowers that of the most used one. A share that the other region has no capacity for shrinks, too. \a
/// utilizationByRegion holds the other regions that have servers for the service; shares of further regions are removed
/// at once. \a elapsed is the time since the previous call; the change is limited to that of one second.
void updateSpill(RegionSpill& spill, double localUtilization, const std::map<std::string, double>& utilizationByRegion,
    Duration elapsed);

/// The region that runs \a object; empty for the local one.
std::string spillTarget(const RegionSpill& spill, std::uint64_t object);

} // namespace clementinefall::forwarding
