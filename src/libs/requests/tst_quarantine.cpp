#include "requests/quarantine.h"

#include "base/random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <variant>

using namespace clementinefall;
using namespace clementinefall::requests;

namespace {

const TimePoint start = TimePoint {} + std::chrono::hours(1);
const Fingerprint culprit = fingerprintOf("tillgate", "POST", "/vend", { 1, 1 });
const Fingerprint bystander = fingerprintOf("tillgate", "POST", "/vend", { 2, 2 });

std::vector<CrashMark> crash(
    InFlightTracker& tracker, const std::string& server, const std::vector<Fingerprint>& inFlight)
{
    for (const Fingerprint& fingerprint : inFlight)
        tracker.recordSent(server, { fingerprint, "tillgate" });
    return tracker.recordCrash(server, start);
}

std::string textOf(const std::vector<QuarantineEntry>& entries)
{
    std::string text;
    for (const QuarantineEntry& entry : entries)
        text += fmt::format("{} {} {} {} {};", formatFingerprint(entry.fingerprint), entry.servers.size(),
            entry.weightMillionths, entry.isQuarantined, entry.expires.time_since_epoch().count());
    return text;
}

} // namespace

TEST_CASE("Quarantine of crashing requests")
{
    Quarantine quarantine;
    InFlightTracker tracker(7);
    const auto apply = [&quarantine](const std::vector<CrashMark>& marks) {
        for (const CrashMark& mark : marks)
            quarantine.merge(mark, start);
    };

    SECTION("two lone crashes on two servers quarantine; two on one server do not")
    {
        apply(crash(tracker, "s1", { culprit }));
        apply(crash(tracker, "s1", { culprit }));
        CHECK_FALSE(quarantine.isQuarantined(culprit, start));
        apply(crash(tracker, "s2", { culprit }));
        CHECK(quarantine.isQuarantined(culprit, start));
        CHECK_FALSE(quarantine.isQuarantined(culprit, start + minutes(10)));
    }

    SECTION("a bystander of two crowded crashes stays free, the culprit is caught at the third")
    {
        const Fingerprint other = fingerprintOf("tillgate", "POST", "/vend", { 3, 3 });
        apply(crash(tracker, "s1", { culprit, bystander, other }));
        apply(crash(tracker, "s2", { culprit, bystander, other }));
        CHECK_FALSE(quarantine.isQuarantined(culprit, start));
        quarantine.recordSuccess(bystander, start + seconds(1));
        apply(crash(tracker, "s3", { culprit, bystander, other }));
        CHECK(quarantine.isQuarantined(culprit, start));
        CHECK_FALSE(quarantine.isQuarantined(bystander, start + seconds(1)));
    }

    SECTION("an operator lists and releases with a reason; a late copy of an old mark does not bring it back")
    {
        const auto marks = crash(tracker, "s1", { culprit });
        apply(marks);
        apply(crash(tracker, "s2", { culprit }));
        REQUIRE(quarantine.list(start).size() == 1);
        CHECK(quarantine.list(start).front().servers == std::vector<std::string> { "s1", "s2" });
        CHECK_FALSE(isOk(quarantine.release(culprit, "", start)));
        CHECK_FALSE(isOk(quarantine.release(bystander, "mistake", start)));
        CHECK(isOk(quarantine.release(culprit, "server fixed", start)));
        apply(marks);
        CHECK(quarantine.list(start).empty());
    }

    SECTION("the other resets of one crash and ended requests add no marks")
    {
        const std::uint64_t ended = tracker.recordSent("s1", { bystander, "tillgate" });
        tracker.recordEnded("s1", ended);
        CHECK(crash(tracker, "s1", { culprit }).size() == 1);
        CHECK(tracker.recordCrash("s1", start).empty());
    }

    SECTION("memory is bounded and freed after the lifetime")
    {
        Quarantine small({ minutes(10), 8, 4 });
        for (std::uint64_t i = 0; i < 100; ++i) {
            small.merge(CrashMark { { i % 20, 0 }, "s", "s1", 1, i, 1, start + milliseconds(i) }, start + seconds(1));
            CHECK(small.fingerprintCount() <= 8);
        }
        small.expire(start + minutes(11));
        CHECK(small.fingerprintCount() == 0);
    }
}

TEST_CASE("Merging marks and clearings is idempotent and does not depend on order")
{
    // Guards against instances that disagree for good after they received the same messages in another order.
    Random random(3);
    using Message = std::variant<CrashMark, MarkClearing>;
    std::vector<Message> messages;
    for (std::uint64_t i = 0; i < 40; ++i) {
        const Fingerprint fingerprint { randomBelow(random, 3), 0 };
        const TimePoint at = start - seconds(randomBelow(random, 300));
        if (i % 8 == 7) {
            messages.emplace_back(
                MarkClearing { fingerprint, at - seconds(200), i % 16 == 7 ? "answered" : "released" });
        } else {
            messages.emplace_back(CrashMark { fingerprint, "s", fmt::format("s{}", i % 4), 1 + i % 2, i / 2,
                static_cast<std::uint32_t>(1 + i % 5), at });
        }
        if (i % 5 == 0)
            messages.push_back(messages.back());
    }
    // The same mark with another age, as after another path through the peers.
    CrashMark relayed = std::get<CrashMark>(messages.front());
    relayed.at -= seconds(100);
    messages.emplace_back(relayed);

    std::string expected;
    for (unsigned round = 0; round < 200; ++round) {
        std::shuffle(messages.begin(), messages.end(), random);
        Quarantine quarantine({ minutes(10), 4096, 64 });
        for (const Message& message : messages)
            std::visit([&quarantine](const auto& content) { quarantine.merge(content, start); }, message);
        const std::string text = textOf(quarantine.list(start));
        if (round == 0)
            expected = text;
        REQUIRE(text == expected);
    }
    CHECK_FALSE(expected.empty());
}
