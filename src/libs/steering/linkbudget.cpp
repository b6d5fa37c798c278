#include "steering/linkbudget.h"

#include <algorithm>

namespace clementinefall::steering {

namespace {

/// Capacity of a bucket in intervals, and the maximum that one refill adds.
constexpr std::int64_t burstIntervals = 2;

std::int64_t intervalOf(TimePoint now)
{
    return std::chrono::floor<milliseconds>(now).time_since_epoch() / pacingInterval;
}

void refill(LinkBucket& bucket, TimePoint now)
{
    constexpr std::uint64_t intervalsPerSecond = seconds(1) / pacingInterval;
    const std::int64_t interval = intervalOf(now);
    if (interval <= bucket.refilledInterval)
        return;
    const auto added = static_cast<std::uint64_t>(std::min(interval - bucket.refilledInterval, burstIntervals));
    const std::uint64_t scaled = bucket.bytesPerSecond * added + bucket.remainder;
    const std::uint64_t limit = std::max<std::uint64_t>(1, bucket.bytesPerSecond * burstIntervals / intervalsPerSecond);
    bucket.tokens = std::min(bucket.tokens + scaled / intervalsPerSecond, limit);
    bucket.remainder = scaled % intervalsPerSecond;
    bucket.refilledInterval = interval;
}

} // namespace

ShareTable linkShares(const RoutingSnapshot& snapshot)
{
    ShareTable table;
    table.version = snapshot.version;
    for (const InstanceRoute& instance : snapshot.instances)
        table.holders[instance.name] = {};
    for (const LinkRoute& link : snapshot.links) {
        table.items.push_back(link.key);
        for (auto& [holder, amounts] : table.holders)
            amounts.push_back(0);
        std::vector<std::string_view> holders;
        for (const InstanceRoute& instance : snapshot.instances) {
            if (snapshot.zones[instance.zone].region == link.from)
                holders.emplace_back(instance.name);
        }
        const auto amounts = divideShares(link.bytesPerSecond, link.key, holders);
        for (std::size_t at = 0; at < holders.size(); ++at)
            table.holders.find(holders[at])->second.back() = amounts[at];
    }
    return table;
}

void applySnapshot(std::vector<LinkBucket>& buckets, const RoutingSnapshot& snapshot)
{
    std::vector<LinkBucket> next;
    next.reserve(snapshot.links.size());
    for (const LinkRoute& link : snapshot.links) {
        const auto previous = std::find_if(
            buckets.begin(), buckets.end(), [&](const LinkBucket& bucket) { return bucket.key == link.key; });
        next.push_back(previous == buckets.end() ? LinkBucket {} : *previous);
        next.back().key = link.key;
        next.back().bytesPerSecond = 0;
    }
    buckets = std::move(next);
}

void applyShares(std::vector<LinkBucket>& buckets, const ShareHistory& history)
{
    for (LinkBucket& bucket : buckets)
        bucket.bytesPerSecond = history.usable(bucket.key);
}

std::uint64_t takeBytes(LinkBucket& bucket, std::uint64_t wanted, TimePoint now)
{
    refill(bucket, now);
    const std::uint64_t taken = std::min(wanted, bucket.tokens);
    bucket.tokens -= taken;
    return taken;
}

TimePoint nextInterval(TimePoint now) { return TimePoint((intervalOf(now) + 1) * pacingInterval); }

} // namespace clementinefall::steering
