#include "forwarding/heartbeat.h"
#include "forwarding/peerclock.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

/// The other instance's clock shows this much more than the local one.
constexpr Duration difference = seconds(500);
constexpr Duration delay = milliseconds(60);

} // namespace

TEST_CASE("Times of another instance")
{
    const TimePoint start { seconds(1000) };
    PeerClock clock;
    const auto peerTimeAt = [](TimePoint local) { return local.time_since_epoch() + difference; };

    SECTION("are unknown before one of the own stamps has come back")
    {
        CHECK_FALSE(localTime(clock, peerTimeAt(start), start));
    }

    SECTION("after one of the own stamps has come back")
    {
        recordEcho(clock, { .stamp = clockStamp(start), .receivedAt = peerTimeAt(start + delay) }, start + 2 * delay);
        const TimePoint event = start + seconds(3);

        SECTION("are known to within the delay, and are never too late")
        {
            const auto local = localTime(clock, peerTimeAt(event), start + seconds(4));
            REQUIRE(local);
            CHECK(*local <= event);
            CHECK(*local >= event - delay);
        }
        SECTION("do not become later by a heartbeat that was on its way for long")
        {
            const auto before = localTime(clock, peerTimeAt(event), start + seconds(9));
            const Duration stamp = clockStamp(start + seconds(1));
            recordEcho(clock, { .stamp = stamp, .receivedAt = peerTimeAt(start + seconds(5)) }, start + seconds(9));
            CHECK(localTime(clock, peerTimeAt(event), start + seconds(9)) == before);
        }
        SECTION("are unknown when they would be in the future")
        {
            CHECK_FALSE(localTime(clock, peerTimeAt(start + seconds(60)), start + seconds(4)));
        }
    }

    SECTION("stay unknown after an echo that is from the future or far too old")
    {
        recordEcho(clock, { .stamp = clockStamp(start + seconds(1)), .receivedAt = {} }, start);
        recordEcho(clock, { .stamp = clockStamp(start - seconds(60)), .receivedAt = {} }, start);
        CHECK_FALSE(localTime(clock, {}, start));
    }
}

TEST_CASE("What a heartbeat tells of the store")
{
    const TimePoint now { seconds(1000) };
    Heartbeat heartbeat;
    heartbeat.name = "a";
    heartbeat.incarnation = 7;
    heartbeat.reports = { { .kind = "config",
        .position = { 2, 120 },
        .lastChangeFrom = 90,
        .lastChangeUntil = 95,
        .age = microseconds(400'400) } };
    const ClockEcho echo { .stamp = milliseconds(77), .receivedAt = milliseconds(88) };
    const std::string text = withClock(encodeHeartbeat(heartbeat, now), now, echo);

    SECTION("arrives as it was sent, and no age gets younger on its way")
    {
        const auto decoded = decodeHeartbeat(text, now + seconds(9));
        REQUIRE(isOk(decoded));
        REQUIRE(valueOf(decoded).reports.size() == 1);
        const platform::KindReport& report = valueOf(decoded).reports.front();
        CHECK(report.kind == "config");
        CHECK(report.position == platform::StorePosition { 2, 120 });
        CHECK(report.lastChangeFrom == 90);
        CHECK(report.lastChangeUntil == 95);
        CHECK(report.age == milliseconds(401));
        CHECK(valueOf(decoded).clock == clockStamp(now));
        REQUIRE(valueOf(decoded).echo);
        CHECK(valueOf(decoded).echo->stamp == echo.stamp);
        CHECK(valueOf(decoded).echo->receivedAt == echo.receivedAt);
    }
    SECTION("is missing in a heartbeat of an older release")
    {
        const auto decoded = decodeHeartbeat(R"({"version":1,"name":"a","incarnation":7,"state":"ready"})", now);
        REQUIRE(isOk(decoded));
        CHECK(valueOf(decoded).reports.empty());
        CHECK_FALSE(valueOf(decoded).clock);
        CHECK_FALSE(valueOf(decoded).echo);
    }
    SECTION("counts as unknown when an age or a revision is negative, absurd or of another type")
    {
        for (const char* known :
            { R"({"config":[1,2,3,4,-5]})", R"({"config":[1,2,3,4,1e30]})", R"({"config":[1,2,3]})",
                R"({"config":"fresh"})", R"({"config":[1,-2,3,4,5]})", R"({"config":[1,2,9,4,5]})", "[]" }) {
            const auto decoded = decodeHeartbeat(
                fmt::format(R"({{"version":1,"name":"a","incarnation":7,"state":"ready","known":{}}})", known), now);
            REQUIRE(isOk(decoded));
            CHECK(valueOf(decoded).reports.empty());
        }
    }
}
