#include "link/relaystate.h"

#include <algorithm>

namespace clementinefall::link {

bool drawLoss(const PathQuality& quality, Random& random) { return randomUnit(random) * 100.0 < quality.lossPercent; }

Duration drawDelay(const PathQuality& quality, Random& random)
{
    const std::chrono::duration<double, std::milli> jitter(
        randomUnit(random) * static_cast<double>(quality.jitter.count()));
    return quality.delay + std::chrono::duration_cast<Duration>(jitter);
}

TimePoint streamDueTime(Path& path, Random& random, TimePoint now, TimePoint previous)
{
    TimePoint due = now + drawDelay(path.quality, random);
    if (drawLoss(path.quality, random)) {
        ++path.counters.lost;
        due += retransmissionTimeout;
    }
    return std::max(due, previous);
}

} // namespace clementinefall::link
