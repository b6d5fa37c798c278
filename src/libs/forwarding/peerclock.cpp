#include "forwarding/peerclock.h"

#include <algorithm>

namespace clementinefall::forwarding {

namespace {

/// An older echo is not of a heartbeat of this process, or not of use any more.
constexpr seconds maximumEchoAge { 30 };

} // namespace

Duration clockStamp(TimePoint now) { return std::chrono::floor<milliseconds>(now.time_since_epoch()); }

void recordStamp(PeerClock& clock, Duration stamp, TimePoint now)
{
    clock.echo = { .stamp = stamp, .receivedAt = std::chrono::ceil<milliseconds>(now.time_since_epoch()) };
}

void recordEcho(PeerClock& clock, const ClockEcho& echo, TimePoint now)
{
    const Duration age = now.time_since_epoch() - echo.stamp;
    if (age < Duration {} || age > maximumEchoAge)
        return;
    const Duration offset = echo.stamp - echo.receivedAt;
    clock.offset = std::max(clock.offset.value_or(offset), offset);
}

std::optional<TimePoint> localTime(const PeerClock& clock, Duration peerTime, TimePoint now)
{
    if (!clock.offset)
        return std::nullopt;
    const TimePoint time { peerTime + *clock.offset };
    if (time > now)
        return std::nullopt;
    return time;
}

} // namespace clementinefall::forwarding
