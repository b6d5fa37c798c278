#pragma once

#include "requests/executiontable.h"
#include "requests/retrybudget.h"

#include <optional>
#include <span>
#include <string_view>
#include <variant>

/// The sequence of decisions for one request. The request session and the schedule exploration call the same
/// functions; neither decides on its own which code a caller is told.
namespace clementinefall::requests {

/// What this instance is for one request.
enum class RequestRole : std::uint8_t {
    Direct, ///< Idempotent request without identity, received from a caller.
    Home, ///< This incarnation issued the identity. Only this role may say not run for it.
    Forwarder, ///< Another instance, or an earlier incarnation, issued the identity.
    Executor, ///< Runs one attempt for another entry instance (`Clementine-Hop: execute`).
};

/// Where a request with an identity goes.
enum class IdentityRoute : std::uint8_t {
    Home, ///< Execute here.
    Forward, ///< Send to the instance that the identity names.
    HomeReplaced, ///< The identity names this instance in another incarnation; its home is gone.
    WrongHome, ///< Forwarded as to its home, but it names another instance; a second forward could loop.
};

/// \a isForwarded: the request came with `Clementine-Hop: home`.
IdentityRoute routeIdentity(
    const Identity& identity, std::string_view ownInstance, std::uint64_t ownIncarnation, bool isForwarded);

/// Code to tell when this instance refuses before any dispatch. \a reason is the not-run code of the refusal. At a
/// forwarder, an earlier copy may have run elsewhere, so it tells UnknownNotDecided whatever the reason is. At the home
/// the refusal must go through homeBegin(), which records it first.
ResultCode codeOfRejection(RequestRole role, ResultCode reason);

/// How a forward to the home ended.
enum class ForwardEnd : std::uint8_t {
    HomeResponded, ///< Whole answer of the home with the echoed identity; its code is passed on.
    HomeUnknown, ///< The home is in no member list.
    HomeReplaced, ///< The home's address now has another incarnation.
    ConnectRefused,
    NothingWritten,
    LostAfterWrite,
    TimedOut,
    ResponseTruncated,
    ResponseInvalid,
    CallerDisconnected,
};

/// Code that a forwarder tells its caller. A forwarder makes one attempt only, so that retries do not multiply. \a
/// homeCode is the code in the home's answer and is used with HomeResponded only. Never not run unless the home says
/// so.
ResultCode codeOfForward(ForwardEnd end, ResultCode homeCode);

/// The caller of homeBegin() must dispatch the request and then call homeFinish() exactly once, whatever happens.
struct RunRequest { };

/// The waiter will be called with the result.
struct AwaitResult {
    std::uint64_t waiterId = 0;
};

/// Answer at once. `result` is empty when there is only a code.
struct ReplyNow {
    ResultCode code = ResultCode::UnknownNotDecided;
    StoredResultPtr result;
};

using HomeStep = std::variant<RunRequest, AwaitResult, ReplyNow>;

/// First step at the home, under the table's mutex. \a refusal is the reason why this instance would not run the
/// request now (no capacity, quarantined, stopping, ...). It is applied to a first copy only: the refusal is recorded
/// as the final result before it is told. Copies of known requests get their result also then.
HomeStep homeBegin(ExecutionTable& table, std::uint64_t sequence, const Hash128& requestHash,
    std::optional<ResultCode> refusal, TimePoint now, Waiter waiter = {});

/// Result to store for a request that ended with \a code, which decideRetry() gave. \a answer holds status, headers
/// and body and is used with Answered only.
StoredResult resultWithCode(ResultCode code, StoredResult answer);

/// Last step at the home, under the table's mutex. The returned result is what every copy is told; the waiters are
/// called after the mutex is released. The first copy passes on the answer that it received itself, since an answer
/// above the size limit is not stored. When there is no record, the result is outcome unknown.
FinishResult homeFinish(ExecutionTable& table, std::uint64_t sequence, StoredResult result, TimePoint now);

/// Code for a copy that gets a stored result.
ResultCode codeForCopy(const StoredResult& result);

/// What was received from a backend server or another entry instance for one exchange.
struct ReceivedResponse {
    std::string_view expectedIdentity; ///< Empty when the request has none.
    std::string_view echoedIdentity; ///< Value of `Clementine-Identity`; empty when missing.
    bool isEchoRequired = false; ///< Entry instances always echo; backend servers may not.
    bool isWellFormed = true;
    bool isComplete = true; ///< Declared length or last chunk was reached.
    bool isShed = false; ///< The backend server says that it refused before starting the request.
};

/// Answered, ShedByServer, ResponseTruncated or ResponseInvalid. A refusal counts only when it is whole and belongs to
/// the request; a refusal of another request would otherwise become a false not run.
AttemptEnd classifyResponse(const ReceivedResponse& answer);

/// How the home sees a whole answer of an executor that carries \a executorCode. RejectedByPeer only for a not-run
/// code.
AttemptEnd classifyExecutorCode(ResultCode executorCode);

} // namespace clementinefall::requests
