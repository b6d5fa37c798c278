#include "base/pausedetector.h"

#include <ctime>

namespace clementinefall {

bool wasPaused(const PauseDetector& detector, Duration sinceBoot)
{
    return detector.lastBeat != Duration {} && sinceBoot - detector.lastBeat > PauseDetector::pauseLimit;
}

bool beat(PauseDetector& detector, Duration sinceBoot)
{
    const bool paused = wasPaused(detector, sinceBoot);
    detector.lastBeat = sinceBoot;
    return paused;
}

Duration timeSinceBoot()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace clementinefall
