#include "forwarding/stopschedule.h"

#include "base/durations.h"

#include <algorithm>

namespace clementinefall::forwarding {

namespace {

/// Steps of a stop, as fractions of the grace period. Requests in progress may end by themselves until the last sixth.
/// Then all the others get a response at once, because with pipelining a finished response may be queued behind an
/// unfinished one.
constexpr double closeIdleFraction = 0.15;
constexpr double rejectFraction = 0.4;
constexpr double answerAllFraction = 0.86;
constexpr double exitFraction = 0.95;

} // namespace

StopSchedule stopSchedule(Duration gracePeriod, Duration latestAcceptance)
{
    return { .closeIdle = scaled(gracePeriod, closeIdleFraction),
        .rejectNew = std::min(scaled(gracePeriod, rejectFraction), latestAcceptance),
        .answerAll = scaled(gracePeriod, answerAllFraction),
        .exit = scaled(gracePeriod, exitFraction) };
}

bool canAnswerBefore(TimePoint answerAllAt, Duration processingTime, TimePoint now)
{
    return now + processingTime < answerAllAt;
}

} // namespace clementinefall::forwarding
