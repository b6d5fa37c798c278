#pragma once

#include "base/clock.h"

#include <optional>
#include <string_view>

/// Request rate limits that backend servers in need state in their responses.
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

} // namespace clementinefall::forwarding
