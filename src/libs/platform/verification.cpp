#include "platform/verification.h"

#include "base/durations.h"

#include <algorithm>

namespace clementinefall::platform {

namespace {

/// Fractions of the bound, see VerificationTiming.
constexpr double ageFraction = 0.4;
constexpr double ageSpread = 0.08;
constexpr double ageFractionWithWatcher = 0.5;
constexpr double ageSpreadWithWatcher = 0.04;
constexpr double relayedAgeFraction = 0.25;
constexpr double behindDelayFraction = 0.1;
constexpr double timeoutFraction = 0.14;
constexpr double maximumTimeoutFraction = 0.6;

/// Failures after which the calls are spread out: the store itself is slow or away.
constexpr unsigned failuresBeforeBackoff = 2;

} // namespace

VerificationTiming verificationTiming(Duration changeBound, double share, bool hasWatcher)
{
    const double fraction
        = hasWatcher ? ageFractionWithWatcher + ageSpreadWithWatcher * share : ageFraction + ageSpread * share;
    return { .age = scaled(changeBound, fraction),
        .relayedAge = scaled(changeBound, relayedAgeFraction),
        .behindDelay = scaled(changeBound, behindDelayFraction),
        .timeout = scaled(changeBound, timeoutFraction),
        .maximumTimeout = scaled(changeBound, maximumTimeoutFraction) };
}

std::optional<TimePoint> verificationDue(const KindCurrency& kind, const VerificationState& state,
    const VerificationTiming& timing, StorePosition newestRevision, bool isRelayed)
{
    if (kind.knownAt == TimePoint {})
        return std::nullopt;
    const bool isUnexplained
        = newestRevision.era == kind.position.era && newestRevision.revision > kind.position.revision;
    TimePoint due = kind.knownAt + (isRelayed && isUnexplained ? timing.relayedAge : timing.age);
    if (state.behindSince != TimePoint {})
        due = std::min(due, state.behindSince + timing.behindDelay);
    return std::max(due, state.notBefore);
}

Duration verificationTimeout(const VerificationState& state, const VerificationTiming& timing)
{
    Duration timeout = timing.timeout;
    for (unsigned i = 0; i < state.failures && timeout < timing.maximumTimeout; ++i)
        timeout *= 2;
    return std::min(timeout, timing.maximumTimeout);
}

void recordVerification(VerificationState& state, const VerificationTiming& timing, bool succeeded, TimePoint now)
{
    if (succeeded) {
        state = {};
        return;
    }
    ++state.failures;
    state.notBefore = state.failures < failuresBeforeBackoff ? now : now + timing.timeout;
}

} // namespace clementinefall::platform
