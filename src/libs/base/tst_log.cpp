#include "base/log.h"

#include <catch2/catch.hpp>

using namespace clementinefall;

TEST_CASE("Log lines")
{
    SECTION("a value with a line break stays on one line, so that a caller cannot forge an event")
    {
        const auto line = formatLogLine(WallClock::time_point {}, LogLevel::Warning, "refused",
            { { "path", "/a\nlevel=error" }, { "code", 4000 } });
        CHECK(
            line == "time=1970-01-01T00:00:00.000Z level=warning event=refused path=\"/a\\x0alevel=error\" code=4000");
    }

    SECTION("a repeated event is limited in each second and the dropped lines are counted")
    {
        LogLimiter limiter(2);
        const TimePoint start { seconds(100) };
        CHECK(limiter.admit("e", start).allowed);
        CHECK(limiter.admit("e", start).allowed);
        CHECK_FALSE(limiter.admit("e", start + milliseconds(999)).allowed);
        CHECK(limiter.admit("other", start).allowed);
        const auto next = limiter.admit("e", start + milliseconds(1000));
        CHECK(next.allowed);
        CHECK(next.suppressedBefore == 1);
    }
}
