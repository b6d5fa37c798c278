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

/// A move between locations needs a score that is better by this part, for this time. Smaller differences are noise of
/// lagging reports and would make traffic swing.
inline constexpr double moveAdvantage = 0.2;
inline constexpr seconds moveDelay { 3 };

/// Zone to which a service overflows now, and the one that may replace it.
struct OverflowTarget {
    std::optional<Index> current;
    std::optional<Index> candidate;
    TimePoint candidateSince {};
};

/// Overflow state of one instance: targets by service × zones + zone of the callers, and what it sent into each grant.
struct OverflowTable {
    std::vector<OverflowTarget> targets;
    std::vector<unsigned> sentSinceGrant; ///< By service × zones + target zone.
    std::vector<unsigned> demand; ///< Requests that needed another zone since takeDemand(), by service.
    std::vector<double> averageDemand; ///< Moving average of `demand` over the calls, by service.
};

OverflowTable makeOverflowTable(const RoutingSnapshot& snapshot);

/// Requests of \a service that are likely to need another zone until the next call, from the average of the past
/// periods. The instance asks the other zones for as many.
unsigned takeDemand(OverflowTable& table, Index service);

/// Requests that \a freeSlots can run within \a period when one takes \a latency; at least one per slot. Zero latency
/// means that it is unknown.
unsigned requestsWithin(unsigned freeSlots, Duration period, Duration latency);

/// Divides \a freeRequests among the instances that asked for headroom, in proportion to what they asked for. The sum
/// never exceeds the free requests.
std::vector<unsigned> divideHeadroom(unsigned freeRequests, std::span<const unsigned> asked);

/// Records a grant of \a zone to this instance: the number of requests that it may send there until the next grant, for
/// at most 2 s. The granting side admits each request again, so a grant that is too high costs refusals but no
/// overload.
void recordGrant(FleetView& view, OverflowTable& table, const RoutingSnapshot& snapshot, Index service, Index zone,
    unsigned requests, TimePoint now);

struct OverflowChoice {
    std::optional<Index> zone;
    ResultCode refusal = ResultCode::NotRunNoCapacity; ///< Reason when there is no zone.
};

/// Chooses the zone that runs a request which the own zone cannot, and spends the grant and the shift caps for it.
/// \a callerZone is the caller's location, which need not be the zone of this instance. Bulk classes leave the last
/// part of a grant to higher ones.
OverflowChoice chooseOverflow(OverflowTable& table, ShiftCapTable& caps, const RoutingSnapshot& snapshot,
    const FleetView& view, Index service, Index callerZone, bundle::Priority priority, TimePoint now);

/// The live peer in the own zone that reports the most free slots for \a service, for a request that the own share has
/// no slot for. Empty when no peer has any.
std::optional<Index> chooseZonePeer(const RoutingSnapshot& snapshot, const FleetView& view, Index service);

/// True if the \a remainingSlots that a drain leaves are enough for \a busySlots with a reserve of a tenth. A drain for
/// which this is false is slowed and reported.
bool leavesCapacity(unsigned remainingSlots, unsigned busySlots);

/// One range of client addresses. 16 bytes, so that 140,000 ranges take 2.2 MB.
struct ClientBlock {
    std::uint32_t first = 0; ///< IPv4 address in host order.
    std::uint32_t last = 0;
    std::uint32_t block = 0; ///< Number of the block.
    std::uint32_t ranking = 0; ///< Position in ClientBlockTable::rankings.
};
static_assert(sizeof(ClientBlock) == 16);

/// Sites that a ranking names. The rest is of no use to a caller, since lookups list few instances.
inline constexpr std::size_t rankedSites = 8;

/// Site numbers, the best first.
using SiteRanking = std::array<std::uint8_t, rankedSites>;

/// Maps client addresses to blocks and blocks to ranked sites. Rankings are shared between blocks.
struct ClientBlockTable {
    std::vector<ClientBlock> blocks; ///< Sorted by `first`, not overlapping.
    std::vector<SiteRanking> rankings;
};

/// Sorts \a blocks and builds the table. Errors: BundleOutOfRange when a range is reversed or overlaps another, or when
/// a ranking is unknown.
Result<ClientBlockTable> buildClientBlocks(std::vector<ClientBlock> blocks, std::vector<SiteRanking> rankings);

/// Block of \a address, or null when it is in none.
const ClientBlock* findBlock(const ClientBlockTable& table, std::uint32_t address);

/// First of the sites ranked for \a address that \a siteZones maps to a zone with a live instance; empty when the
/// address is unknown or no such site has one.
std::optional<Index> zoneOfClient(const ClientBlockTable& table, std::uint32_t address,
    std::span<const Index> siteZones, const RoutingSnapshot& snapshot, const FleetView& view);

} // namespace clementinefall::steering
