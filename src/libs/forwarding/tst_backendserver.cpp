#include "forwarding/backendserver.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

TEST_CASE("The assumption that a server is cold after a failed connect")
{
    const TimePoint now = Clock::now();
    BackendServer server;
    server.assumedColdUntil = now + seconds(1);
    ColdAssumption assumption;
    assumeCold(server, now + seconds(3), assumption);
    REQUIRE(server.assumedColdUntil == now + seconds(3));

    SECTION("is taken back when the failure was that of the links of this instance")
    {
        takeBack(server, assumption);
        CHECK(server.assumedColdUntil == now + seconds(1));
    }
    SECTION("is taken back as a whole after several failures")
    {
        assumeCold(server, now + seconds(4), assumption);
        REQUIRE(server.assumedColdUntil == now + seconds(4));
        takeBack(server, assumption);
        CHECK(server.assumedColdUntil == now + seconds(1));
    }
    SECTION("does not take with it the cold time after an evacuation that ended in between")
    {
        server.assumedColdUntil = now + seconds(9);
        SECTION("after the last failure") { }
        SECTION("before the last failure") { assumeCold(server, now + seconds(5), assumption); }
        takeBack(server, assumption);
        CHECK(server.assumedColdUntil == now + seconds(9));
    }
}

TEST_CASE("A server that sends without end")
{
    const TimePoint now = Clock::now();
    BackendServer server;
    REQUIRE(mayReceive(server, now));
    recordExcessiveResponse(server, now);

    SECTION("is left out for a moment")
    {
        CHECK_FALSE(mayReceive(server, now + milliseconds(200)));
        CHECK(mayReceive(server, now + milliseconds(300)));
    }
    SECTION("is left out for longer each time, and not for ever")
    {
        for (int i = 0; i < 20; ++i)
            recordExcessiveResponse(server, now);
        CHECK_FALSE(mayReceive(server, now + milliseconds(1900)));
        CHECK(mayReceive(server, now + milliseconds(2100)));
    }
    SECTION("is left out for a moment again after it has succeeded")
    {
        recordExcessiveResponse(server, now);
        recordAttempt(server, true);
        recordExcessiveResponse(server, now + seconds(5));
        CHECK(mayReceive(server, now + seconds(5) + milliseconds(300)));
    }
}
