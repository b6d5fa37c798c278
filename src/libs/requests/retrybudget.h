#pragma once

#include "base/clock.h"
#include "base/resultcode.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace clementinefall::requests {

struct RetryBudgetLimits {
    unsigned firstAttemptsPerExtra = 10; ///< First attempts that allow one extra attempt; 0 allows none for them.
    unsigned allowance = 0; ///< Additional extra attempts per window, independent of first attempts.
};

/// Limits for \a ratio extra attempts per first attempt, rounded down, and \a allowance.
RetryBudgetLimits retryBudgetLimits(double ratio, unsigned allowance);

/// Limits extra attempts (retries and hedges) to a fraction, usually a tenth, of the first attempts in the 10 s before
/// each extra attempt. Counts are kept per step of 100 ms. A step that lies only partly in the window counts for extra
/// attempts but not for first ones, so that rounding never grants too many.
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

    /// Takes one extra attempt from the budget. Returns false when none is available.
    bool takeExtraAttempt(TimePoint now);

    /// Number of extra attempts that takeExtraAttempt() would grant now.
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

/// How one attempt ended for the entry instance that made it.
enum class AttemptEnd : std::uint8_t {
    Answered, ///< Complete response that belongs to the request.
    ShedByServer, ///< The backend server rejected the request before starting it.
    RejectedUnproven, ///< The backend server rejected the request without stating that it has not run.
    RejectedByPeer, ///< The remote entry instance rejected the request and reported it as not run.
    ConnectRefused,
    NothingWritten, ///< Connecting timed out, or the connection closed before the first byte was written.
    LostAfterWrite, ///< The connection broke after at least one byte was written.
    TimedOut, ///< No response in time after at least one byte was written.
    ResponseTruncated, ///< The response ended prematurely.
    ResponseInvalid, ///< The response could not be parsed or belongs to another request.
    NotDecided, ///< The remote entry instance could not determine whether the request ran.
    CancelledUnsent, ///< The caller disconnected before anything was written.
    CancelledSent, ///< The caller disconnected after at least one byte was written.
};

/// True when the attempt cannot have had an effect and cannot have one later.
bool isProvenNotRun(AttemptEnd end);

/// Code for a request whose only attempt ended with \a end.
ResultCode codeOfAttempt(AttemptEnd end);

/// Code for a request after all its attempts have ended: answered if an attempt was answered, otherwise unknown if an
/// attempt may have run, otherwise the code of the last attempt, or \a withoutAttempt when there was none.
ResultCode codeOfAttempts(std::span<const AttemptEnd> ends, ResultCode withoutAttempt);

/// Input of decideRetry(): state of a request when one of its attempts has ended without a response.
struct RetryState {
    bool isIdempotent = false;
    std::span<const AttemptEnd> ended; ///< Ends of all attempts that have ended, in order.
    unsigned running = 0; ///< Number of attempts still in flight (hedges).
    bool hasResponseStarted = false; ///< Part of a response was passed to the caller.
    bool hasOtherServer = true; ///< An untried server can take the request.
    Duration left {}; ///< Time until the deadline.
    Duration expectedLatency {}; ///< Typical latency; a retry with less time left would only add load.
};

enum class RetryVerdict : std::uint8_t {
    Retry, ///< One extra attempt was taken from the budget.
    WaitForRunning, ///< Another attempt is still in flight.
    Stop, ///< Report the code of the decision.
};

struct RetryDecision {
    RetryVerdict verdict = RetryVerdict::Stop;
    ResultCode code = ResultCode::UnknownNotDecided; ///< Used with Stop.
};

/// Maximum number of attempts for one request, including the first one.
constexpr std::size_t maximumAttempts = 3;

/// Decides whether to retry after an attempt has ended. Takes from the budget only when nothing else prevents a retry.
RetryDecision decideRetry(const RetryState& state, RetryBudget& budget, TimePoint now);

/// Input of decideHedge(): state of a request that waits for its first response.
struct HedgeState {
    bool isIdempotent = false;
    std::size_t attemptsMade = 1;
    bool hasResponseStarted = false;
    bool hasOtherServer = true;
    Duration waited {}; ///< Time since the only attempt was sent.
    Duration delay {}; ///< From hedgeDelay().
    Duration left {}; ///< Time until the deadline.
    Duration expectedLatency {}; ///< Typical latency; a hedge with less time left would only add load.
};

/// True when a hedge may be sent now: the request is idempotent and its only attempt has not been answered for `delay`.
/// Takes the hedge from the budget.
bool decideHedge(const HedgeState& state, RetryBudget& budget, TimePoint now);

/// Time after which a hedge is sent: the 95th percentile \a p95 of the service's latency, so that about one request in
/// twenty is hedged, and at least 2 ms. Empty while the latency is unknown.
std::optional<Duration> hedgeDelay(std::optional<Duration> p95);

/// Deadline by the local clock for a request that arrived at \a arrival with \a timeLeft, which is bounded by the
/// service's \a maximum. Without \a timeLeft, \a maximum applies.
TimePoint deadlineOf(TimePoint arrival, std::optional<milliseconds> timeLeft, milliseconds maximum);

/// Value of `Clementine-Deadline-Ms` for the next hop: the time left minus the round trip, so that the next hop times
/// out while its response can still arrive in time. Empty when no time is left.
std::optional<milliseconds> deadlineForNextHop(TimePoint deadline, TimePoint now, Duration oneWayDelay);

} // namespace clementinefall::requests
