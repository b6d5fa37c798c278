#pragma once

#include "forwarding/backendserver.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Placement: selects the backend server for a request. The functions are pure and work on plain structs.
///
/// They are made for loads near or above the capacity of the servers' slots, where most of the capacity depends on
/// cache affinity: a server that has the object of a request cached processes it in a fraction of the usual time.
/// Waiting in the queue of such a server often takes less time than processing elsewhere, so servers are compared by
/// the expected completion time.
namespace clementinefall::forwarding {

/// Whether a server is assumed to have the object of a request in its cache.
enum class CacheAffinity : std::uint8_t {
    Uncached, ///< Nothing indicates that the server has handled the object recently.
    Home, ///< The object's home server, to which other instances send their requests for the object as well.
    Cached, ///< This instance has sent the server a request for the object recently.
};

/// Typical processing times of one route by cache affinity, measured by this instance without queueing.
struct ProcessingTimeEstimate {
    Duration uncached {};
    Duration home {};
    Duration cached {};
    unsigned uncachedSamples = 0;
    unsigned cachedSamples = 0;

    Duration of(CacheAffinity cacheAffinity) const;
};

/// Estimate before any measurement: the target latency for uncached objects, less than half of it for cached ones.
ProcessingTimeEstimate initialProcessingTimeEstimate(Duration targetLatency);

/// Adds the processing time of a successful request to the estimate for \a cacheAffinity.
void recordProcessingTime(ProcessingTimeEstimate& estimate, CacheAffinity cacheAffinity, Duration processingTime);

/// The request to place.
struct PlacementRequest {
    std::uint64_t object = 0; ///< Hash of route and affinity key; 0 without affinity.
    const BackendServer* home = nullptr; ///< The object's home server; set by choosePlacement().
    std::size_t bytes = 0; ///< Size of the request body plus the usual size of the route's responses.
    bool hasZonalHome = false; ///< The home server is chosen in the local zone; see usesZonalHomes().
    ProcessingTimeEstimate processingTime;
    Duration timeLeft {}; ///< Until the caller's deadline or the route's timeout.
    Duration targetTimeLeft {}; ///< Until the response counts as late; may be negative.
    bool allowsOtherRegions = false;
    bool isLowPriority = false; ///< More urgent requests use the same servers.
};

/// Why a server cannot be chosen for a request at the moment.
enum class ExclusionReason : std::uint8_t {
    None,
    Unusable, ///< See isUsable().
    Suspect, ///< In backoff, or it has not responded in time.
    ColdLimit, ///< Cold, and this instance may not send to it now.
    RateLimited, ///< No permit under its rate limit.
    QueueFull,
    OtherRegion, ///< The request may not leave the region.
};

struct PlacementParameters {
    /// Queued requests accepted per slot of a server. The server would shed more, or they would wait longer than
    /// processing takes elsewhere. Requests that are already late use only free slots: in a queue they would make later
    /// requests late as well, and an overload would outlast its cause.
    double queuedPerSlot = 1.5;
    /// The same for a request whose object the server has not handled recently. Its processing time is a multiple of
    /// that for a cached object, so under overload it is better to queue at a server that has the object cached than to
    /// fill another server's cache.
    double uncachedQueuedPerSlot = 0.2;
    /// Fraction of a server's slots that low-priority requests leave free, rounded down; such requests never queue.
    /// Their processing is long and would make an urgent request behind them late. They may use all slots of a server
    /// that has the object cached: elsewhere processing takes a multiple, which costs the urgent requests more.
    double reservedSlotFraction = 0.34;
    /// Cost of delaying the requests behind this one, as a fraction of the processing time, at a server whose slots are
    /// all in use.
    double queueingCostFraction = 0.5;
    /// Costs of leaving the zone or the region, expressed as the waiting time that is accepted to avoid it. Links
    /// between zones and regions are shared and charged per byte.
    Duration crossZoneCost = milliseconds(100);
    Duration crossRegionCost = milliseconds(400);
    Duration transferCostPerKilobyte = milliseconds(10);
};

/// Expected completion of a request at one server.
struct CompletionEstimate {
    Duration completion {}; ///< From now until the complete response.
    Duration cost {}; ///< Completion time plus penalties for distance, load and failures; the least cost wins.
    Duration bestCaseCompletion {}; ///< With the processing time for a cached object and the expected waiting time.
    bool mustQueue = false; ///< All slots of the server are in use, or the next permit is not available yet.
    Duration maximumPermitDelay {}; ///< See maximumPermitDelay().
    CacheAffinity cacheAffinity = CacheAffinity::Uncached;
};

/// Whether the objects of a route have a home server in each zone instead of one in each region. One home per region
/// raises the cache hit rate. That pays off unless transferring \a routeBytes, the usual size of the route's request
/// and response, between zones costs more than the processing time saved.
bool usesZonalHomes(
    const ProcessingTimeEstimate& processingTime, std::size_t routeBytes, const PlacementParameters& parameters);

CompletionEstimate estimateCompletion(
    const BackendServer& server, const PlacementRequest& request, const PlacementParameters& parameters, TimePoint now);

/// How long the request may wait for a permit under the server's rate limit. Only requests that still meet their target
/// latency afterwards reserve permits in advance: in a shortage, a queue that also holds the others would make all
/// responses late.
Duration maximumPermitDelay(const BackendServer& server, const PlacementRequest& request, TimePoint now);

/// Why \a server cannot be chosen at \a now; `None` if it can. \a mayUseCold tells whether the rate limit for cold
/// servers allows a request to this one.
ExclusionReason exclusionReason(const BackendServer& server, const PlacementRequest& request,
    const PlacementParameters& parameters, bool mayUseCold, TimePoint now);

struct Placement {
    std::optional<std::size_t> server; ///< Index in the list of servers.
    CompletionEstimate estimate;
    Duration retryAfter {}; ///< Without a server: time until one is likely to have capacity.
    /// Without a server: time until the first one takes requests again, if all of them have asked for a pause.
    Duration pauseLeft {};
    bool wouldMissDeadline = false; ///< A server had capacity, but could not respond before the deadline.
};

/// Whether the request cannot complete before its deadline. Never true for a server with a free slot: a processing time
/// that was only assumed, or measured for other objects, must not keep a route from ever being served.
bool wouldMissDeadline(const CompletionEstimate& estimate, const PlacementRequest& request);

/// Retry-After for a request that no server can take: time until one is likely to have capacity.
Duration retryAfterOverload(const ProcessingTimeEstimate& processingTime);

/// Chooses the server with the least cost among those that can take the request and complete it before its deadline.
/// Indexes in \a excluded are skipped.
Placement choosePlacement(std::span<const BackendServer* const> servers, std::span<const char> mayUseCold,
    std::span<const std::size_t> excluded, const PlacementRequest& request, const PlacementParameters& parameters,
    TimePoint now);

/// Number of entry instances that may send to a cold server. It bounds the total request rate without coordination:
/// every instance computes the same set of senders from the same list.
inline constexpr std::size_t sendersPerColdServer = 2;

/// Whether \a self is among the first `sendersPerColdServer` of \a candidates for \a serverId by rendezvous hashing;
/// false when it is no candidate.
bool isColdServerSender(std::string_view serverId, std::string_view self, std::span<const std::string> candidates);

/// Minimum time between two requests of one sender to a cold server that tolerates \a requestsPerSecond in total.
Duration coldSendInterval(double requestsPerSecond);

} // namespace clementinefall::forwarding
