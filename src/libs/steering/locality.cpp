#include "steering/locality.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace clementinefall::steering {

namespace {

/// One-way delay that halves the score of a zone.
constexpr double halfScoreDelayMs = 50;

/// Weight of the newest period in the moving average of the demand. Arrivals are bursty, so a grant sized for the last
/// period alone would not fit the next one.
constexpr double newestDemandWeight = 0.3;

struct ScoredZone {
    std::optional<Index> zone;
    double score = 0;
};

std::size_t cellIndex(const RoutingSnapshot& snapshot, Index service, Index zone)
{
    return service * snapshot.zones.size() + zone;
}

/// Number of requests of \a priority that may still be sent on the grant of \a zone.
unsigned remainingGrant(const OverflowTable& table, const RoutingSnapshot& snapshot, const FleetView& view,
    Index service, Index zone, bundle::Priority priority, TimePoint now)
{
    const unsigned granted = validHeadroom(snapshot, view, service, zone, now);
    const auto limit = static_cast<unsigned>(std::ceil(granted * admissionLimit(priority)));
    const unsigned sent = table.sentSinceGrant[cellIndex(snapshot, service, zone)];
    return limit > sent ? limit - sent : 0;
}

/// Headroom discounted by delay; 0 without headroom.
double overflowScore(unsigned headroom, milliseconds delay)
{
    return headroom / (1 + static_cast<double>(delay.count()) / halfScoreDelayMs);
}

/// Keeps the current target unless it cannot take requests or another one scored better by `minimumScoreGain` for
/// `moveDelay`.
void updateTarget(OverflowTarget& target, const ScoredZone& best, double currentScore, TimePoint now)
{
    if (!target.current || currentScore <= 0) {
        target = { best.zone, std::nullopt, now };
        return;
    }
    if (best.zone == target.current || best.score < currentScore * (1 + minimumScoreGain)) {
        target.candidate.reset();
        return;
    }
    if (target.candidate != best.zone) {
        target.candidate = best.zone;
        target.candidateSince = now;
    }
    if (now - target.candidateSince >= moveDelay)
        target = { best.zone, std::nullopt, now };
}

} // namespace

OverflowTable makeOverflowTable(const RoutingSnapshot& snapshot)
{
    OverflowTable table;
    table.targets.resize(snapshot.services.size() * snapshot.zones.size());
    table.sentSinceGrant.resize(snapshot.services.size() * snapshot.zones.size());
    table.demand.resize(snapshot.services.size());
    table.averageDemand.resize(snapshot.services.size());
    return table;
}

unsigned takeDemand(OverflowTable& table, Index service)
{
    double& average = table.averageDemand[service];
    average += newestDemandWeight * (std::exchange(table.demand[service], 0) - average);
    return static_cast<unsigned>(std::ceil(average));
}

unsigned requestsWithin(unsigned freeSlots, Duration period, Duration latency)
{
    const double perSlot = latency > Duration::zero()
        ? std::chrono::duration<double>(period) / std::chrono::duration<double>(latency)
        : 1;
    return static_cast<unsigned>(freeSlots * std::max(1.0, perSlot));
}

void recordGrant(FleetView& view, OverflowTable& table, const RoutingSnapshot& snapshot, Index service, Index zone,
    unsigned requests, TimePoint now)
{
    const std::size_t at = cellIndex(snapshot, service, zone);
    view.grants[at] = { requests, now };
    table.sentSinceGrant[at] = 0;
}

std::vector<unsigned> divideHeadroom(unsigned freeRequests, std::span<const unsigned> requested)
{
    const std::uint64_t sum = std::accumulate(requested.begin(), requested.end(), std::uint64_t(0));
    std::vector<unsigned> result(requested.begin(), requested.end());
    if (sum <= freeRequests)
        return result;
    std::uint64_t previousCumulative = 0;
    std::uint64_t cumulative = 0;
    for (std::size_t at = 0; at < requested.size(); ++at) {
        // Rounding the running sum instead of each share keeps the total exact.
        cumulative += requested[at];
        result[at] = static_cast<unsigned>(freeRequests * cumulative / sum - freeRequests * previousCumulative / sum);
        previousCumulative = cumulative;
    }
    return result;
}

OverflowChoice chooseOverflow(OverflowTable& table, ShiftCapTable& caps, const RoutingSnapshot& snapshot,
    const FleetView& view, Index service, Index callerZone, bundle::Priority priority, TimePoint now)
{
    ++table.demand[service];
    OverflowTarget& target = table.targets[cellIndex(snapshot, service, callerZone)];
    const Index callerRegion = snapshot.zones[callerZone].region;
    ScoredZone best;
    double currentScore = 0;
    bool hasHeadroom = false;
    for (Index zone = 0; zone < snapshot.zones.size(); ++zone) {
        if (zone == callerZone || zone == snapshot.localZone || snapshot.zones[zone].isDrained)
            continue;
        const unsigned remaining = remainingGrant(table, snapshot, view, service, zone, priority, now);
        if (remaining == 0)
            continue;
        hasHeadroom = true;
        if (!canShift(caps, snapshot, service, callerZone, zone, now))
            continue;
        const unsigned granted = validHeadroom(snapshot, view, service, zone, now);
        const double score = overflowScore(granted, snapshot.delay(callerRegion, snapshot.zones[zone].region));
        if (score > best.score)
            best = { zone, score };
        if (zone == target.current)
            currentScore = score;
    }
    updateTarget(target, best, currentScore, now);
    if (!target.current)
        return { std::nullopt, hasHeadroom ? ResultCode::NotRunShiftCap : ResultCode::NotRunNoCapacity };
    const Index zone = *target.current;
    const ResultCode spent = spendShift(caps, snapshot, service, callerZone, zone, now);
    if (spent != ResultCode::Answered)
        return { std::nullopt, spent };
    ++table.sentSinceGrant[cellIndex(snapshot, service, zone)];
    return { zone, ResultCode::Answered };
}

std::optional<Index> chooseZonePeer(const RoutingSnapshot& snapshot, const FleetView& view, Index service)
{
    std::optional<Index> best;
    if (!snapshot.localZone)
        return best;
    const auto& peers = snapshot.zones[*snapshot.localZone].instances;
    unsigned maximumSlots = 0;
    for (std::size_t at = 0; at < peers.size(); ++at) {
        const Index instance = peers[at];
        const unsigned slots = view.peerSlots[service * peers.size() + at];
        if (instance == snapshot.localInstance || view.members[instance] != MemberState::Live
            || snapshot.instances[instance].isDrained || slots <= maximumSlots)
            continue;
        best = instance;
        maximumSlots = slots;
    }
    return best;
}

bool hasCapacityAfterDrain(unsigned remainingSlots, unsigned busySlots)
{
    return remainingSlots * 10ULL >= busySlots * 11ULL;
}

Result<ClientBlockTable> buildClientBlocks(std::vector<ClientBlock> blocks, std::vector<SiteRanking> rankings)
{
    std::sort(blocks.begin(), blocks.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (std::size_t at = 0; at < blocks.size(); ++at) {
        const ClientBlock& block = blocks[at];
        if (block.last < block.first)
            return makeError(ResultCode::BundleOutOfRange,
                "client block {} is reversed: its last address is below its first", block.block);
        if (at > 0 && block.first <= blocks[at - 1].last)
            return makeError(
                ResultCode::BundleOutOfRange, "client blocks {} and {} overlap", blocks[at - 1].block, block.block);
        if (block.ranking >= rankings.size())
            return makeError(
                ResultCode::BundleOutOfRange, "client block {} refers to a ranking that does not exist", block.block);
    }
    return ClientBlockTable { std::move(blocks), std::move(rankings) };
}

const ClientBlock* findBlock(const ClientBlockTable& table, std::uint32_t address)
{
    const auto after = std::upper_bound(table.blocks.begin(), table.blocks.end(), address,
        [](std::uint32_t value, const ClientBlock& block) { return value < block.first; });
    if (after == table.blocks.begin())
        return nullptr;
    const ClientBlock& block = *std::prev(after);
    return address <= block.last ? &block : nullptr;
}

std::optional<Index> zoneOfClient(const ClientBlockTable& table, std::uint32_t address,
    std::span<const Index> siteZones, const RoutingSnapshot& snapshot, const FleetView& view)
{
    const ClientBlock* block = findBlock(table, address);
    if (!block)
        return std::nullopt;
    for (const std::uint8_t site : table.rankings[block->ranking]) {
        if (site >= siteZones.size() || siteZones[site] >= snapshot.zones.size())
            continue;
        const auto& instances = snapshot.zones[siteZones[site]].instances;
        const bool hasLive = std::any_of(instances.begin(), instances.end(), [&](Index instance) {
            return view.members[instance] == MemberState::Live && !snapshot.instances[instance].isDrained;
        });
        if (hasLive)
            return siteZones[site];
    }
    return std::nullopt;
}

} // namespace clementinefall::steering
