#pragma once

#include "base/clock.h"

namespace clementinefall {

/// Detects that the process did not run for a while: it was stopped, or its machine was suspended. What it knew before
/// may no longer hold, for example which backend servers take requests. The check is cheap enough for each decision, as
/// a resumed process may run any of its pending handlers before its timers.
struct PauseDetector {
    /// Above the delays of a busy machine between two beats, which are due four times a second.
    static constexpr milliseconds pauseLimit { 1500 };

    Duration lastBeat {}; ///< Time since the machine's start, including suspension; zero before the first beat.
};

/// Records that the process runs. To be called periodically; returns true when it was paused since the last call.
bool beat(PauseDetector& detector, Duration sinceBoot);

/// Whether the process was paused since the last beat.
bool wasPaused(const PauseDetector& detector, Duration sinceBoot);

/// Time since the machine's start. Unlike the steady clock it includes the time for which the machine was suspended.
Duration timeSinceBoot();

} // namespace clementinefall
