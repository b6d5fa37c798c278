#pragma once

#include "base/clock.h"
#include "base/random.h"

namespace clementinefall::platform {

/// Token bucket for calls to the platform.
struct CallBudget {
    double callsPerSecond = 5.0;
    double burst = 20.0;
    double tokens = 20.0;
    TimePoint refilledAt {};
};

/// Takes one call from the budget; false when none is left.
bool tryConsumeCall(CallBudget& budget, TimePoint now);

/// Delay before the next try after consecutive failures: doubles from 200 ms to 30 s. The jitter of half the delay
/// keeps many instances from returning to the platform at the same moment after an outage.
Duration backoffDelay(unsigned consecutiveFailures, Random& random);

} // namespace clementinefall::platform
