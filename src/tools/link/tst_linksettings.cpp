#include "link/linksettings.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::link;

TEST_CASE("Relay settings")
{
    const std::string text = "[relay a-b]\nlisten=127.0.0.1:1\nto=127.0.0.1:2\ndelayMs=55\nbackDelayMs=4\n"
                             "lossPercent=1.5\n[relay c]\nlisten=127.0.0.1:3\nto=127.0.0.1:4\nprotocol=udp\n";

    SECTION("backward quality defaults to the forward values and can be overridden")
    {
        const auto relays = readRelays("link.ini", text, 1);
        REQUIRE(isOk(relays));
        REQUIRE(valueOf(relays).size() == 2);
        const RelayState& first = valueOf(relays)[0];
        CHECK(first.name == "a-b");
        CHECK(first.paths[0].quality.delay == milliseconds(55));
        CHECK(first.paths[1].quality.delay == milliseconds(4));
        CHECK(first.paths[1].quality.lossPercent == 1.5);
        CHECK(valueOf(relays)[1].protocol == Protocol::Udp);
    }

    SECTION("invalid settings are rejected, so that no experiment runs without its injected failures")
    {
        CHECK_FALSE(isOk(readRelays("link.ini", text + "delayms=5\n", 1)));
        CHECK_FALSE(isOk(readRelays("link.ini", text + "lossPercent=101\n", 1)));
        CHECK_FALSE(isOk(readRelays("link.ini", "[relays]\n", 1)));
    }
}

TEST_CASE("Delivery times of a stream")
{
    Path path;
    path.quality = { milliseconds(50), milliseconds(20), 10.0 };
    Random random(3);

    SECTION("pieces stay in order, and a lost piece delays the ones after it")
    {
        TimePoint previous {};
        TimePoint now {};
        for (int i = 0; i < 1000; ++i) {
            now += milliseconds(1);
            const TimePoint due = streamDeliveryTime(path, random, now, previous);
            REQUIRE(due >= previous);
            REQUIRE(due >= now + path.quality.delay);
            REQUIRE(due <= now + milliseconds(70) + retransmissionTimeout);
            previous = due;
        }
        CHECK(path.counters.lost > 60);
        CHECK(path.counters.lost < 140);
    }
}
