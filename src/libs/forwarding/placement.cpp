#include "forwarding/placement.h"

#include "base/durations.h"
#include "base/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace clementinefall::forwarding {

namespace {

/// Part of the target latency that a repeated request is assumed to take before any was measured.
constexpr double assumedRecentPart = 0.4;

/// Weight of the newest sample in the averages of the working time.
constexpr double newestWeight = 0.1;

/// Weight of samples over the estimate against those under it.
constexpr double longerSampleWeight = 0.4;

/// Servers that are equal otherwise differ by up to this part of the working time, by the hash of server and object.
/// All instances then send a new object to the same server.
constexpr double rendezvousSpread = 0.3;

/// Part of the working time that each used slot adds: prefers emptier servers, which answer a little faster.
constexpr double usedSlotCost = 0.05;

/// Cost of a server that fails all requests, in working times of the route.
constexpr double failureCost = 12.0;

/// How much longer cold servers work, before it has been measured.
constexpr double coldSlowness = 2.0;

/// Shortest and longest advice to come back. Below, callers would return before anything has changed; above, they
/// would not honour it within their deadlines.
constexpr milliseconds shortestRetryAfter { 100 };
constexpr milliseconds longestRetryAfter { 800 };

/// Moves \a value towards a quantile of the samples below the median: the others include waiting that was not seen, or
/// an object that the server had forgotten.
void track(Duration& value, unsigned& samples, Duration sample)
{
    // The first samples count fully, so that the assumption does not linger.
    ++samples;
    const double weight = std::max(newestWeight, 1.0 / samples);
    const bool isLonger = sample > value && samples > 1;
    value += scaled(sample - value, isLonger ? weight * longerSampleWeight : weight);
}

Duration bytesPrice(std::size_t bytes, const PlacementLimits& limits)
{
    return scaled(limits.perKilobyte, static_cast<double>(bytes) / 1024.0);
}

Duration distancePrice(const BackendServer& server, std::size_t bytes, const PlacementLimits& limits)
{
    if (server.locality == Locality::SameZone)
        return {};
    const Duration base = server.locality == Locality::SameRegion ? limits.zoneChange : limits.regionChange;
    return base + bytesPrice(bytes, limits);
}

double unitHash(std::string_view text, std::uint64_t seed)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(hash64(text, seed)) / range;
}

bool isKnown(const BackendServer& server, const PlacementRequest& request, TimePoint now)
{
    return request.object != 0 && server.recentObjects.contains(request.object, now);
}

bool isSilent(const BackendServer& server, TimePoint now)
{
    return server.silentSince != TimePoint {} && server.inFlight > 0 && now - server.silentSince > server.silenceLimit;
}

} // namespace

Duration WorkEstimate::of(Familiarity familiarity) const
{
    switch (familiarity) {
    case Familiarity::Recent:
        return this->recent;
    case Familiarity::Home:
        return this->home;
    case Familiarity::None:
        break;
    }
    return this->fresh;
}

WorkEstimate initialWorkEstimate(Duration targetLatency)
{
    const Duration recent = scaled(targetLatency, assumedRecentPart);
    return { .fresh = targetLatency, .home = (targetLatency + recent) / 2, .recent = recent };
}

void recordWork(WorkEstimate& estimate, Familiarity familiarity, Duration work)
{
    switch (familiarity) {
    case Familiarity::Recent:
        track(estimate.recent, estimate.recentSamples, work);
        return;
    case Familiarity::Home:
        // A mix of known and new objects, so the mean says what to expect.
        estimate.home += scaled(work - estimate.home, newestWeight);
        return;
    case Familiarity::None:
        track(estimate.fresh, estimate.freshSamples, work);
    }
}

bool homesInZone(const WorkEstimate& work, std::size_t routeBytes, const PlacementLimits& limits)
{
    return limits.zoneChange + bytesPrice(routeBytes, limits) > work.fresh - work.recent;
}

Forecast forecast(
    const BackendServer& server, const PlacementRequest& request, const PlacementLimits& limits, TimePoint now)
{
    Forecast result;
    if (isKnown(server, request, now))
        result.familiarity = Familiarity::Recent;
    else if (&server == request.home)
        result.familiarity = Familiarity::Home;
    const double slowness = std::max(server.slowness, isCold(server, now) ? coldSlowness : 0.0);
    const Duration work = scaled(request.work.of(result.familiarity), slowness);
    const double slots = std::max(1U, server.entry.slots);
    const double load = outstanding(server, now);
    const double ahead = std::max(0.0, load + 1 - slots) / slots;
    // Those who wait are mostly repeats of objects that the server knows.
    const Duration wait = scaled(request.work.recent, slowness * ahead);
    result.completion = server.connectTime + wait + work;
    result.earliest = server.connectTime + wait + scaled(request.work.recent, slowness);
    result.mustWait = load + 1 > slots;
    result.cost = result.completion + distancePrice(server, request.bytes, limits)
        + scaled(request.work.fresh, usedSlotCost * load / slots)
        + scaled(work, limits.crowding * std::min(1.0, load / slots))
        + scaled(request.work.fresh, failureCost * server.failureRate * server.failureRate);
    if (request.object != 0 && result.familiarity == Familiarity::None)
        result.cost += scaled(request.work.fresh, rendezvousSpread * unitHash(server.entry.id, request.object));
    return result;
}

bool isTooLate(const Forecast& forecast, const PlacementRequest& request)
{
    return forecast.mustWait && forecast.earliest > request.timeLeft;
}

/// Likelihood that the server has handled the object lately. At a home server it follows from the measured times.
double knownPart(const BackendServer& server, const PlacementRequest& request, TimePoint now)
{
    if (request.object == 0 || isKnown(server, request, now))
        return 1.0;
    const WorkEstimate& work = request.work;
    if (&server != request.home || work.fresh <= work.recent)
        return 0.0;
    const std::chrono::duration<double> saved = work.fresh - work.home;
    return std::clamp(saved / std::chrono::duration<double>(work.fresh - work.recent), 0.0, 1.0);
}

Obstacle obstacleOf(const BackendServer& server, const PlacementRequest& request, const PlacementLimits& limits,
    bool mayUseCold, TimePoint now)
{
    if (!isUsable(server))
        return Obstacle::Unusable;
    if (server.locality == Locality::OtherRegion && !request.allowsOtherRegions)
        return Obstacle::OtherRegion;
    if (now < server.avoidUntil || isSilent(server, now))
        return Obstacle::Avoided;
    if (isCold(server, now) && !mayUseCold)
        return Obstacle::ColdLimit;
    const bool isLate = request.targetLeft < request.work.recent;
    const double known = knownPart(server, request, now);
    if (request.yields) {
        const double kept = std::floor(server.entry.slots * limits.slotsKeptFree * (1.0 - known));
        return outstanding(server, now) >= server.entry.slots - kept ? Obstacle::QueueFull : Obstacle::None;
    }
    const double waiting
        = isLate ? 0.0 : limits.freshWaitingPerSlot + known * (limits.waitingPerSlot - limits.freshWaitingPerSlot);
    if (outstanding(server, now) >= server.entry.slots * (1 + waiting))
        return Obstacle::QueueFull;
    return Obstacle::None;
}

/// Whether \a server comes before \a other as a home by its distance alone.
bool isNearerHome(const BackendServer& server, const BackendServer& other, const PlacementRequest& request)
{
    if (!request.homeInZone && server.locality != Locality::OtherRegion && other.locality != Locality::OtherRegion)
        return false;
    return server.locality < other.locality;
}

std::optional<std::size_t> homeOf(std::span<const BackendServer* const> servers, std::span<const std::size_t> excluded,
    const PlacementRequest& request)
{
    if (request.object == 0)
        return std::nullopt;
    std::optional<std::size_t> home;
    double best = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const BackendServer& server = *servers[i];
        const bool isAllowed = server.locality != Locality::OtherRegion || request.allowsOtherRegions;
        if (!isUsable(server) || !isAllowed || std::find(excluded.begin(), excluded.end(), i) != excluded.end())
            continue;
        const bool isNearer = home && isNearerHome(server, *servers[*home], request);
        if (home && isNearerHome(*servers[*home], server, request))
            continue;
        // Weighted rendezvous hashing: the least -ln(u) / weight wins.
        const double unit = std::max(unitHash(server.entry.id, request.object), 1e-12);
        const double score = -std::log(unit) / std::max(1U, server.entry.slots);
        if (!home || isNearer || score < best) {
            home = i;
            best = score;
        }
    }
    return home;
}

Placement choosePlacement(std::span<const BackendServer* const> servers, std::span<const char> mayUseCold,
    std::span<const std::size_t> excluded, const PlacementRequest& wanted, const PlacementLimits& limits, TimePoint now)
{
    Placement best;
    PlacementRequest request = wanted;
    if (const auto home = homeOf(servers, excluded, request))
        request.home = servers[*home];
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (std::find(excluded.begin(), excluded.end(), i) != excluded.end())
            continue;
        const BackendServer& server = *servers[i];
        if (obstacleOf(server, request, limits, mayUseCold[i] != 0, now) != Obstacle::None)
            continue;
        const Forecast candidate = forecast(server, request, limits, now);
        if (isTooLate(candidate, request)) {
            best.wasTooLate = true;
            continue;
        }
        if (!best.server || candidate.cost < best.forecast.cost) {
            best.server = i;
            best.forecast = candidate;
        }
    }
    if (!best.server)
        best.retryAfter = std::clamp<Duration>(request.work.recent, shortestRetryAfter, longestRetryAfter);
    return best;
}

bool isColdSender(std::string_view serverId, std::string_view self, std::span<const std::string> candidates)
{
    const std::uint64_t seed = hash64(serverId);
    const std::uint64_t own = hash64(self, seed);
    std::size_t before = 0;
    for (const std::string& other : candidates) {
        if (other != self && hash64(other, seed) > own)
            ++before;
    }
    return before < coldSenders;
}

Duration coldInterval(double requestsPerSecond)
{
    if (requestsPerSecond <= 0)
        return {};
    return fromSeconds(coldSenders / requestsPerSecond);
}

} // namespace clementinefall::forwarding
