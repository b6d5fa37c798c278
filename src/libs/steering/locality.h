#pragma once

#include "steering/routing.h"
#include "steering/servertable.h"
#include "steering/shiftcap.h"

#include "base/result.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace clementinefall::steering {

/// Hysteresis of the overflow target: another zone must score better by this fraction for this long. Smaller
/// differences are noise of delayed reports and would make traffic oscillate.
inline constexpr double minimumScoreGain = 0.2;
inline constexpr seconds moveDelay { 3 };

/// Zone to which a service currently overflows, and the candidate that may replace it.
struct OverflowTarget {
    std::optional<Index> current;
    std::optional<Index> candidate;
    TimePoint candidateSince {};
};

/// Overflow state of one instance.
struct OverflowTable {
    std::vector<OverflowTarget> targets; ///< By service × zones + zone of the callers.
    std::vector<unsigned> sentSinceGrant; ///< Requests sent on the latest grant, by service × zones + target zone.
    std::vector<unsigned> demand; ///< Requests that needed another zone since takeDemand(), by service.
    std::vector<double> averageDemand; ///< Moving average of `demand` over the calls, by service.
};

OverflowTable makeOverflowTable(const RoutingSnapshot& snapshot);

/// Number of requests of \a service that are expected to need another zone until the next call, from the moving average
/// of past periods. The instance requests headroom for as many from the other zones. Resets the demand count.
unsigned takeDemand(OverflowTable& table, Index service);

/// Number of requests that \a freeSlots can process within \a period when each takes \a latency; at least one per slot.
/// A latency of zero means unknown.
unsigned requestsWithin(unsigned freeSlots, Duration period, Duration latency);

/// Divides \a freeRequests among the instances in proportion to the headroom that each \a requested. The sum never
/// exceeds \a freeRequests.
std::vector<unsigned> divideHeadroom(unsigned freeRequests, std::span<const unsigned> requested);

/// Records a grant of \a zone to this instance: the number of requests that it may send there until the next grant, for
/// at most `grantLifetime`. The granting zone runs admission control on each request, so a grant that is too high
/// causes rejections but no overload.
void recordGrant(FleetView& view, OverflowTable& table, const RoutingSnapshot& snapshot, Index service, Index zone,
    unsigned requests, TimePoint now);

struct OverflowChoice {
    std::optional<Index> zone;
    ResultCode rejection = ResultCode::NotRunNoCapacity; ///< Reason when `zone` is empty.
};

/// Chooses the zone that processes a request for which the local zone has no capacity, and counts the request against
/// the grant and the shift caps. \a callerZone is the caller's location, which need not be the zone of this instance.
/// Lower priorities leave the last part of a grant to higher ones.
OverflowChoice chooseOverflow(OverflowTable& table, ShiftCapTable& caps, const RoutingSnapshot& snapshot,
    const FleetView& view, Index service, Index callerZone, bundle::Priority priority, TimePoint now);

/// The live peer in the local zone that reports the most free slots for \a service. Used for a request for which the
/// share of this instance has no slot left. Empty when no peer has a free slot.
std::optional<Index> chooseZonePeer(const RoutingSnapshot& snapshot, const FleetView& view, Index service);

/// Whether the \a remainingSlots after a drain are enough for \a busySlots with a reserve of a tenth. A drain for which
/// this is false is slowed and reported.
bool hasCapacityAfterDrain(unsigned remainingSlots, unsigned busySlots);

/// Range of client addresses. 16 bytes, so that 140,000 ranges take 2.2 MB.
struct ClientBlock {
    std::uint32_t first = 0; ///< IPv4 address in host byte order.
    std::uint32_t last = 0;
    std::uint32_t block = 0; ///< Number of the block.
    std::uint32_t ranking = 0; ///< Position in ClientBlockTable::rankings.
};
static_assert(sizeof(ClientBlock) == 16);

/// Number of sites in a ranking. Further sites would never be used, since a lookup response lists few instances.
inline constexpr std::size_t rankedSiteCount = 8;

/// Site numbers, best first.
using SiteRanking = std::array<std::uint8_t, rankedSiteCount>;

/// Maps client addresses to blocks and blocks to ranked sites. Rankings are shared between blocks.
struct ClientBlockTable {
    std::vector<ClientBlock> blocks; ///< Sorted by `first`, without overlaps.
    std::vector<SiteRanking> rankings;
};

/// Sorts \a blocks and builds the table. Errors: BundleOutOfRange when a range is reversed or overlaps another, or when
/// it refers to a ranking that does not exist.
Result<ClientBlockTable> buildClientBlocks(std::vector<ClientBlock> blocks, std::vector<SiteRanking> rankings);

/// Block that contains \a address, or null.
const ClientBlock* findBlock(const ClientBlockTable& table, std::uint32_t address);

/// Zone of the best site for \a address that \a siteZones maps to a zone with a live instance that is not drained.
/// Empty when no block contains the address or no ranked site has such a zone.
std::optional<Index> zoneOfClient(const ClientBlockTable& table, std::uint32_t address,
    std::span<const Index> siteZones, const RoutingSnapshot& snapshot, const FleetView& view);

} // namespace clementinefall::steering
