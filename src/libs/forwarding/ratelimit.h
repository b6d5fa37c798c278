#pragma once

#include "base/clock.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

/// Request rate limits that backend servers in need state in their responses. A limit applies to the requests of all
/// entry instances together, so one of them, the coordinator of the server, hands out permits. It answers the load of
/// a fleet in which each instance sends a server few requests: static shares of a limit would be too small to use, and
/// instances that each apply the whole limit would exceed it by their number.
namespace clementinefall::forwarding {

/// What is known about the rate limit of a backend server.
struct RateLimitState {
    std::optional<double> perSecond; ///< Requests per second from all entry instances; empty without a limit.
    TimePoint asOf {}; ///< When the server stated this, or later than its statement by a message delay at most.
};

/// Parses a limit in requests per second. Empty when it is not a finite number of at least 0.
std::optional<double> parseRateLimit(std::string_view text);

/// Adopts \a other if it is newer. Returns whether the limit changed.
bool mergeRateLimit(RateLimitState& state, const RateLimitState& other);

/// State that a response shows. A limit counts from \a receivedAt. A response without one shows only that the limit
/// had ended after \a sentAt, since it may have been created before the limit was stated in another response.
RateLimitState observedRateLimit(std::optional<double> perSecond, TimePoint sentAt, TimePoint receivedAt);

/// Permits of one server at its coordinator, by the generic cell rate algorithm.
struct PermitBucket {
    TimePoint theoreticalArrival {}; ///< When all permits granted so far would have been used at the stated rate.
    TimePoint createdAt {}; ///< Of the first request for a permit; unset before.
};

struct PermitDecision {
    bool isGranted = false;
    Duration delay {}; ///< Time from now after which a granted permit may be used.
    Duration nextAvailable {}; ///< Time from now after which the next permit may be used, at the earliest.
};

/// Unused permits are kept for this time, to follow the irregular arrival of requests.
inline constexpr milliseconds permitBurstTime { 500 };

/// Permits are reserved no longer than this in advance, so that a limit that changes takes effect soon.
inline constexpr seconds permitReservationLimit { 1 };

/// Decides on one request. The next permit is reserved if it is available within \a maximumDelay: in a shortage, a
/// permit that becomes available while no request asks for it would be lost. The bucket starts empty, as the
/// coordinator before may just have used up the limit. While instances may still ask another coordinator, \a
/// isHandedOver is set, and only part of the limit is granted.
PermitDecision takePermit(
    PermitBucket& bucket, double perSecond, bool isHandedOver, Duration maximumDelay, TimePoint now);

/// Time after it became ready for which an instance grants only part of the limits that it coordinates. By its end, all
/// others have learned of it and no longer ask the coordinator before it.
inline constexpr seconds permitHandoverTime { 3 };

/// A permit that was not used within this time has lapsed, so that delayed requests do not add up.
inline constexpr seconds permitLifetime { 1 };

/// Requests per second that a server can take, expressed as slots: less than \a slots with a limit under which the
/// slots cannot all be in use with requests that take \a processingTime.
double slotsWithinRateLimit(const RateLimitState& state, unsigned slots, Duration processingTime);

/// Index of the coordinator for \a serverId among the names of instances, by rendezvous hashing; 0 for an empty list.
std::size_t coordinatorIndex(std::string_view serverId, std::span<const std::string> instances);

} // namespace clementinefall::forwarding
