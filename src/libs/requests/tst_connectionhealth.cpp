#include "requests/connectionhealth.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace clementinefall;
using namespace clementinefall::requests;

TEST_CASE("Pooled connections")
{
    const TimePoint start = TimePoint {} + std::chrono::hours(1);
    ConnectionState connection { start, start, seconds(100), 1 };
    ServerSuspicion suspicion;

    SECTION("idle and aged connections are closed")
    {
        CHECK(decideUse(connection, suspicion, start + milliseconds(14999)) == ConnectionUse::Reuse);
        CHECK(decideUse(connection, suspicion, start + seconds(15)) == ConnectionUse::CloseIdle);
        connection.lastUsed = start + seconds(99);
        CHECK(decideUse(connection, suspicion, start + seconds(100)) == ConnectionUse::CloseAged);
    }

    SECTION("a reused connection that times out without a response byte makes older ones suspect; they are replaced "
            "one at a time")
    {
        CHECK(recordTimeout(suspicion, connection, false, start + seconds(2)));
        CHECK(decideUse(connection, suspicion, start + seconds(2)) == ConnectionUse::ReplaceSuspect);
        const ConnectionState newer { start + seconds(2), start + seconds(2), seconds(100), 0 };
        CHECK(decideUse(newer, suspicion, start + seconds(3)) == ConnectionUse::Reuse);
        CHECK(beginReplacement(suspicion));
        CHECK_FALSE(beginReplacement(suspicion));
        endReplacement(suspicion);
        CHECK(beginReplacement(suspicion));
    }

    SECTION("a timeout of a slow server or on a new connection does not make connections suspect")
    {
        CHECK_FALSE(recordTimeout(suspicion, connection, true, start + seconds(2)));
        connection.exchanges = 0;
        CHECK_FALSE(recordTimeout(suspicion, connection, false, start + seconds(2)));
        CHECK(decideUse(connection, suspicion, start + seconds(2)) == ConnectionUse::Reuse);
    }

    SECTION("new connections are limited to 8 per second after a burst of 4")
    {
        TokenBucket bucket = newConnectionBucket();
        std::vector<TimePoint> taken;
        for (TimePoint now = start; now < start + seconds(10); now += milliseconds(1)) {
            const bool isAvailable = bucket.availableAt(now) <= now;
            REQUIRE(bucket.take(now) == isAvailable);
            if (isAvailable)
                taken.push_back(now);
        }
        CHECK(taken.size() == 83);
        CHECK(std::count(taken.begin(), taken.end(), start) == 1);
        CHECK(taken[3] == start + milliseconds(3));
        CHECK(taken[4] == start + milliseconds(125));
    }

    SECTION("a server is probed once per 5 s, by one instance of the zone")
    {
        TokenBucket bucket = probeBucket();
        CHECK(bucket.take(start));
        CHECK_FALSE(bucket.take(start + milliseconds(4999)));
        CHECK(bucket.take(start + seconds(5)));
        const std::vector<std::string> names { "e1", "e2", "e3" };
        const std::vector<std::string> reversed { "e3", "e2", "e1" };
        CHECK(probingInstance("s1", names) == probingInstance("s1", reversed));
        CHECK(probingInstance("s1", {}).empty());
    }

    SECTION("jitter spreads simultaneous reconnects: no tenth of the backoff bound gets a fifth of 1000 instances")
    {
        Random random(9);
        std::vector<unsigned> tenths(10);
        for (unsigned i = 0; i < 1000; ++i) {
            const Duration delay = reconnectDelay(20, random);
            REQUIRE(delay < seconds(8));
            ++tenths[static_cast<std::size_t>(delay / milliseconds(800))];
            REQUIRE(jitteredAge(random) <= maximumConnectionAge);
            REQUIRE(jitteredAge(random) >= maximumConnectionAge * 8 / 10);
        }
        CHECK(*std::max_element(tenths.begin(), tenths.end()) < 200);
    }

    SECTION("the first-byte timeout is a multiple of the observed latency, within the deadline")
    {
        CHECK(firstByteTimeout(milliseconds(40), seconds(1)) == milliseconds(120));
        CHECK(firstByteTimeout(milliseconds(400), seconds(1)) == seconds(1));
        CHECK(firstByteTimeout(std::nullopt, seconds(1)) == seconds(1));
        CHECK(firstByteTimeout(milliseconds(1), -seconds(1)) == Duration::zero());
    }
}
