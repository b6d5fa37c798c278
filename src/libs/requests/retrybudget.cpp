#include "requests/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace clementinefall::requests {

namespace {

constexpr milliseconds minimumHedgeDelay { 2 };

} // namespace

RetryBudgetLimits retryBudgetLimits(double ratio, unsigned allowance)
{
    // Keeps a ratio such as 0.1 from becoming one in eleven.
    constexpr double roundingError = 1e-9;
    constexpr double fewestPerExtra = 1e9;
    const double perExtra = ratio > 0 ? std::min(std::ceil(1.0 / ratio - roundingError), fewestPerExtra) : 0;
    return { .firstAttemptsPerExtra = static_cast<unsigned>(perExtra), .allowance = allowance };
}

void RetryBudget::recordFirstAttempt(TimePoint now)
{
    this->advance(now);
    ++this->current().first;
    ++this->firstInWindow;
}

bool RetryBudget::takeExtraAttempt(TimePoint now)
{
    if (this->available(now) == 0)
        return false;
    ++this->current().extra;
    ++this->extraInWindow;
    return true;
}

std::uint64_t RetryBudget::available(TimePoint now)
{
    this->advance(now);
    const Slot& oldest = this->slots[static_cast<std::size_t>(this->newestStep + 1) % slotCount];
    const std::uint64_t first = this->firstInWindow - oldest.first;
    const std::uint64_t earned
        = this->limits.firstAttemptsPerExtra > 0 ? first / this->limits.firstAttemptsPerExtra : 0;
    const std::uint64_t allowed = earned + this->limits.allowance;
    return allowed > this->extraInWindow ? allowed - this->extraInWindow : 0;
}

void RetryBudget::advance(TimePoint now)
{
    const std::int64_t currentStep = now.time_since_epoch() / step;
    if (currentStep - this->newestStep >= static_cast<std::int64_t>(slotCount)) {
        this->slots.fill({});
        this->firstInWindow = 0;
        this->extraInWindow = 0;
        this->newestStep = currentStep;
        return;
    }
    while (this->newestStep < currentStep) {
        ++this->newestStep;
        this->firstInWindow -= this->current().first;
        this->extraInWindow -= this->current().extra;
        this->current() = {};
    }
}

bool isProvenNotRun(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::ShedByServer:
    case AttemptEnd::RejectedByPeer:
    case AttemptEnd::ConnectRefused:
    case AttemptEnd::NothingWritten:
    case AttemptEnd::CancelledUnsent:
        return true;
    case AttemptEnd::Answered:
    case AttemptEnd::RejectedUnproven:
    case AttemptEnd::LostAfterWrite:
    case AttemptEnd::TimedOut:
    case AttemptEnd::ResponseTruncated:
    case AttemptEnd::ResponseInvalid:
    case AttemptEnd::NotDecided:
    case AttemptEnd::CancelledSent:
        return false;
    }
    return false;
}

ResultCode codeOfAttempt(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return ResultCode::Answered;
    case AttemptEnd::ShedByServer:
        return ResultCode::NotRunShedByServer;
    case AttemptEnd::RejectedUnproven:
        return ResultCode::UnknownServerRejected;
    case AttemptEnd::RejectedByPeer:
        return ResultCode::NotRunNoCapacity;
    case AttemptEnd::ConnectRefused:
    case AttemptEnd::NothingWritten:
        return ResultCode::NotRunConnectRefused;
    case AttemptEnd::LostAfterWrite:
        return ResultCode::UnknownConnectionLost;
    case AttemptEnd::TimedOut:
        return ResultCode::UnknownTimeout;
    case AttemptEnd::ResponseTruncated:
        return ResultCode::UnknownAnswerCut;
    case AttemptEnd::ResponseInvalid:
        return ResultCode::UnknownAnswerInvalid;
    case AttemptEnd::NotDecided:
        return ResultCode::UnknownNotDecided;
    case AttemptEnd::CancelledUnsent:
        return ResultCode::NotRunCancelled;
    case AttemptEnd::CancelledSent:
        return ResultCode::UnknownCancelled;
    }
    return ResultCode::UnknownNotDecided;
}

ResultCode codeOfAttempts(std::span<const AttemptEnd> ends, ResultCode withoutAttempt)
{
    if (ends.empty())
        return withoutAttempt;
    if (std::find(ends.begin(), ends.end(), AttemptEnd::Answered) != ends.end())
        return ResultCode::Answered;
    const auto maybeRun = std::find_if_not(ends.begin(), ends.end(), isProvenNotRun);
    return codeOfAttempt(maybeRun != ends.end() ? *maybeRun : ends.back());
}

RetryDecision decideRetry(const RetryState& state, RetryBudget& budget, TimePoint now)
{
    const auto stop = [](ResultCode code) { return RetryDecision { RetryVerdict::Stop, code }; };
    const ResultCode code = codeOfAttempts(state.ended, ResultCode::NotRunNoServer);
    if (state.hasResponseStarted)
        return stop(ResultCode::UnknownAnswerCut);
    if (code == ResultCode::Answered)
        return stop(code);
    if (state.running > 0)
        return { RetryVerdict::WaitForRunning, code };

    const bool isNotRun = outcomeOf(code) == Outcome::NotRun;
    const AttemptEnd last = state.ended.empty() ? AttemptEnd::NothingWritten : state.ended.back();
    if (last == AttemptEnd::CancelledSent || last == AttemptEnd::CancelledUnsent)
        return stop(code);
    if (!isNotRun && !state.isIdempotent)
        return stop(code);
    if (state.ended.size() >= maximumAttempts || !state.hasOtherServer)
        return stop(code);
    if (state.left <= state.expectedLatency)
        return stop(isNotRun ? ResultCode::NotRunDeadline : code);
    if (!budget.takeExtraAttempt(now))
        return stop(isNotRun ? ResultCode::NotRunRetryBudget : code);
    return { RetryVerdict::Retry, code };
}

bool decideHedge(const HedgeState& state, RetryBudget& budget, TimePoint now)
{
    if (!state.isIdempotent || state.attemptsMade != 1 || state.hasResponseStarted || !state.hasOtherServer)
        return false;
    if (state.waited < state.delay || state.left <= state.expectedLatency)
        return false;
    return budget.takeExtraAttempt(now);
}

std::optional<Duration> hedgeDelay(std::optional<Duration> p95)
{
    if (!p95)
        return std::nullopt;
    return std::max<Duration>(*p95, minimumHedgeDelay);
}

TimePoint deadlineOf(TimePoint arrival, std::optional<milliseconds> timeLeft, milliseconds maximum)
{
    const milliseconds allowed = std::clamp(timeLeft.value_or(maximum), milliseconds(0), maximum);
    return arrival + allowed;
}

std::optional<milliseconds> deadlineForNextHop(TimePoint deadline, TimePoint now, Duration oneWayDelay)
{
    const auto left = std::chrono::floor<milliseconds>(deadline - now - 2 * oneWayDelay);
    if (left <= milliseconds(0))
        return std::nullopt;
    return left;
}

} // namespace clementinefall::requests
