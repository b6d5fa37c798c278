#include "forwarding/ratelimit.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

const TimePoint start { seconds(1000) };

} // namespace

TEST_CASE("A backend server states a limit of its request rate")
{
    CHECK(parseRateLimit("3.8") == 3.8);
    CHECK(parseRateLimit("0") == 0.0);
    for (const char* text : { "", "-1", "nan", "inf", "4,5", "4 ", "four" })
        CHECK(!parseRateLimit(text));

    RateLimitState state;
    CHECK(mergeRateLimit(state, observedRateLimit(4.0, start, start + milliseconds(200))));

    SECTION("a response that was under way before the statement does not end the limit")
    {
        CHECK(!mergeRateLimit(state, observedRateLimit(std::nullopt, start + milliseconds(100), start + seconds(1))));
        CHECK(state.perSecond == 4.0);
    }
    SECTION("the response to a request that was sent after the statement ends it")
    {
        CHECK(mergeRateLimit(state, observedRateLimit(std::nullopt, start + milliseconds(300), start + seconds(1))));
        CHECK(!state.perSecond);

        SECTION("an instance that still knows the limit does not bring it back")
        {
            CHECK(!mergeRateLimit(state, { .perSecond = 4.0, .asOf = start + milliseconds(200) }));
            CHECK(!state.perSecond);
        }
        SECTION("the limit returns when the server states it again")
        {
            CHECK(mergeRateLimit(state, observedRateLimit(2.0, start + seconds(2), start + seconds(3))));
            CHECK(state.perSecond == 2.0);
        }
    }
}
