#include "link/relaystate.h"

#include <algorithm>

namespace clementinefall::link {

bool sampleLoss(const PathQuality& quality, Random& random) { return randomUnit(random) * 100.0 < quality.lossPercent; }

Duration sampleDelay(const PathQuality& quality, Random& random)
{
    const std::chrono::duration<double, std::milli> jitter(
        randomUnit(random) * static_cast<double>(quality.jitter.count()));
    return quality.delay + std::chrono::duration_cast<Duration>(jitter);
}

TimePoint streamDeliveryTime(Path& path, Random& random, TimePoint now, TimePoint previous)
{
    TimePoint due = now + sampleDelay(path.quality, random);
    if (sampleLoss(path.quality, random)) {
        ++path.counters.lost;
        due += retransmissionTimeout;
    }
    return std::max(due, previous);
}

} // namespace clementinefall::link
