#include "steering/shiftcap.h"

#include <algorithm>

namespace clementinefall::steering {

namespace {

/// Maximum size of a block, in seconds of spending at the full share. A restart loses up to one block of the total, and
/// a platform outage is bridged for as long. With 60 holders of a cap this gives two writes a second.
constexpr std::uint64_t maximumBlockSeconds = 30;
/// A block takes at most 1 / remainderDivisor of what is left of the total, so that the first holders do not exhaust
/// it.
constexpr std::uint64_t remainderDivisor = 8;

bool covers(const CapRoute& cap, Index fromZone, Index toZone)
{
    return cap.fromZones[fromZone] && cap.toZones[toZone];
}

void addShares(ShareTable& table, const RoutingSnapshot& snapshot, const CapRoute& cap, const std::vector<bool>& zones,
    std::uint64_t amount)
{
    std::vector<std::string_view> holders;
    for (const InstanceRoute& instance : snapshot.instances) {
        if (zones[instance.zone])
            holders.emplace_back(instance.name);
    }
    const auto amounts = divideShares(amount, cap.key, holders);
    for (std::size_t at = 0; at < holders.size(); ++at)
        table.holders.find(holders[at])->second.back() += amounts[at];
}

bool hasInstances(const RoutingSnapshot& snapshot, const std::vector<bool>& zones)
{
    return std::any_of(snapshot.instances.begin(), snapshot.instances.end(),
        [&](const InstanceRoute& instance) { return zones[instance.zone]; });
}

bool canSpend(const ShiftCapTable& table, ShiftCapShare& share, TimePoint now)
{
    return now - table.startedAt >= restartWait && now - table.lastTick <= maximumTickAge && share.reserved > 0
        && share.window.count(now) < share.perSecond;
}

} // namespace

void SlidingWindow::advance(TimePoint now)
{
    const std::int64_t bucket = std::chrono::floor<milliseconds>(now).time_since_epoch() / bucketWidth;
    const std::int64_t steps = std::min<std::int64_t>(bucket - this->newest, bucketCount);
    for (std::int64_t step = 0; step < steps; ++step) {
        auto& oldest = this->buckets[static_cast<std::size_t>(bucket - step) % bucketCount];
        this->sum -= oldest;
        oldest = 0;
    }
    this->newest = std::max(this->newest, bucket);
}

std::uint64_t SlidingWindow::count(TimePoint now)
{
    this->advance(now);
    return this->sum;
}

void SlidingWindow::add(TimePoint now, std::uint64_t events)
{
    this->advance(now);
    this->buckets[static_cast<std::size_t>(this->newest) % bucketCount] += events;
    this->sum += events;
}

ShareTable capShares(const RoutingSnapshot& snapshot)
{
    ShareTable table;
    table.version = snapshot.version;
    for (const InstanceRoute& instance : snapshot.instances)
        table.holders[instance.name] = {};
    for (const CapRoute& cap : snapshot.caps) {
        table.items.push_back(cap.key);
        for (auto& [holder, amounts] : table.holders)
            amounts.push_back(0);
        const bool hasSource = hasInstances(snapshot, cap.fromZones);
        const bool hasTarget = hasInstances(snapshot, cap.toZones);
        const std::uint64_t targetShare = !hasTarget ? 0 : !hasSource ? cap.perSecond : cap.perSecond / 4;
        addShares(table, snapshot, cap, cap.toZones, targetShare);
        addShares(table, snapshot, cap, cap.fromZones, cap.perSecond - targetShare);
    }
    return table;
}

void applySnapshot(ShiftCapTable& table, const RoutingSnapshot& snapshot)
{
    std::vector<ShiftCapShare> shares;
    shares.reserve(snapshot.caps.size());
    for (const CapRoute& cap : snapshot.caps) {
        const auto previous = std::find_if(
            table.shares.begin(), table.shares.end(), [&](const ShiftCapShare& share) { return share.key == cap.key; });
        ShiftCapShare share = previous == table.shares.end() ? ShiftCapShare {} : *previous;
        if (share.epoch != cap.epoch || cap.total < share.total)
            share.reserved = 0;
        share.key = cap.key;
        share.perSecond = 0;
        share.total = cap.total;
        share.epoch = cap.epoch;
        shares.push_back(std::move(share));
    }
    table.shares = std::move(shares);
}

void applyShares(ShiftCapTable& table, const ShareHistory& history)
{
    for (ShiftCapShare& share : table.shares)
        share.perSecond = history.usable(share.key);
}

bool isWithinMinimumShares(ShiftCapTable& table, const ShareHistory& history, TimePoint now)
{
    return now - table.startedAt >= restartWait
        && std::all_of(table.shares.begin(), table.shares.end(),
            [&](ShiftCapShare& share) { return share.window.count(now) <= history.minimumShare(share.key); });
}

bool canShift(
    ShiftCapTable& table, const RoutingSnapshot& snapshot, Index service, Index fromZone, Index toZone, TimePoint now)
{
    // Within a region no cap is needed; between regions nothing is shifted without one.
    bool isAllowed = snapshot.zones[fromZone].region == snapshot.zones[toZone].region;
    for (const Index at : snapshot.services[service].caps) {
        if (!covers(snapshot.caps[at], fromZone, toZone))
            continue;
        if (!canSpend(table, table.shares[at], now))
            return false;
        isAllowed = true;
    }
    return isAllowed;
}

ResultCode spendShift(
    ShiftCapTable& table, const RoutingSnapshot& snapshot, Index service, Index fromZone, Index toZone, TimePoint now)
{
    if (!canShift(table, snapshot, service, fromZone, toZone, now))
        return ResultCode::NotRunShiftCap;
    for (const Index at : snapshot.services[service].caps) {
        if (!covers(snapshot.caps[at], fromZone, toZone))
            continue;
        --table.shares[at].reserved;
        table.shares[at].window.add(now, 1);
    }
    return ResultCode::Answered;
}

std::optional<CapReservation> reserveBlock(
    const CapLedger& current, const ShiftCapShare& share, std::string_view operationId)
{
    if (current.epoch > share.epoch)
        return std::nullopt;
    const std::uint64_t spent = current.epoch == share.epoch ? current.spent : 0;
    if (spent >= share.total)
        return std::nullopt;
    const std::uint64_t remaining = share.total - spent;
    const std::uint64_t minimum = std::min(std::max<std::uint64_t>(1, share.perSecond), remaining);
    const std::uint64_t amount
        = std::clamp(share.perSecond * maximumBlockSeconds, minimum, std::max(minimum, remaining / remainderDivisor));
    return CapReservation { { share.epoch, spent + amount, std::string(operationId) }, amount, share.total };
}

void creditBlock(ShiftCapShare& share, const CapReservation& reservation)
{
    if (reservation.next.epoch != share.epoch || share.total < reservation.total)
        return;
    share.reserved += reservation.amount;
}

bool needsBlock(const ShiftCapShare& share) { return share.perSecond > 0 && share.reserved * 2 < share.perSecond; }

} // namespace clementinefall::steering
