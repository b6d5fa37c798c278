#include "platform/storerelay.h"
#include "platform/verification.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace clementinefall;
using namespace clementinefall::platform;

namespace {

constexpr Duration bound = milliseconds(2500);

/// Connecting and one exchange with a store in another region.
constexpr Duration callTime = milliseconds(250);

/// Largest pause between two looks at what is due.
constexpr Duration lookInterval = milliseconds(20);

} // namespace

TEST_CASE("Verifying what is known of a kind")
{
    const TimePoint start { seconds(1000) };
    KindCurrency kind { .position = { 1, 100 }, .knownAt = start };
    VerificationState state;
    const VerificationTiming timing = verificationTiming(bound, VerificationRank::Other);
    const StorePosition newest { 1, 100 };

    SECTION("begins once its age has grown, wherever the proof came from")
    {
        CHECK(verificationDue(kind, state, timing, newest, false) == start + timing.age);
        kind.knownAt = start + seconds(1);
        CHECK(verificationDue(kind, state, timing, newest, false) == start + seconds(1) + timing.age);
    }
    SECTION("does not begin before its first proof, as its first lists are under way")
    {
        kind.knownAt = {};
        CHECK_FALSE(verificationDue(kind, state, timing, newest, false));
    }
    SECTION("begins earlier at the watcher of a zone when the store has moved on by unknown changes")
    {
        CHECK(verificationDue(kind, state, timing, { 1, 101 }, true) == start + timing.relayedAge);
        CHECK(verificationDue(kind, state, timing, { 1, 101 }, false) == start + timing.age);
        CHECK(verificationDue(kind, state, timing, { 1, 100 }, true) == start + timing.age);
    }
    SECTION("begins soon after another instance has reported a change that is not known here")
    {
        const TimePoint reportedAt = start + milliseconds(10);
        recordBehind(state, kind, { 1, 102 }, reportedAt);
        recordBehind(state, kind, { 1, 103 }, reportedAt + milliseconds(100));
        CHECK(verificationDue(kind, state, timing, newest, false) == reportedAt + timing.behindDelay);

        SECTION("unless the answer that tells of it arrives before")
        {
            kind.position.revision = 103;
            CHECK(verificationDue(kind, state, timing, newest, false) == start + timing.age);
        }
    }
    SECTION("is repeated at once after a failure with more time, and then with pauses")
    {
        const Duration first = verificationTimeout(state, timing);
        recordVerification(state, timing, false, start + seconds(2));
        CHECK(verificationDue(kind, state, timing, newest, false) == start + seconds(2));
        CHECK(verificationTimeout(state, timing) == 2 * first);
        recordVerification(state, timing, false, start + seconds(3));
        CHECK(verificationDue(kind, state, timing, newest, false) > start + seconds(3));
        recordVerification(state, timing, false, start + seconds(4));
        CHECK(verificationTimeout(state, timing) <= timing.maximumTimeout);
    }
    SECTION("ends within the bound after a change whose answer is lost, when the first verification is lost, too")
    {
        for (const auto rank : { VerificationRank::First, VerificationRank::Second, VerificationRank::Other }) {
            const VerificationTiming times = verificationTiming(bound, rank);
            VerificationState tries;
            const TimePoint firstCall = *verificationDue(kind, tries, times, newest, false) + lookInterval;
            const TimePoint failure = firstCall + verificationTimeout(tries, times);
            recordVerification(tries, times, false, failure);
            const TimePoint secondCall = *verificationDue(kind, tries, times, newest, false) + lookInterval;
            CHECK(secondCall + callTime - start < bound);
        }
    }
    SECTION("begins earliest at one instance, early enough that the others have heard of it when they are due")
    {
        const std::vector<std::string> names { "a", "b", "c", "d" };
        const auto countOf = [&names](VerificationRank rank) {
            return std::count_if(names.begin(), names.end(),
                [&](const std::string& name) { return verificationRank(name, names) == rank; });
        };
        CHECK(countOf(VerificationRank::First) == 1);
        CHECK(countOf(VerificationRank::Second) == 1);
        CHECK(verificationRank("e", names) == VerificationRank::Other);
        const Duration heard = relayTiming(bound).watcherWait + bound / 4 + callTime;
        CHECK(heard < verificationTiming(bound, VerificationRank::Second).age);
        CHECK(heard < verificationTiming(bound, VerificationRank::Other).age);
        CHECK(verificationTiming(bound, VerificationRank::First).age
            < verificationTiming(bound, VerificationRank::Second).age);
    }
}
