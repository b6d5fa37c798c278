#include "forwarding/ratelimit.h"

#include "base/durations.h"
#include "base/hash.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace clementinefall::forwarding {

namespace {

/// Requests are sent at this rate at least. Without any, the end of a limit would never be noticed.
constexpr double minimumPerSecond = 0.2;

/// Part of the limit that is granted while another instance may still coordinate the same server.
constexpr double handoverFraction = 0.3;

} // namespace

std::optional<double> parseRateLimit(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
        return std::nullopt;
    return value;
}

bool mergeRateLimit(RateLimitState& state, const RateLimitState& other)
{
    if (other.asOf <= state.asOf)
        return false;
    const bool isChanged = state.perSecond != other.perSecond;
    state = other;
    return isChanged;
}

RateLimitState observedRateLimit(std::optional<double> perSecond, TimePoint sentAt, TimePoint receivedAt)
{
    return { .perSecond = perSecond, .asOf = perSecond ? receivedAt : sentAt };
}

PermitDecision takePermit(
    PermitBucket& bucket, double perSecond, bool isHandedOver, Duration maximumDelay, TimePoint now)
{
    const double rate = std::max(minimumPerSecond, perSecond * (isHandedOver ? handoverFraction : 1.0));
    const Duration interval = fromSeconds(1.0 / rate);
    // At least one permit is kept, otherwise a rate below the inverse of the burst time would never be granted.
    const Duration tolerance = std::max<Duration>(permitBurstTime - interval, Duration {});
    if (bucket.createdAt == TimePoint {}) {
        bucket.createdAt = now;
        bucket.theoreticalArrival = now + tolerance + interval;
    }
    // After a lower limit, the next permit may lie further ahead than the current limit warrants.
    const TimePoint latestArrival = now + tolerance + interval + permitReservationLimit;
    bucket.theoreticalArrival = std::min(bucket.theoreticalArrival, latestArrival);
    const auto untilNext = [&] { return std::max(bucket.theoreticalArrival - tolerance - now, Duration {}); };
    const Duration delay = untilNext();
    if (delay > std::min<Duration>(maximumDelay, permitReservationLimit))
        return { .nextAvailable = delay };
    // A limit that fell leaves at most the permits of the burst time.
    bucket.theoreticalArrival = std::max(bucket.theoreticalArrival, now) + interval;
    return { .isGranted = true, .delay = delay, .nextAvailable = untilNext() };
}

double slotsWithinRateLimit(const RateLimitState& state, unsigned slots, Duration processingTime)
{
    const double all = std::max(1U, slots);
    if (!state.perSecond)
        return all;
    const double used = *state.perSecond * std::chrono::duration<double>(processingTime).count();
    return std::min(all, used);
}

std::size_t coordinatorIndex(std::string_view serverId, std::span<const std::string> instances)
{
    const std::uint64_t seed = hash64(serverId);
    const auto precedes = [seed](const std::string& left, const std::string& right) {
        return hash64(left, seed) > hash64(right, seed);
    };
    return static_cast<std::size_t>(std::min_element(instances.begin(), instances.end(), precedes) - instances.begin());
}

} // namespace clementinefall::forwarding
