#include "forwarding/stopschedule.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

TEST_CASE("The schedule of a planned stop")
{
    SECTION("has its phases in order within the grace period")
    {
        for (const auto grace : { seconds(1), seconds(6), seconds(10), seconds(60), seconds(3600) }) {
            const StopSchedule schedule = stopSchedule(grace, milliseconds(2500));
            CHECK(schedule.rejectNew <= schedule.answerAll);
            CHECK(schedule.closeIdle <= schedule.answerAll);
            CHECK(schedule.answerAll < schedule.exit);
            CHECK(schedule.exit < grace);
        }
    }

    SECTION("does not take requests for longer because the grace period is long")
    {
        CHECK(stopSchedule(seconds(6), milliseconds(2500)).rejectNew == milliseconds(2400));
        CHECK(stopSchedule(seconds(10), milliseconds(2500)).rejectNew == milliseconds(2500));
        CHECK(stopSchedule(seconds(60), milliseconds(2500)).rejectNew == milliseconds(2500));
    }

    SECTION("leaves out requests that would still be in progress at its end")
    {
        const TimePoint start { seconds(1000) };
        const TimePoint answerAllAt = start + seconds(5);
        CHECK(canAnswerBefore(answerAllAt, seconds(4), start));
        CHECK_FALSE(canAnswerBefore(answerAllAt, seconds(4), start + seconds(1)));
        CHECK_FALSE(canAnswerBefore(answerAllAt, milliseconds(0), answerAllAt));
    }
}
