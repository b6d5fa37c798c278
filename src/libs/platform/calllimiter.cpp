#include "platform/calllimiter.h"

#include <algorithm>

namespace clementinefall::platform {

namespace {

constexpr milliseconds initialBackoff { 200 };
constexpr milliseconds maximumBackoff { 30'000 };
constexpr unsigned maximumDoublings = 10;

} // namespace

bool tryConsumeCall(CallBudget& budget, TimePoint now)
{
    if (now > budget.refilledAt) {
        const double elapsed = std::chrono::duration<double>(now - budget.refilledAt).count();
        budget.tokens = std::min(budget.burst, budget.tokens + elapsed * budget.callsPerSecond);
        budget.refilledAt = now;
    }
    if (budget.tokens < 1.0)
        return false;
    budget.tokens -= 1.0;
    return true;
}

Duration backoffDelay(unsigned consecutiveFailures, Random& random)
{
    if (consecutiveFailures == 0)
        return Duration::zero();
    const unsigned doublings = std::min(consecutiveFailures - 1, maximumDoublings);
    const milliseconds full = std::min(initialBackoff * (1U << doublings), maximumBackoff);
    const auto jitter
        = std::chrono::duration<double, std::milli>(static_cast<double>(full.count()) * 0.5 * randomUnit(random));
    return full / 2 + std::chrono::duration_cast<Duration>(jitter);
}

} // namespace clementinefall::platform
