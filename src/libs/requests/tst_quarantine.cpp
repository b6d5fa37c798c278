#include "requests/quarantine.h"

#include "base/random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <variant>

using namespace clementinefall;
using namespace clementinefall::requests;

namespace {

const TimePoint start = TimePoint {} + std::chrono::hours(1);
const Fingerprint crashing = fingerprintOf("tillgate", "POST", "/vend", { 1, 1 });
const Fingerprint harmless = fingerprintOf("tillgate", "POST", "/vend", { 2, 2 });

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

    SECTION("a request alone in flight at crashes of two servers is quarantined; crashes of one server do not suffice")
    {
        apply(crash(tracker, "s1", { crashing }));
        apply(crash(tracker, "s1", { crashing }));
        CHECK_FALSE(quarantine.isQuarantined(crashing, start));
        apply(crash(tracker, "s2", { crashing }));
        CHECK(quarantine.isQuarantined(crashing, start));
        CHECK_FALSE(quarantine.isQuarantined(crashing, start + minutes(10)));
    }

    SECTION("of three requests in flight at three crashes, one that was answered in between is not quarantined")
    {
        const Fingerprint other = fingerprintOf("tillgate", "POST", "/vend", { 3, 3 });
        apply(crash(tracker, "s1", { crashing, harmless, other }));
        apply(crash(tracker, "s2", { crashing, harmless, other }));
        CHECK_FALSE(quarantine.isQuarantined(crashing, start));
        quarantine.recordSuccess(harmless, start + seconds(1));
        apply(crash(tracker, "s3", { crashing, harmless, other }));
        CHECK(quarantine.isQuarantined(crashing, start));
        CHECK_FALSE(quarantine.isQuarantined(harmless, start + seconds(1)));
    }

    SECTION("a late copy of an old mark does not undo an operator's release, which needs a reason")
    {
        const auto marks = crash(tracker, "s1", { crashing });
        apply(marks);
        apply(crash(tracker, "s2", { crashing }));
        REQUIRE(quarantine.list(start).size() == 1);
        CHECK(quarantine.list(start).front().servers == std::vector<std::string> { "s1", "s2" });
        CHECK_FALSE(isOk(quarantine.release(crashing, "", start)));
        CHECK_FALSE(isOk(quarantine.release(harmless, "mistake", start)));
        CHECK(isOk(quarantine.release(crashing, "server fixed", start)));
        apply(marks);
        CHECK(quarantine.list(start).empty());
    }

    SECTION("further resets of the same crash and requests that ended before it add no marks")
    {
        const std::uint64_t endedNumber = tracker.recordSent("s1", { harmless, "tillgate" });
        tracker.recordEnded("s1", endedNumber);
        CHECK(crash(tracker, "s1", { crashing }).size() == 1);
        CHECK(tracker.recordCrash("s1", start).empty());
    }

    SECTION("the number of fingerprints is bounded, and all are removed after the lifetime")
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
    // Guards against instances that stay inconsistent after they received the same messages in different orders.
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
    // The same mark with a different age, as when it arrives through other peers.
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
