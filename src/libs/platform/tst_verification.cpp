#include "platform/verification.h"

#include <catch2/catch.hpp>

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
    const VerificationTiming timing = verificationTiming(bound, 0.5, false);
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
        state.behindSince = start + milliseconds(10);
        CHECK(verificationDue(kind, state, timing, newest, false) == state.behindSince + timing.behindDelay);
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
        for (const double share : { 0.0, 0.5, 1.0 }) {
            for (const bool hasWatcher : { false, true }) {
                const VerificationTiming times = verificationTiming(bound, share, hasWatcher);
                VerificationState tries;
                const TimePoint firstCall = *verificationDue(kind, tries, times, newest, false) + lookInterval;
                const TimePoint failure = firstCall + verificationTimeout(tries, times);
                recordVerification(tries, times, false, failure);
                const TimePoint secondCall = *verificationDue(kind, tries, times, newest, false) + lookInterval;
                CHECK(secondCall + callTime - start < bound);
            }
        }
    }
    SECTION("begins at different ages at different instances, so that the first one verifies for the others")
    {
        CHECK(verificationTiming(bound, 0.0, false).age < verificationTiming(bound, 1.0, false).age);
        CHECK(verificationTiming(bound, 1.0, false).age < verificationTiming(bound, 0.0, true).age);
    }
}
