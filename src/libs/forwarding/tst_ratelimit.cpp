#include "forwarding/heartbeat.h"
#include "forwarding/instancetable.h"
#include "forwarding/permitmessage.h"
#include "forwarding/placement.h"

#include "base/durations.h"
#include "base/random.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <deque>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

const TimePoint start { seconds(1000) };

/// Grants the permits that are asked for every millisecond, and returns when they were granted.
std::deque<TimePoint> grantAll(PermitBucket& bucket, double perSecond, TimePoint from, Duration duration)
{
    std::deque<TimePoint> granted;
    for (TimePoint now = from; now < from + duration; now += milliseconds(1)) {
        if (takePermit(bucket, perSecond, false, {}, now).isGranted)
            granted.push_back(now);
    }
    return granted;
}

/// The most permits granted in any window of four seconds.
std::size_t mostInFourSeconds(const std::deque<TimePoint>& granted)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < granted.size(); ++last) {
        while (granted[last] - granted[first] > seconds(4))
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

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

TEST_CASE("The coordinator grants no more than the limit")
{
    PermitBucket bucket;
    SECTION("whatever the rate, half as much again and five requests are never reached in four seconds")
    {
        for (const double perSecond : { 0.0, 0.3, 1.0, 3.8, 7.7, 40.0, 500.0 }) {
            PermitBucket own;
            const auto granted = grantAll(own, perSecond, start, seconds(20));
            CHECK(double(mostInFourSeconds(granted)) <= 1.5 * 4 * perSecond + 5);
            CHECK(double(granted.size()) >= 0.9 * 20 * std::min(perSecond, 500.0) - 1);
        }
    }
    SECTION("a limit that falls binds at once")
    {
        grantAll(bucket, 100, start, seconds(4));
        const auto granted = grantAll(bucket, 2, start + seconds(4), seconds(4));
        CHECK(granted.size() <= 1.5 * 4 * 2 + 5);
    }
    SECTION("permits that were not used do not add up")
    {
        takePermit(bucket, 10, false, {}, start);
        const auto granted = grantAll(bucket, 10, start + seconds(60), seconds(4));
        CHECK(granted.size() <= 10 * 4 + 5 + 1);
    }
    SECTION("a new coordinator and the one before it stay within the limit together")
    {
        PermitBucket successor;
        std::deque<TimePoint> granted;
        grantAll(bucket, 8, start, seconds(4));
        for (TimePoint now = start + seconds(4); now < start + seconds(10); now += milliseconds(1)) {
            const bool overlap = now < start + seconds(4) + permitHandoverTime;
            if (overlap && takePermit(bucket, 8, false, {}, now).isGranted)
                granted.push_back(now);
            if (takePermit(successor, 8, overlap, {}, now).isGranted)
                granted.push_back(now);
        }
        CHECK(mostInFourSeconds(granted) <= 1.5 * 4 * 8 + 5);
    }
    SECTION("a permit that was reserved in advance may not be used early")
    {
        PermitDecision first = takePermit(bucket, 4, false, milliseconds(400), start);
        REQUIRE(first.isGranted);
        CHECK(first.delay == Duration(milliseconds(250)));
        CHECK(first.nextAvailable == Duration(milliseconds(500)));

        SECTION("the next one is reserved only for a request that can wait for it")
        {
            const PermitDecision denied = takePermit(bucket, 4, false, milliseconds(400), start);
            CHECK_FALSE(denied.isGranted);
            CHECK(denied.nextAvailable == Duration(milliseconds(500)));
            CHECK(takePermit(bucket, 4, false, milliseconds(500), start).delay == Duration(milliseconds(500)));
        }
        SECTION("none is reserved for later than the limit may be known to hold")
        {
            for (int i = 0; i < 10; ++i)
                CHECK(takePermit(bucket, 4, false, seconds(60), start).delay <= Duration(permitReservationLimit));
        }
    }
    SECTION("a limit that rises takes effect soon, however low it was")
    {
        takePermit(bucket, 0.2, false, {}, start);
        const TimePoint risen = start + seconds(6);
        REQUIRE(takePermit(bucket, 0.2, false, {}, risen).isGranted);
        const auto granted = grantAll(bucket, 40, risen, seconds(4));
        CHECK(double(granted.size()) >= 0.7 * 4 * 40);
    }
}

TEST_CASE("In a shortage, the callers of limited servers get all that the servers take")
{
    // Five servers limited to 2.2 requests a second, and three times as many requests, which can wait for 250 ms each
    // and ask the servers in random order.
    constexpr double perSecond = 2.2;
    constexpr int serverCount = 5;
    constexpr seconds duration { 60 };
    const auto served = [&](Duration maximumDelay) {
        Random random(1);
        std::vector<PermitBucket> buckets(serverCount);
        std::vector<std::vector<TimePoint>> used(serverCount);
        TimePoint now = start;
        while (now < start + duration) {
            now += fromSeconds(-std::log(1.0 - randomUnit(random)) / (3 * perSecond * serverCount));
            const auto first = static_cast<std::size_t>(randomUnit(random) * serverCount);
            for (std::size_t i = 0; i < serverCount; ++i) {
                const std::size_t server = (first + i) % serverCount;
                const PermitDecision decision = takePermit(buckets[server], perSecond, false, maximumDelay, now);
                if (!decision.isGranted)
                    continue;
                used[server].push_back(now + decision.delay);
                break;
            }
        }
        std::size_t count = 0;
        for (auto& times : used) {
            count += times.size();
            CHECK(double(mostInFourSeconds({ times.begin(), times.end() })) <= 1.5 * 4 * perSecond + 5);
        }
        return double(count) / (perSecond * serverCount * double(duration.count()));
    };
    const double withReservation = served(milliseconds(250));
    CHECK(withReservation > 0.97);
    CHECK(withReservation > served({}) + 0.03);
}

TEST_CASE("All instances find the same coordinator, near the backend server")
{
    const auto info = [](const std::string& name, const std::string& zone, const std::string& region) {
        return InstanceInfo {
            .name = name, .zone = zone, .region = region, .callers = {}, .heartbeats = {}, .incarnation = 1
        };
    };
    const std::vector<InstanceInfo> all { info("a1", "a", "north"), info("a2", "a", "north"), info("b1", "b", "north"),
        info("c1", "c", "south") };
    const auto coordinatorSeenBy = [&](std::size_t self, const std::string& zone, const std::string& region) {
        InstanceTable table(all[self]);
        table.setRegistered(all, start);
        const auto coordinator = table.permitCoordinator("server-7", zone, region, true, start);
        return coordinator ? coordinator->name : all[self].name;
    };
    const std::string coordinator = coordinatorSeenBy(0, "a", "north");
    CHECK((coordinator == "a1" || coordinator == "a2"));
    for (std::size_t self = 1; self < all.size(); ++self)
        CHECK(coordinatorSeenBy(self, "a", "north") == coordinator);
    CHECK(coordinatorSeenBy(0, "empty", "south") == "c1");

    SECTION("another one takes over when it stops")
    {
        const std::size_t other = coordinator == "a1" ? 1 : 0;
        InstanceTable table(all[other]);
        table.setRegistered(all, start);
        Heartbeat last;
        last.name = coordinator;
        last.incarnation = 1;
        last.state = InstanceState::Stopping;
        CHECK(table.recordHeartbeat(last, start));
        CHECK(!table.permitCoordinator("server-7", "a", "north", true, start));
    }
}

TEST_CASE("Limits and permits reach other instances")
{
    SECTION("a request and its reply")
    {
        const PermitRequest request {
            .number = 7, .server = "s1", .maximumDelay = milliseconds(150), .limit = { 4.5, start - milliseconds(120) }
        };
        const std::string text = encodePermitMessage(request, start);
        CHECK(isPermitMessage(text));
        const auto decoded = decodePermitMessage(text, start);
        REQUIRE(isOk(decoded));
        const auto& copy = std::get<PermitRequest>(valueOf(decoded));
        CHECK((copy.number == 7 && copy.server == "s1" && copy.limit.perSecond == 4.5));
        CHECK(copy.limit.asOf == start - milliseconds(120));
        CHECK(copy.maximumDelay == Duration(milliseconds(150)));

        const PermitReply reply { .number = 7,
            .isGranted = true,
            .delay = std::chrono::microseconds(80'001),
            .nextAvailable = milliseconds(330),
            .retryAfter = milliseconds(250),
            .limit = {} };
        const auto answer = decodePermitMessage(encodePermitMessage(reply, start), start);
        REQUIRE(isOk(answer));
        const auto& answered = std::get<PermitReply>(valueOf(answer));
        CHECK(answered.isGranted);
        CHECK(answered.delay == Duration(milliseconds(81)));
        CHECK(answered.nextAvailable == Duration(milliseconds(330)));
        CHECK(answered.retryAfter == Duration(milliseconds(250)));
    }
    SECTION("an instance of an earlier release reserves nothing")
    {
        const auto request
            = decodePermitMessage(R"({"permit":"request","number":1,"server":"s","age_ms":5,"limit":4})", start);
        REQUIRE(isOk(request));
        CHECK(std::get<PermitRequest>(valueOf(request)).maximumDelay == Duration {});
        const auto reply
            = decodePermitMessage(R"({"permit":"reply","number":1,"granted":false,"retry_ms":40,"age_ms":5})", start);
        REQUIRE(isOk(reply));
        CHECK_FALSE(std::get<PermitReply>(valueOf(reply)).nextAvailable);
    }
    SECTION("malformed messages are rejected")
    {
        for (const char* text : { "", "{", R"({"permit":"gift"})", R"({"permit":"request","number":1,"server":"s"})",
                 R"({"permit":"request","number":1,"server":"s","age_ms":5,"limit":-1})" })
            CHECK(!isOk(decodePermitMessage(text, start)));
    }
    SECTION("heartbeats carry the limits of many servers as far as they fit")
    {
        Heartbeat heartbeat;
        heartbeat.name = "a1";
        heartbeat.rateLimits["s1"] = { 3.25, start - milliseconds(40) };
        heartbeat.rateLimits["s2"] = { std::nullopt, start - seconds(1) };
        for (int i = 0; i < 200; ++i)
            heartbeat.rateLimits["server-" + std::to_string(i)] = { 5.0, start };
        CHECK(!isPermitMessage(encodeHeartbeat(heartbeat, start)));
        CHECK(encodeHeartbeat(heartbeat, start).size() <= maximumHeartbeatBytes);
        heartbeat.rateLimits
            = { { "s1", { 3.25, start - milliseconds(40) } }, { "s2", { std::nullopt, start - seconds(1) } } };
        const auto decoded = decodeHeartbeat(encodeHeartbeat(heartbeat, start), start);
        REQUIRE(isOk(decoded));
        CHECK(valueOf(decoded).rateLimits.at("s1").perSecond == 3.25);
        CHECK(!valueOf(decoded).rateLimits.at("s2").perSecond);
    }
}

TEST_CASE("Placement follows the limits")
{
    BackendServer limited;
    limited.entry.id = "limited";
    limited.entry.slots = 6;
    limited.locality = Locality::SameZone;
    BackendServer other = limited;
    other.entry.id = "other";
    limited.rateLimit = { 3.0, start };
    const std::vector<const BackendServer*> servers { &limited, &other };
    const std::vector<char> cold { 1, 1 };
    PlacementRequest request;
    request.processingTime = initialProcessingTimeEstimate(milliseconds(500));
    request.timeLeft = seconds(3);
    request.targetTimeLeft = milliseconds(500);

    SECTION("a server without a permit is passed over until it may be asked for again")
    {
        limited.permitRetryAt = start + milliseconds(300);
        for (std::uint64_t object = 1; object < 50; ++object) {
            request.object = object;
            CHECK(choosePlacement(servers, cold, {}, request, {}, start).server == 1U);
        }
        CHECK(exclusionReason(limited, request, {}, true, start + milliseconds(300)) == ExclusionReason::None);
    }
    SECTION("a request waits for the next permit only while its response would be in time")
    {
        request.targetTimeLeft = milliseconds(900);
        const Duration spare = maximumPermitDelay(limited, request, start);
        CHECK(spare == request.targetTimeLeft - request.processingTime.uncached);
        limited.permitAvailableAt = start + spare;
        CHECK(exclusionReason(limited, request, {}, true, start) == ExclusionReason::None);
        CHECK(estimateCompletion(limited, request, {}, start).completion
            >= spare + estimateCompletion(other, request, {}, start).completion);
        limited.permitAvailableAt += milliseconds(1);
        CHECK(exclusionReason(limited, request, {}, true, start) == ExclusionReason::RateLimited);

        SECTION("and one that is late already takes only a permit that is available")
        {
            request.targetTimeLeft = -milliseconds(100);
            limited.permitAvailableAt = start + milliseconds(1);
            CHECK(exclusionReason(limited, request, {}, true, start) == ExclusionReason::RateLimited);
            CHECK(exclusionReason(limited, request, {}, true, start + milliseconds(1)) == ExclusionReason::None);
        }
    }
    SECTION("it is home to as many objects as it can serve")
    {
        unsigned atLimited = 0;
        for (std::uint64_t object = 1; object <= 1000; ++object) {
            request.object = object;
            atLimited += choosePlacement(servers, cold, {}, request, {}, start).server == 0U ? 1 : 0;
        }
        // 3 requests a second of 350 ms use about 1 of 6 slots, so about 1 in 7 objects belong there.
        CHECK(atLimited > 80);
        CHECK(atLimited < 220);
    }
}
