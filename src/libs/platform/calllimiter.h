#pragma once

#include "base/clock.h"
#include "base/random.h"

namespace clementinefall::platform {

/// Token bucket that limits the rate of calls to the platform.
struct CallBudget {
    double callsPerSecond = 5.0;
    double burst = 20.0;
    double tokens = 20.0;
    TimePoint refilledAt {};
};

/// Takes one token; false when none is left.
bool tryConsumeCall(CallBudget& budget, TimePoint now);

/// Backoff before the next attempt: doubles with each consecutive failure from 200 ms to 30 s. Up to half of it is
/// random, so that the instances don't all call the platform at the same moment after an outage.
Duration backoffDelay(unsigned consecutiveFailures, Random& random);

} // namespace clementinefall::platform
