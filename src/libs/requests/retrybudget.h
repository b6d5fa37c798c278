#pragma once

#include "base/clock.h"
#include "base/resultcode.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace clementinefall::requests {

struct RetryBudgetLimits {
    unsigned firstAttemptsPerExtra = 10; ///< 0 grants nothing for first attempts.
    unsigned allowance = 0; ///< Extra attempts in a window beyond those.
};

/// Limits extra attempts (retries and hedges) to a part, usually a tenth, of the first attempts in the 10 s before each
/// extra attempt.
/// Counts are kept per 100 ms. A 100 ms step that lies only partly in the window counts for extra attempts but not
/// for first ones, so rounding never grants too much.
class RetryBudget {
public:
    static constexpr seconds window { 10 };
    static constexpr milliseconds step { 100 };

    explicit RetryBudget(RetryBudgetLimits budgetLimits = {})
        : limits(budgetLimits)
    {
    }

    void setAllowance(unsigned allowance) { this->limits.allowance = allowance; }

    void recordFirstAttempt(TimePoint now);

    /// Spends one extra attempt when the budget allows it.
    bool takeExtraAttempt(TimePoint now);

    /// Extra attempts that takeExtraAttempt() would grant now.
    std::uint64_t available(TimePoint now);

private:
    static constexpr std::size_t slotCount = window / step + 1;

    struct Slot {
        std::uint32_t first = 0;
        std::uint32_t extra = 0;
    };

    void advance(TimePoint now);
    Slot& current() { return this->slots[static_cast<std::size_t>(this->newestStep) % slotCount]; }

    RetryBudgetLimits limits;
    std::array<Slot, slotCount> slots {};
    std::int64_t newestStep = 0;
    std::uint64_t firstInWindow = 0; ///< Includes the oldest slot.
    std::uint64_t extraInWindow = 0; ///< Includes the oldest slot.
};

/// How one attempt ended, seen from the instance that made it.
enum class AttemptEnd : std::uint8_t {
    Answered, ///< Whole answer that belongs to the request.
    ShedByServer, ///< The backend server refused before starting the request.
    RejectedByPeer, ///< The remote entry instance refused to execute the request as not run.
    ConnectRefused,
    NothingWritten, ///< Connect timed out, or the connection closed before the first byte was handed to it.
    LostAfterWrite, ///< The connection broke after at least one byte was written.
    TimedOut, ///< No answer in time after at least one byte was written.
    ResponseTruncated, ///< The answer broke off before its end.
    ResponseInvalid, ///< The answer could not be parsed or belongs to another request.
    NotDecided, ///< The remote entry instance could not say whether the request ran.
    CancelledUnsent, ///< The caller left before anything was written.
    CancelledSent, ///< The caller left after at least one byte was written.
};

/// True when the attempt cannot have had an effect and never will.
bool isProvenNotRun(AttemptEnd end);

/// Code for a request whose only attempt ended like this.
ResultCode codeOfAttempt(AttemptEnd end);

/// Code for a request after all its attempts have ended: answered if one was, unknown if one may have run, and
/// otherwise the code of the last attempt, or \a withoutAttempt when there was none.
ResultCode codeOfAttempts(std::span<const AttemptEnd> ends, ResultCode withoutAttempt);

/// What is known of a request when one of its attempts has ended without an answer.
struct RetryState {
    bool isIdempotent = false;
    std::span<const AttemptEnd> ended;
    unsigned running = 0; ///< Attempts still in flight (hedges).
    bool hasResponseStarted = false; ///< Part of an answer was passed to the caller.
    bool hasOtherServer = true; ///< A server that was not tried yet can take the request.
    Duration left {}; ///< Time until the deadline.
    Duration expectedLatency {}; ///< Typical latency of the service; a retry with less time left would only add load.
};

enum class RetryVerdict : std::uint8_t {
    Retry, ///< One extra attempt was taken from the budget.
    WaitForRunning,
    Stop, ///< Report `code`.
};

struct RetryDecision {
    RetryVerdict verdict = RetryVerdict::Stop;
    ResultCode code = ResultCode::UnknownNotDecided; ///< Meaningful with Stop.
};

/// Most attempts for one request, the first one included.
constexpr std::size_t maximumAttempts = 3;

/// Decides after an attempt has ended. Spends the budget only when all else allows a retry.
RetryDecision decideRetry(const RetryState& state, RetryBudget& budget, TimePoint now);

/// What is known of a request that waits for its first answer.
struct HedgeState {
    bool isIdempotent = false;
    std::size_t attemptsMade = 1;
    bool hasResponseStarted = false;
    bool hasOtherServer = true;
    Duration waited {};
    Duration delay {};
    Duration left {};
    Duration expectedLatency {};
};

/// True when a hedge may be sent now: an idempotent request whose only attempt has been silent for `delay`. Spends the
/// budget.
bool decideHedge(const HedgeState& state, RetryBudget& budget, TimePoint now);

/// Time after which a hedge is sent: the 95th percentile of the service's latency, so about one request in twenty
/// asks for one; at least 2 ms, and none when the latency is not known yet.
std::optional<Duration> hedgeDelay(std::optional<Duration> p95);

/// Deadline by this instance's clock for a request that arrived at \a arrival with \a left time, bounded by the
/// service's longest deadline.
TimePoint deadlineOf(TimePoint arrival, std::optional<milliseconds> left, milliseconds longest);

/// Value of `Clementine-Deadline-Ms` for the next hop: the time left minus the delay there and back, so that the
/// next hop gives up while its answer can still arrive in time. Empty when nothing is left.
std::optional<milliseconds> deadlineForNextHop(TimePoint deadline, TimePoint now, Duration oneWayDelay);

} // namespace clementinefall::requests
