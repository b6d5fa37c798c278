#include "forwarding/ratelimit.h"

#include <charconv>
#include <cmath>

namespace clementinefall::forwarding {

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

} // namespace clementinefall::forwarding
