#include "base/pausedetector.h"

#include <catch2/catch.hpp>

using namespace clementinefall;

TEST_CASE("A process that was stopped or suspended notices it")
{
    PauseDetector detector;

    SECTION("but not at its start")
    {
        CHECK_FALSE(wasPaused(detector, seconds(100)));
        CHECK_FALSE(beat(detector, seconds(100)));
    }

    SECTION("before its timers have run, and until the next beat")
    {
        beat(detector, seconds(100));
        CHECK_FALSE(wasPaused(detector, seconds(101)));
        CHECK(wasPaused(detector, seconds(103)));
        CHECK(wasPaused(detector, seconds(103)));
        CHECK(beat(detector, seconds(103)));
        CHECK_FALSE(wasPaused(detector, seconds(103)));
        CHECK_FALSE(beat(detector, seconds(104)));
    }

    SECTION("by a clock that runs on while the machine is suspended")
    {
        const Duration first = timeSinceBoot();
        CHECK(first > Duration {});
        CHECK(timeSinceBoot() >= first);
    }
}
