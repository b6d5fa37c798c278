#include "platform/verification.h"

#include "base/durations.h"
#include "base/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace clementinefall::platform {

namespace {

/// Fractions of the bound, see VerificationTiming.
constexpr double firstAgeFraction = 0.52;
constexpr double secondAgeFraction = 0.55;
constexpr double otherAgeFraction = 0.58;
constexpr double relayedAgeFraction = 0.25;
/// Covers the pause of a watch between two calls, a quarter of the bound.
constexpr double behindDelayFraction = 0.36;
constexpr double timeoutFraction = 0.18;
constexpr double maximumTimeoutFraction = 0.6;

/// Failures after which the calls are spread out: the store itself is slow or away.
constexpr unsigned failuresBeforeBackoff = 2;

double ageFraction(VerificationRank rank)
{
    switch (rank) {
    case VerificationRank::First:
        return firstAgeFraction;
    case VerificationRank::Second:
        return secondAgeFraction;
    case VerificationRank::Other:
        return otherAgeFraction;
    }
    return firstAgeFraction;
}

bool isBehind(const KindCurrency& kind, const VerificationState& state)
{
    return std::tie(kind.position.era, kind.position.revision) < std::tie(state.reported.era, state.reported.revision);
}

} // namespace

VerificationRank verificationRank(const std::string& self, const std::vector<std::string>& instances)
{
    if (std::find(instances.begin(), instances.end(), self) == instances.end())
        return VerificationRank::Other;
    const auto before = std::count_if(instances.begin(), instances.end(),
        [&self](const std::string& other) { return std::pair(hash64(other), other) < std::pair(hash64(self), self); });
    if (before > 1)
        return VerificationRank::Other;
    return before == 0 ? VerificationRank::First : VerificationRank::Second;
}

VerificationTiming verificationTiming(Duration changeBound, VerificationRank rank)
{
    return { .age = scaled(changeBound, ageFraction(rank)),
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
    if (isBehind(kind, state))
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

void recordBehind(VerificationState& state, const KindCurrency& kind, StorePosition reported, TimePoint now)
{
    if (!isBehind(kind, state))
        state.behindSince = now;
    state.reported = reported;
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
