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

/// A fleet's instance that loses servers with requests in flight, and what it decides.
class Instance {
public:
    explicit Instance(std::uint64_t reporter)
        : tracker(reporter)
    {
    }

    /// The server runs the requests from \a sent on and is lost after 10 ms.
    std::vector<CrashMark> lose(
        const std::string& server, const std::vector<Fingerprint>& inFlight, TimePoint sent, bool isConfirmed = true)
    {
        std::vector<std::uint64_t> numbers;
        numbers.reserve(inFlight.size());
        for (const Fingerprint& fingerprint : inFlight)
            numbers.push_back(this->tracker.recordSent(server, { fingerprint, "tillgate", sent }));
        std::vector<CrashMark> marks;
        for (const std::uint64_t number : numbers) {
            marks.push_back(*this->tracker.recordLost(server, number, sent + milliseconds(10)));
            marks.back().isConfirmed = isConfirmed;
            this->quarantine.merge(marks.back(), marks.back().at);
        }
        return marks;
    }

    bool isQuarantined(const Fingerprint& fingerprint, TimePoint at = start + minutes(1)) const
    {
        return this->quarantine.isQuarantined(fingerprint, at);
    }

    Quarantine quarantine;
    InFlightTracker tracker;
};

std::string textOf(const std::vector<QuarantineEntry>& entries)
{
    std::string text;
    for (const QuarantineEntry& entry : entries)
        text += fmt::format("{} {} {} {} {} {};", formatFingerprint(entry.fingerprint), entry.servers.size(),
            entry.crashes, entry.evidence, entry.isQuarantined, entry.expires.time_since_epoch().count());
    return text;
}

} // namespace

TEST_CASE("Quarantine of crashing requests")
{
    Instance instance(7);
    const Fingerprint other = fingerprintOf("tillgate", "POST", "/vend", { 3, 3 });

    SECTION(
        "a request that crashes two servers, one after the other, is quarantined; two crashes of one do not suffice")
    {
        instance.lose("s1", { crashing }, start);
        instance.lose("s1", { crashing }, start + seconds(5));
        CHECK_FALSE(instance.isQuarantined(crashing));
        instance.lose("s2", { crashing }, start + seconds(10));
        CHECK(instance.isQuarantined(crashing));
        CHECK_FALSE(instance.isQuarantined(crashing, start + seconds(10) + milliseconds(10) + minutes(10)));
    }

    SECTION("a server that breaks its connections to a request and lives on is at fault itself; one that ends is not")
    {
        for (int i = 0; i < 20; ++i)
            instance.lose("s1", { harmless }, start + seconds(i), false);
        CHECK_FALSE(instance.isQuarantined(harmless));
        for (int i = 0; i < 4; ++i)
            instance.lose("s2", { crashing }, start + seconds(i) + seconds(30));
        CHECK(instance.isQuarantined(crashing));
    }

    SECTION("its own retry, a moment after the first crash, is no mass crash that hides it")
    {
        // Guards against a rule that discarded crashes within 1.5 s of each other: the retry of a crashing request.
        for (const Duration pause : { milliseconds(10), milliseconds(200), milliseconds(1000), milliseconds(10'000) }) {
            Instance fresh(7);
            fresh.lose("s1", { crashing, harmless }, start);
            fresh.lose("s2", { crashing, other }, start + pause);
            CHECK(fresh.isQuarantined(crashing));
            CHECK_FALSE(fresh.isQuarantined(harmless));
            CHECK_FALSE(fresh.isQuarantined(other));
        }
    }

    SECTION("it is found among many requests on the servers that it crashes")
    {
        // Guards against a weight that falls with the number of requests and may never reach the limit.
        for (std::uint64_t round = 0; round < 2; ++round) {
            std::vector<Fingerprint> inFlight { crashing };
            for (std::uint64_t i = 0; i < 60; ++i)
                inFlight.push_back({ round + 1, i });
            instance.lose("s" + std::to_string(round), inFlight, start + seconds(round));
        }
        CHECK(instance.isQuarantined(crashing));
        for (std::uint64_t i = 0; i < 60; ++i)
            CHECK_FALSE((instance.isQuarantined({ 1, i }) || instance.isQuarantined({ 2, i })));
    }

    SECTION("copies in flight when a zone loses power are one crash, whatever their number")
    {
        for (const char* server : { "s1", "s2", "s3", "s4", "s5", "s6" })
            instance.lose(server, { crashing }, start);
        CHECK_FALSE(instance.isQuarantined(crashing));
    }

    SECTION("a request that is retried while servers are killed one after the other is not blamed for two crashes")
    {
        instance.lose("s1", { harmless }, start);
        instance.lose("s2", { other }, start + milliseconds(100));
        instance.lose("s3", { harmless }, start + milliseconds(200));
        CHECK_FALSE(instance.isQuarantined(harmless));
        SECTION("but for four, without one run that ended, it is")
        {
            instance.lose("s4", { harmless }, start + milliseconds(300));
            CHECK_FALSE(instance.isQuarantined(harmless));
            instance.lose("s5", { harmless }, start + milliseconds(400));
            CHECK(instance.isQuarantined(harmless));
        }
    }

    SECTION("two broken connections to servers that live on are weak evidence")
    {
        instance.lose("s1", { harmless }, start, false);
        instance.lose("s2", { harmless }, start + seconds(3), false);
        instance.lose("s3", { harmless }, start + seconds(6), false);
        CHECK_FALSE(instance.isQuarantined(harmless));
        SECTION("that counts in full when the servers turn out to have ended")
        {
            CHECK(instance.quarantine.confirmCrash(7, "s2", start).size() == 1);
            CHECK(instance.isQuarantined(harmless));
            CHECK(instance.quarantine.confirmCrash(7, "s2", start).empty());
        }
    }

    SECTION("a copy that was sent earlier and lives on speaks for the request")
    {
        const std::uint64_t number = instance.tracker.recordSent("s9", { harmless, "tillgate", start });
        instance.lose("s1", { harmless }, start + milliseconds(1));
        instance.lose("s2", { harmless }, start + milliseconds(100));
        instance.tracker.recordEnded("s9", number);
        CHECK_FALSE(instance.isQuarantined(harmless));
    }

    SECTION("of three requests in flight at three crashes, one that was answered in between is not quarantined")
    {
        instance.lose("s1", { crashing, harmless, other }, start);
        instance.lose("s2", { crashing, harmless, other }, start + seconds(3));
        CHECK_FALSE(instance.isQuarantined(crashing));
        instance.quarantine.recordSuccess(harmless, start + seconds(4));
        instance.lose("s3", { crashing, harmless }, start + seconds(6));
        CHECK(instance.isQuarantined(crashing));
        CHECK_FALSE(instance.isQuarantined(harmless));
        CHECK_FALSE(instance.isQuarantined(other));
    }

    SECTION("crashes that different instances saw add up, in any order of their reports")
    {
        Instance second(8);
        Instance third(9);
        const auto first = instance.lose("s1", { crashing }, start);
        const auto later = second.lose("s2", { crashing }, start + milliseconds(500));
        CHECK_FALSE(instance.isQuarantined(crashing));
        CHECK_FALSE(second.isQuarantined(crashing));
        instance.quarantine.merge(later.front(), start + seconds(1));
        second.quarantine.merge(first.front(), start + seconds(1));
        third.quarantine.merge(later.front(), start + seconds(1));
        third.quarantine.merge(first.front(), start + seconds(2));
        for (const Instance* each : { &instance, &second, &third })
            CHECK(each->isQuarantined(crashing));
    }

    SECTION("marks of an earlier release, without the start of the run, count by the time between the crashes")
    {
        for (CrashMark mark : instance.lose("s1", { crashing }, start)) {
            for (unsigned i = 0; i < 5; ++i) {
                mark.run.reset();
                mark.isConfirmed = false;
                mark.server = "t" + std::to_string(i);
                mark.number = 100 + i;
                mark.at = start + seconds(10) + milliseconds(1600) * (i / 2);
                instance.quarantine.merge(mark, mark.at);
            }
        }
        const auto entries = instance.quarantine.list(start + minutes(1));
        REQUIRE(entries.size() == 1);
        CHECK(entries.front().crashes == 4);
    }

    SECTION("a late copy of an old mark does not undo an operator's release, which needs a reason")
    {
        const auto marks = instance.lose("s1", { crashing }, start);
        instance.lose("s2", { crashing }, start + seconds(1));
        const TimePoint now = start + seconds(2);
        REQUIRE(instance.quarantine.list(now).size() == 1);
        CHECK(instance.quarantine.list(now).front().servers == std::vector<std::string> { "s1", "s2" });
        CHECK_FALSE(isOk(instance.quarantine.release(crashing, "", now)));
        CHECK_FALSE(isOk(instance.quarantine.release(harmless, "mistake", now)));
        CHECK(isOk(instance.quarantine.release(crashing, "server fixed", now)));
        instance.quarantine.merge(marks.front(), now);
        CHECK(instance.quarantine.list(now).empty());
    }

    SECTION("only requests whose own connection is lost get a mark, and only one")
    {
        const std::uint64_t ended = instance.tracker.recordSent("s1", { harmless, "tillgate", start });
        const std::uint64_t lost = instance.tracker.recordSent("s1", { crashing, "tillgate", start });
        const std::uint64_t living = instance.tracker.recordSent("s1", { other, "tillgate", start });
        instance.tracker.recordEnded("s1", ended);
        CHECK_FALSE(instance.tracker.recordLost("s1", ended, start));
        const auto mark = instance.tracker.recordLost("s1", lost, start);
        REQUIRE(mark);
        CHECK(mark->fingerprint == crashing);
        CHECK(mark->inFlight == 2);
        CHECK_FALSE(instance.tracker.recordLost("s1", lost, start));
        instance.tracker.recordEnded("s1", living);
    }

    SECTION("one instance of the fleet lets a copy run, less often each time that it crashes a server")
    {
        const std::vector<std::string> fleet { "a", "b", "c", "d" };
        unsigned chosen = 0;
        for (const std::string& name : fleet)
            chosen += isTrialInstance(crashing, name, fleet) ? 1 : 0;
        CHECK(chosen == 1);
        CHECK(isTrialInstance(crashing, "alone", {}));

        instance.lose("s1", { crashing }, start);
        instance.lose("s2", { crashing }, start + seconds(1));
        TimePoint crashedAt = start + seconds(1) + milliseconds(10);
        for (const seconds pause : { seconds(30), seconds(120), seconds(480), seconds(480) }) {
            const TimePoint trialAt = instance.quarantine.nextTrial(crashing, crashedAt);
            CHECK(trialAt == crashedAt + pause);
            REQUIRE(instance.isQuarantined(crashing, trialAt));
            instance.quarantine.recordTrial(crashing, trialAt);
            CHECK(instance.quarantine.nextTrial(crashing, trialAt) == trialAt + pause);
            instance.lose(fmt::format("t{}", pause.count()), { crashing }, trialAt);
            crashedAt = trialAt + milliseconds(10);
        }
        instance.quarantine.recordSuccess(crashing, crashedAt + seconds(1));
        CHECK_FALSE(instance.isQuarantined(crashing, crashedAt + seconds(1)));
    }

    SECTION("of many marks, those of the request with most crashes are reported first; cleared ones are not")
    {
        instance.lose("s1", { harmless, crashing, other }, start);
        instance.lose("s2", { crashing }, start + seconds(1));
        instance.quarantine.recordSuccess(other, start + seconds(1));
        const TimePoint now = start + seconds(2);
        const auto marks = instance.quarantine.marksToReport(7, start, 2, now);
        REQUIRE(marks.size() == 2);
        CHECK(marks[0].fingerprint == crashing);
        CHECK(marks[1].fingerprint == crashing);
        CHECK(instance.quarantine.marksToReport(7, start, 9, now).size() == 3);
        CHECK(instance.quarantine.marksToReport(8, start, 9, now).empty());
        CHECK(instance.quarantine.marksToReport(std::nullopt, start, 9, now).size() == 2);
        CHECK(instance.quarantine.marksToReport(7, start + milliseconds(500), 9, now).size() == 1);
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
