#include "forwarding/placement.h"

#include "base/durations.h"
#include "base/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace clementinefall::forwarding {

namespace {

/// Initial processing time for cached objects, as a fraction of the target latency.
constexpr double assumedCachedFraction = 0.4;

/// Weight of the newest sample in the moving averages of the processing time.
constexpr double newestWeight = 0.1;

/// Weight of samples above the estimate relative to those below it.
constexpr double aboveEstimateWeight = 0.4;

/// Maximum cost, as a fraction of the processing time, that the hash of server and object adds. All instances prefer
/// the same few servers for an object that its home server cannot take, so that these soon have it cached.
constexpr double rendezvousCostFraction = 1.0;

/// Cost of a fully used server as a fraction of the processing time: prefers emptier servers, which respond a little
/// faster.
constexpr double utilizationCostFraction = 0.05;

/// Cost of a server that fails all requests, as a multiple of the route's processing time.
constexpr double failureCostFactor = 12.0;

/// Weight of a server whose limit allows almost no requests.
constexpr double minimumHomeWeight = 0.01;

/// Slowdown that is assumed for a cold server unless a larger one was measured.
constexpr double coldSlowdown = 2.0;

/// Bounds of the retry-after time. Below the minimum, callers would retry before the load has changed; above the
/// maximum, they could not honour it within their deadlines.
constexpr milliseconds minimumRetryAfter { 100 };
constexpr milliseconds maximumRetryAfter { 800 };

/// Moves \a value towards a quantile of the samples below the median: longer samples may include unobserved queueing or
/// an object that the server had evicted from its cache.
void updateQuantile(Duration& value, unsigned& samples, Duration sample)
{
    // The first samples get a larger weight, so that the initial assumption is soon replaced.
    ++samples;
    const double weight = std::max(newestWeight, 1.0 / samples);
    const bool isLonger = sample > value && samples > 1;
    value += scaled(sample - value, isLonger ? weight * aboveEstimateWeight : weight);
}

Duration transferCost(std::size_t bytes, const PlacementParameters& parameters)
{
    return scaled(parameters.transferCostPerKilobyte, static_cast<double>(bytes) / 1024.0);
}

Duration distanceCost(const BackendServer& server, std::size_t bytes, const PlacementParameters& parameters)
{
    if (server.locality == Locality::SameZone)
        return {};
    const Duration base
        = server.locality == Locality::SameRegion ? parameters.crossZoneCost : parameters.crossRegionCost;
    return base + transferCost(bytes, parameters);
}

double unitHash(std::string_view text, std::uint64_t seed)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(hash64(text, seed)) / range;
}

bool isCached(const BackendServer& server, const PlacementRequest& request, TimePoint now)
{
    return request.object != 0 && server.cachedObjects.contains(request.object, now);
}

bool isUnresponsive(const BackendServer& server, TimePoint now)
{
    return server.awaitingResponseSince != TimePoint {} && server.inFlight > 0
        && now - server.awaitingResponseSince > server.unresponsiveTimeout;
}

} // namespace

Duration ProcessingTimeEstimate::of(CacheAffinity cacheAffinity) const
{
    switch (cacheAffinity) {
    case CacheAffinity::Cached:
        return this->cached;
    case CacheAffinity::Home:
        return this->home;
    case CacheAffinity::Uncached:
        break;
    }
    return this->uncached;
}

ProcessingTimeEstimate initialProcessingTimeEstimate(Duration targetLatency)
{
    const Duration cached = scaled(targetLatency, assumedCachedFraction);
    return { .uncached = targetLatency, .home = (targetLatency + cached) / 2, .cached = cached };
}

void recordProcessingTime(ProcessingTimeEstimate& estimate, CacheAffinity cacheAffinity, Duration processingTime)
{
    switch (cacheAffinity) {
    case CacheAffinity::Cached:
        updateQuantile(estimate.cached, estimate.cachedSamples, processingTime);
        return;
    case CacheAffinity::Home:
        // A mix of cached and uncached objects, so the mean is the expected value.
        estimate.home += scaled(processingTime - estimate.home, newestWeight);
        return;
    case CacheAffinity::Uncached:
        updateQuantile(estimate.uncached, estimate.uncachedSamples, processingTime);
    }
}

bool usesZonalHomes(
    const ProcessingTimeEstimate& processingTime, std::size_t routeBytes, const PlacementParameters& parameters)
{
    return parameters.crossZoneCost + transferCost(routeBytes, parameters)
        > processingTime.uncached - processingTime.cached;
}

CacheAffinity cacheAffinity(const BackendServer& server, const PlacementRequest& request, TimePoint now)
{
    if (isCached(server, request, now))
        return CacheAffinity::Cached;
    return &server == request.home ? CacheAffinity::Home : CacheAffinity::Uncached;
}

double expectedSlowdown(const BackendServer& server, TimePoint now)
{
    return std::max(server.slowdown, isCold(server, now) ? coldSlowdown : 0.0);
}

Duration permitDelay(const BackendServer& server, TimePoint now)
{
    return server.rateLimit.perSecond ? std::max<Duration>(server.permitAvailableAt - now, Duration {}) : Duration {};
}

Duration maximumPermitDelay(const BackendServer& server, const PlacementRequest& request, TimePoint now)
{
    const Duration processingTime
        = scaled(request.processingTime.of(cacheAffinity(server, request, now)), expectedSlowdown(server, now));
    const Duration spare = request.targetTimeLeft - server.connectTime - processingTime;
    return std::clamp<Duration>(spare, Duration {}, permitReservationLimit);
}

CompletionEstimate estimateCompletion(
    const BackendServer& server, const PlacementRequest& request, const PlacementParameters& parameters, TimePoint now)
{
    CompletionEstimate result;
    result.cacheAffinity = cacheAffinity(server, request, now);
    result.maximumPermitDelay = maximumPermitDelay(server, request, now);
    const double slowdown = expectedSlowdown(server, now);
    const Duration processingTime = scaled(request.processingTime.of(result.cacheAffinity), slowdown);
    const double slots = std::max(1U, server.entry.slots);
    const double load = outstandingRequests(server, now);
    const double ahead = std::max(0.0, load + 1 - slots) / slots;
    // Queued requests are mostly for objects that the server has cached.
    const Duration untilPermit = permitDelay(server, now);
    const Duration wait = untilPermit + scaled(request.processingTime.cached, slowdown * ahead);
    result.completion = server.connectTime + wait + processingTime;
    result.bestCaseCompletion = server.connectTime + wait + scaled(request.processingTime.cached, slowdown);
    result.mustQueue = load + 1 > slots || untilPermit > Duration {};
    result.cost = result.completion + distanceCost(server, request.bytes, parameters)
        + scaled(request.processingTime.uncached, utilizationCostFraction * load / slots)
        + scaled(processingTime, parameters.queueingCostFraction * std::min(1.0, load / slots))
        + scaled(request.processingTime.uncached, failureCostFactor * server.failureRate * server.failureRate);
    if (request.object != 0 && result.cacheAffinity == CacheAffinity::Uncached)
        result.cost += scaled(
            request.processingTime.uncached, rendezvousCostFraction * unitHash(server.entry.id, request.object));
    return result;
}

bool wouldMissDeadline(const CompletionEstimate& estimate, const PlacementRequest& request)
{
    return estimate.mustQueue && estimate.bestCaseCompletion > request.timeLeft;
}

/// Probability that the server has the object cached. For a home server it is derived from the measured times.
double cacheProbability(const BackendServer& server, const PlacementRequest& request, TimePoint now)
{
    if (request.object == 0 || isCached(server, request, now))
        return 1.0;
    const ProcessingTimeEstimate& processingTime = request.processingTime;
    if (&server != request.home || processingTime.uncached <= processingTime.cached)
        return 0.0;
    const std::chrono::duration<double> saved = processingTime.uncached - processingTime.home;
    return std::clamp(saved / std::chrono::duration<double>(processingTime.uncached - processingTime.cached), 0.0, 1.0);
}

ExclusionReason exclusionReason(const BackendServer& server, const PlacementRequest& request,
    const PlacementParameters& parameters, bool mayUseCold, TimePoint now)
{
    if (!isUsable(server))
        return ExclusionReason::Unusable;
    if (server.locality == Locality::OtherRegion && !request.allowsOtherRegions)
        return ExclusionReason::OtherRegion;
    if (!mayReceive(server, now) || isUnresponsive(server, now))
        return ExclusionReason::Suspect;
    if (isCold(server, now) && !mayUseCold)
        return ExclusionReason::ColdLimit;
    const bool hasNoPermit
        = now < server.permitRetryAt || permitDelay(server, now) > maximumPermitDelay(server, request, now);
    if (server.rateLimit.perSecond && hasNoPermit)
        return ExclusionReason::RateLimited;
    const bool isLate = request.targetTimeLeft < request.processingTime.cached;
    const double probability = cacheProbability(server, request, now);
    if (request.isLowPriority) {
        const double reserved = std::floor(server.entry.slots * parameters.reservedSlotFraction * (1.0 - probability));
        return outstandingRequests(server, now) >= server.entry.slots - reserved ? ExclusionReason::QueueFull
                                                                                 : ExclusionReason::None;
    }
    const double queuedPerSlot = isLate ? 0.0
                                        : parameters.uncachedQueuedPerSlot
            + probability * (parameters.queuedPerSlot - parameters.uncachedQueuedPerSlot);
    if (outstandingRequests(server, now) >= server.entry.slots * (1 + queuedPerSlot))
        return ExclusionReason::QueueFull;
    return ExclusionReason::None;
}

/// Whether \a server precedes \a other as a home server because of its distance alone.
bool isCloser(const BackendServer& server, const BackendServer& other, const PlacementRequest& request)
{
    if (!request.hasZonalHome && server.locality != Locality::OtherRegion && other.locality != Locality::OtherRegion)
        return false;
    return server.locality < other.locality;
}

/// Index of the object's home server, by distance and weighted rendezvous hashing; none without affinity.
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
        const bool isCloserThanHome = home && isCloser(server, *servers[*home], request);
        if (home && isCloser(*servers[*home], server, request))
            continue;
        // Weighted rendezvous hashing: the least -ln(u) / weight wins; the weight is the number of slots. A server that
        // names a limit is home to no more objects than it can serve.
        const double weight = slotsWithinRateLimit(server.rateLimit, server.entry.slots, request.processingTime.home);
        const double unit = std::max(unitHash(server.entry.id, request.object), 1e-12);
        const double score = -std::log(unit) / std::max(minimumHomeWeight, weight);
        if (!home || isCloserThanHome || score < best) {
            home = i;
            best = score;
        }
    }
    return home;
}

/// Time until the first of the servers takes requests again, if all that may run the request have asked for a pause.
Duration shortestPause(std::span<const BackendServer* const> servers, const PlacementRequest& request, TimePoint now)
{
    TimePoint earliest = TimePoint::max();
    for (const BackendServer* server : servers) {
        if (isUsable(*server) && (server->locality != Locality::OtherRegion || request.allowsOtherRegions))
            earliest = std::min(earliest, server->pausedUntil);
    }
    return earliest == TimePoint::max() || earliest <= now ? Duration {} : earliest - now;
}

Duration retryAfterOverload(const ProcessingTimeEstimate& processingTime)
{
    return std::clamp<Duration>(processingTime.cached, minimumRetryAfter, maximumRetryAfter);
}

Placement choosePlacement(std::span<const BackendServer* const> servers, std::span<const char> mayUseCold,
    std::span<const std::size_t> excluded, const PlacementRequest& original, const PlacementParameters& parameters,
    TimePoint now)
{
    Placement best;
    PlacementRequest request = original;
    if (const auto home = homeOf(servers, excluded, request))
        request.home = servers[*home];
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (std::find(excluded.begin(), excluded.end(), i) != excluded.end())
            continue;
        const BackendServer& server = *servers[i];
        if (exclusionReason(server, request, parameters, mayUseCold[i] != 0, now) != ExclusionReason::None)
            continue;
        const CompletionEstimate candidate = estimateCompletion(server, request, parameters, now);
        if (wouldMissDeadline(candidate, request)) {
            best.wouldMissDeadline = true;
            continue;
        }
        if (!best.server || candidate.cost < best.estimate.cost) {
            best.server = i;
            best.estimate = candidate;
        }
    }
    if (!best.server) {
        best.retryAfter = retryAfterOverload(request.processingTime);
        best.pauseLeft = shortestPause(servers, request, now);
    }
    return best;
}

bool isColdServerSender(std::string_view serverId, std::string_view self, std::span<const std::string> candidates)
{
    const std::uint64_t seed = hash64(serverId);
    const std::uint64_t selfHash = hash64(self, seed);
    bool isCandidate = false;
    std::size_t preceding = 0;
    for (const std::string& candidate : candidates) {
        if (candidate == self)
            isCandidate = true;
        else if (hash64(candidate, seed) > selfHash)
            ++preceding;
    }
    return isCandidate && preceding < sendersPerColdServer;
}

Duration coldSendInterval(double requestsPerSecond)
{
    if (requestsPerSecond <= 0)
        return {};
    return fromSeconds(sendersPerColdServer / requestsPerSecond);
}

} // namespace clementinefall::forwarding
