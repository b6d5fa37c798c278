#include "requests/retrybudget.h"

#include "base/random.h"
#include "requests/latencywindow.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <vector>

using namespace clementinefall;
using namespace clementinefall::requests;

namespace {

const TimePoint start = TimePoint {} + std::chrono::hours(1);

void fill(RetryBudget& budget, unsigned firstAttempts)
{
    for (unsigned i = 0; i < firstAttempts; ++i)
        budget.recordFirstAttempt(start);
}

RetryState stateAfter(const std::vector<AttemptEnd>& ended, bool isIdempotent)
{
    RetryState state;
    state.isIdempotent = isIdempotent;
    state.ended = ended;
    state.left = seconds(1);
    state.expectedLatency = milliseconds(10);
    return state;
}

} // namespace

TEST_CASE("Retry budget")
{
    SECTION("no window of 10 s that ends with an extra attempt holds more than a tenth of its first attempts")
    {
        Random random(11);
        RetryBudget budget;
        std::deque<TimePoint> first;
        std::deque<TimePoint> extra;
        unsigned granted = 0;
        unsigned firstTotal = 0;
        TimePoint now = start;
        for (unsigned step = 0; step < 40000; ++step) {
            // Bursts and gaps, so that rounding at the start of the window has an effect.
            const bool isBurst = step / 500 % 2 == 0;
            now += microseconds(randomBelow(random, isBurst ? 2000 : 60000));
            if (randomBelow(random, 3) > 0) {
                budget.recordFirstAttempt(now);
                first.push_back(now);
                ++firstTotal;
                continue;
            }
            if (!budget.takeExtraAttempt(now))
                continue;
            extra.push_back(now);
            ++granted;
            const auto isOld = [now](TimePoint time) { return now - time >= seconds(10); };
            std::erase_if(first, isOld);
            std::erase_if(extra, isOld);
            REQUIRE(extra.size() * 10 <= first.size());
        }
        CHECK(granted * 10 <= firstTotal);
        CHECK(granted * 12 >= firstTotal);
    }

    SECTION("a ratio that is no fraction of one is rounded down")
    {
        CHECK(retryBudgetLimits(0.1, 3).firstAttemptsPerExtra == 10);
        CHECK(retryBudgetLimits(0.135, 3).firstAttemptsPerExtra == 8);
        CHECK(retryBudgetLimits(0.15, 3).firstAttemptsPerExtra == 7);
        CHECK(retryBudgetLimits(1, 3).firstAttemptsPerExtra == 1);
        CHECK(retryBudgetLimits(1e-300, 3).firstAttemptsPerExtra == 1000000000);
        CHECK(retryBudgetLimits(0, 3).firstAttemptsPerExtra == 0);
        CHECK(retryBudgetLimits(0, 3).allowance == 3);
    }

    SECTION("first attempts outside the window allow no extra attempts")
    {
        RetryBudget budget;
        fill(budget, 100);
        CHECK(budget.available(start + seconds(9)) == 10);
        CHECK(budget.available(start + seconds(11)) == 0);
    }
}

TEST_CASE("Retry decisions")
{
    RetryBudget budget;
    fill(budget, 10);
    const auto decide = [&budget](const RetryState& state) { return decideRetry(state, budget, start); };

    SECTION("a non-idempotent request is retried only if no attempt can have run")
    {
        const std::vector lost { AttemptEnd::LostAfterWrite };
        const std::vector refused { AttemptEnd::ConnectRefused };
        CHECK(decide(stateAfter(lost, false)).code == ResultCode::UnknownConnectionLost);
        CHECK(budget.available(start) == 1);
        CHECK(decide(stateAfter(refused, false)).verdict == RetryVerdict::Retry);
        CHECK(decide(stateAfter(refused, false)).code == ResultCode::NotRunRetryBudget);
    }

    SECTION("an idempotent request is retried after an unknown outcome, but not reported as not run afterwards")
    {
        const std::vector lost { AttemptEnd::TimedOut, AttemptEnd::ConnectRefused };
        RetryState state = stateAfter(lost, true);
        CHECK(decide(state).verdict == RetryVerdict::Retry);
        CHECK(decide(state).code == ResultCode::UnknownTimeout);
        state.left = milliseconds(5);
        CHECK(decide(state).code == ResultCode::UnknownTimeout);
    }

    SECTION("no retry while a hedge is in flight, nor after part of a response was passed to the caller")
    {
        const std::vector cut { AttemptEnd::ResponseTruncated };
        RetryState state = stateAfter(cut, true);
        state.running = 1;
        CHECK(decide(state).verdict == RetryVerdict::WaitForRunning);
        state.hasResponseStarted = true;
        CHECK(decide(state).verdict == RetryVerdict::Stop);
        CHECK(budget.available(start) == 1);
    }

    SECTION("only slow idempotent requests are hedged, and hedges use the retry budget")
    {
        HedgeState state;
        state.isIdempotent = true;
        state.waited = milliseconds(19);
        state.delay = milliseconds(20);
        state.left = seconds(1);
        CHECK_FALSE(decideHedge(state, budget, start));
        state.waited = milliseconds(20);
        CHECK(decideHedge(state, budget, start));
        CHECK_FALSE(decideHedge(state, budget, start));
    }

    SECTION("the deadline for the next hop leaves time for the response to return")
    {
        const TimePoint deadline = deadlineOf(start, milliseconds(5000), milliseconds(2000));
        CHECK(deadline == start + seconds(2));
        CHECK(deadlineForNextHop(deadline, start + milliseconds(500), milliseconds(55)) == milliseconds(1390));
        CHECK_FALSE(deadlineForNextHop(deadline, start + milliseconds(1890), milliseconds(55)).has_value());
    }
}

TEST_CASE("Latency quantiles are at most an eighth too high")
{
    Random random(5);
    LatencyWindow window;
    std::vector<Duration> exact;
    CHECK_FALSE(window.quantile(0.95, start).has_value());
    for (unsigned i = 0; i < 5000; ++i) {
        exact.push_back(microseconds(100 + randomBelow(random, 1U << (8 + i % 12))));
        window.add(exact.back(), start);
    }
    std::sort(exact.begin(), exact.end());
    for (const double q : { 0.1, 0.5, 0.95, 0.999 }) {
        const Duration exactQuantile = exact[static_cast<std::size_t>(q * 5000) - 1];
        CHECK(*window.quantile(q, start) >= exactQuantile);
        CHECK(*window.quantile(q, start) <= exactQuantile + exactQuantile / 8 + microseconds(64));
    }
    CHECK_FALSE(window.quantile(0.5, start + seconds(30)).has_value());
}
