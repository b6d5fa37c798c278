#pragma once

#include "base/clock.h"

namespace clementinefall::forwarding {

/// Phases of a planned stop, as times since its start. Callers learn of the stop from lookups during the first phases.
/// An instance that is stopping sends on only what it can answer before the process ends.
struct StopSchedule {
    Duration closeIdle {}; ///< Idle connections are closed from now on.
    Duration rejectNew {}; ///< New and queued requests are rejected as not run.
    Duration answerAll {}; ///< Requests that are still in progress get a response of this instance.
    Duration exit {}; ///< The process ends, also with open connections.
};

/// The schedule for a process that is killed after \a gracePeriod. Requests that arrive later than \a latestAcceptance
/// are rejected however long the grace period is: their callers have had the time to learn of the stop.
StopSchedule stopSchedule(Duration gracePeriod, Duration latestAcceptance);

/// Whether a request that arrives now and takes \a processingTime has its response before all requests must be
/// answered.
bool canAnswerBefore(TimePoint answerAllAt, Duration processingTime, TimePoint now);

} // namespace clementinefall::forwarding
