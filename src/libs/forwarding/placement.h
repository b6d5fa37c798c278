#pragma once

#include "forwarding/backendserver.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Placement: which backend server runs a request. Pure decisions over plain structs.
///
/// They answer a load that is near or above the servers' slots, where most of the capacity comes from servers that
/// recently handled a request's object: the working time there is a small part of the usual one. A queue at such a
/// server is often shorter than the work elsewhere, so servers are compared by the time at which they would answer.
namespace clementinefall::forwarding {

/// What this instance knows of a server and the object of a request.
enum class Familiarity : std::uint8_t {
    None, ///< Nothing says that the server has handled the object lately.
    Home, ///< The object's home server: other instances send their requests for the object there as well.
    Recent, ///< This instance has sent it the object lately.
};

/// Typical working times of one route, measured by this instance without queueing.
struct WorkEstimate {
    Duration fresh {}; ///< At a server that has not handled the object lately.
    Duration home {}; ///< At the object's home server, when this instance has not sent it the object lately.
    Duration recent {}; ///< At a server that has handled it.
    unsigned freshSamples = 0;
    unsigned recentSamples = 0;

    Duration of(Familiarity familiarity) const;
};

/// Estimate before any measurement: an ordinary request takes its target latency, a repeated one under half of it.
WorkEstimate initialWorkEstimate(Duration targetLatency);

/// Adds the working time of an answered request to the average of its kind.
void recordWork(WorkEstimate& estimate, Familiarity familiarity, Duration work);

/// The request to place.
struct PlacementRequest {
    std::uint64_t object = 0; ///< Hash of route and affinity key; 0 without affinity.
    const BackendServer* home = nullptr; ///< Set by choosePlacement() from homeOf().
    std::size_t bytes = 0; ///< Of its body, and of the route's usual answer.
    bool homeInZone = false; ///< The home server is chosen in the own zone; see homesInZone().
    WorkEstimate work;
    Duration timeLeft {}; ///< Until the caller's deadline or the route's timeout.
    Duration targetLeft {}; ///< Until the answer counts as late; may be negative.
    bool allowsOtherRegions = false;
    bool yields = false; ///< More urgent requests use the same servers.
};

/// Why a server does not get a request now.
enum class Obstacle : std::uint8_t { None, Unusable, Avoided, ColdLimit, QueueFull, OtherRegion };

struct PlacementLimits {
    /// Requests that may wait at a server for each of its slots. More would be shed by the server, or wait for longer
    /// than the work takes elsewhere. Requests that are late anyway take only free slots: in a server's queue they
    /// would make the next ones late as well, and an overload would outlast its cause.
    double waitingPerSlot = 1.5;
    /// The same for a request whose object the server has not handled lately. Its work takes a multiple of a repeated
    /// one's, so under overload it is better to wait for a server that knows the object than to make another one learn
    /// it.
    double freshWaitingPerSlot = 0.2;
    /// Part of a server's slots that requests which yield leave free, rounded down; they never queue. Their work is
    /// long, and an urgent request behind one is late. At a server that knows the object they may use all slots:
    /// elsewhere the work takes a multiple, which costs the urgent requests more.
    double slotsKeptFree = 0.34;
    /// Part of the working time that counts as a cost to the requests behind, at a server whose slots are all used.
    double crowding = 0.5;
    /// Cost of bytes that leave the zone, in waiting time that is accepted to avoid it. Links between zones and regions
    /// are shared and paid for by the byte.
    Duration zoneChange = milliseconds(100);
    Duration regionChange = milliseconds(400);
    Duration perKilobyte = milliseconds(10);
};

/// Expected time until the answer of \a server, in a form that can be compared.
struct Forecast {
    Duration completion {}; ///< From now to the whole answer.
    Duration cost {}; ///< Completion plus the price of distance; decides between servers.
    Duration earliest {}; ///< Completion if the work is as short as this route's ever is, with the wait that is known.
    bool mustWait = false; ///< All slots of the server are in use.
    Familiarity familiarity = Familiarity::None;
};

/// Whether the objects of a route have a home server in each zone instead of one in each region. One in a region makes
/// the servers meet a known object more often; that pays unless moving \a routeBytes, the usual size of the route's
/// request and answer, between zones is worth more than the work that it saves.
bool homesInZone(const WorkEstimate& work, std::size_t routeBytes, const PlacementLimits& limits);

Forecast forecast(
    const BackendServer& server, const PlacementRequest& request, const PlacementLimits& limits, TimePoint now);

/// Whether \a server may get a request now; \a mayUseCold is the verdict of the cold limit for it.
Obstacle obstacleOf(const BackendServer& server, const PlacementRequest& request, const PlacementLimits& limits,
    bool mayUseCold, TimePoint now);

struct Placement {
    std::optional<std::size_t> server; ///< Position in the list of servers.
    Forecast forecast;
    Duration retryAfter {}; ///< When there is no server: time until one is likely to have room.
    bool wasTooLate = false; ///< There was room, but no answer could come in time.
};

/// Whether the request cannot be answered by its deadline. A free slot is always offered: a working time that was only
/// estimated, or measured for other objects, must not keep a route from ever being served.
bool isTooLate(const Forecast& forecast, const PlacementRequest& request);

/// The server with the least cost among those that may take the request and are not too late for it. Positions in
/// \a excluded are passed over.
Placement choosePlacement(std::span<const BackendServer* const> servers, std::span<const char> mayUseCold,
    std::span<const std::size_t> excluded, const PlacementRequest& request, const PlacementLimits& limits,
    TimePoint now);

/// The entry instances that may send to a cold server, so that the sum of their requests stays under its bound without
/// agreement. Every instance computes the same set from the same list.
inline constexpr std::size_t coldSenders = 2;

/// Whether \a self is among the `coldSenders` first of \a candidates for \a serverId by rendezvous hashing.
bool isColdSender(std::string_view serverId, std::string_view self, std::span<const std::string> candidates);

/// Least time between two requests of one sender to a cold server that tolerates \a requestsPerSecond in all.
Duration coldInterval(double requestsPerSecond);

} // namespace clementinefall::forwarding
