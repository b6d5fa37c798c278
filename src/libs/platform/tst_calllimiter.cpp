#include "platform/calllimiter.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::platform;

TEST_CASE("Rate limit and backoff of calls to the platform")
{
    SECTION("a long idle time does not add up to more calls than one burst")
    {
        CallBudget budget { 5.0, 20.0, 20.0, TimePoint {} };
        TimePoint now = TimePoint {} + std::chrono::hours(1);
        int granted = 0;
        while (tryConsumeCall(budget, now))
            ++granted;
        CHECK(granted == 20);
        now += seconds(1);
        granted = 0;
        while (tryConsumeCall(budget, now))
            ++granted;
        CHECK(granted == 5);
    }

    SECTION(
        "the backoff grows to its limit and is jittered, so that instances do not all retry at once after an outage")
    {
        Random random(11);
        CHECK(backoffDelay(0, random) == Duration::zero());
        for (unsigned failures = 1; failures < 40; ++failures) {
            const auto delay = backoffDelay(failures, random);
            CHECK(delay >= milliseconds(100));
            CHECK(delay <= milliseconds(30'000));
        }
        CHECK(backoffDelay(20, random) >= milliseconds(15'000));
        CHECK(backoffDelay(20, random) != backoffDelay(20, random));
    }
}
