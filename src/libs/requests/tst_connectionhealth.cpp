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

    SECTION("a silent reused connection makes older ones suspect, which are replaced one at a time")
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

    SECTION("a slow server or a new connection casts no suspicion")
    {
        CHECK_FALSE(recordTimeout(suspicion, connection, true, start + seconds(2)));
        connection.exchanges = 0;
        CHECK_FALSE(recordTimeout(suspicion, connection, false, start + seconds(2)));
        CHECK(decideUse(connection, suspicion, start + seconds(2)) == ConnectionUse::Reuse);
    }

    SECTION("new connections come at 8 a second after a burst of 4")
    {
        TokenBucket ration = newConnectionBucket();
        std::vector<TimePoint> taken;
        for (TimePoint now = start; now < start + seconds(10); now += milliseconds(1)) {
            const bool isAvailable = ration.availableAt(now) <= now;
            REQUIRE(ration.take(now) == isAvailable);
            if (isAvailable)
                taken.push_back(now);
        }
        CHECK(taken.size() == 83);
        CHECK(std::count(taken.begin(), taken.end(), start) == 1);
        CHECK(taken[3] == start + milliseconds(3));
        CHECK(taken[4] == start + milliseconds(125));
    }

    SECTION("probes come once per 5 s, from one instance of the zone")
    {
        TokenBucket ration = probeBucket();
        CHECK(ration.take(start));
        CHECK_FALSE(ration.take(start + milliseconds(4999)));
        CHECK(ration.take(start + seconds(5)));
        const std::vector<std::string> names { "e1", "e2", "e3" };
        const std::vector<std::string> reversed { "e3", "e2", "e1" };
        CHECK(probingInstance("s1", names) == probingInstance("s1", reversed));
        CHECK(probingInstance("s1", {}).empty());
    }

    SECTION("a reconnect storm spreads: no tenth of the bound gets a fifth of 1000 instances")
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

    SECTION("the first byte is awaited for a multiple of the usual time, within the deadline")
    {
        CHECK(firstByteTimeout(milliseconds(40), seconds(1)) == milliseconds(120));
        CHECK(firstByteTimeout(milliseconds(400), seconds(1)) == seconds(1));
        CHECK(firstByteTimeout(std::nullopt, seconds(1)) == seconds(1));
        CHECK(firstByteTimeout(milliseconds(1), -seconds(1)) == Duration::zero());
    }
}
