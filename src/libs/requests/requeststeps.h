#pragma once

#include "requests/executiontable.h"
#include "requests/retrybudget.h"

#include <optional>
#include <span>
#include <string_view>
#include <variant>

/// Decisions on the handling of one request. RequestSession and the schedule exploration of the tests call the same
/// functions; neither chooses the code that a caller receives by itself.
namespace clementinefall::requests {

/// Role of this entry instance for one request.
enum class RequestRole : std::uint8_t {
    Direct, ///< Idempotent request without identity, received from a caller.
    Home, ///< This incarnation issued the identity. Only this role may report it as not run.
    Forwarder, ///< Another instance, or an earlier incarnation, issued the identity.
    Executor, ///< Runs one attempt for another entry instance (`Clementine-Hop: execute`).
};

/// Where a request with an identity is handled.
enum class IdentityRoute : std::uint8_t {
    Home, ///< Execute here.
    Forward, ///< Send to the instance that the identity names.
    HomeReplaced, ///< The identity names another incarnation of this instance; its home no longer exists.
    WrongHome, ///< Forwarded here as its home, but names another instance; a second forward could loop.
};

/// \a isForwarded is true when the request has `Clementine-Hop: home`.
IdentityRoute routeIdentity(
    const Identity& identity, std::string_view localInstance, std::uint64_t localIncarnation, bool isForwarded);

/// Code to report when this instance rejects a request before dispatch. \a reason is the not-run code of the rejection.
/// A forwarder always reports UnknownNotDecided, because an earlier copy may have run elsewhere. The home must reject
/// through homeBegin(), which records the rejection first.
ResultCode codeOfRejection(RequestRole role, ResultCode reason);

/// How a forward to the home ended.
enum class ForwardEnd : std::uint8_t {
    HomeResponded, ///< Complete response of the home with the echoed identity; its code is passed on.
    HomeUnknown, ///< The home is not in the member list.
    HomeReplaced, ///< The home's address now has another incarnation.
    ConnectRefused,
    NothingWritten,
    LostAfterWrite,
    TimedOut,
    ResponseTruncated,
    ResponseInvalid,
    CallerDisconnected,
};

/// Code that a forwarder reports to its caller. A forwarder makes only one attempt, so that retries do not multiply.
/// \a homeCode is the code in the home's response and is used with HomeResponded only. The result is not run only when
/// the home reports so.
ResultCode codeOfForward(ForwardEnd end, ResultCode homeCode);

/// The caller of homeBegin() must dispatch the request and then call homeFinish() exactly once in every case.
struct RunRequest { };

/// The waiter will be called with the result.
struct AwaitResult {
    std::uint64_t waiterId = 0;
};

/// Respond at once. `result` is empty when there is only a code.
struct ReplyNow {
    ResultCode code = ResultCode::UnknownNotDecided;
    StoredResultPtr result;
};

using HomeStep = std::variant<RunRequest, AwaitResult, ReplyNow>;

/// First step at the home, under the table's mutex. \a rejection is the reason why this instance would not run
/// the request now (no capacity, quarantined, stopping, ...). It applies to a first copy only and is recorded as the
/// final result before it is reported. Copies of requests with a record get the recorded result regardless.
HomeStep homeBegin(ExecutionTable& table, std::uint64_t sequence, const Hash128& requestHash,
    std::optional<ResultCode> rejection, TimePoint now, Waiter waiter = {});

/// Result to store for a request that ended with \a code, which decideRetry() gave. \a response has status, headers
/// and body and is used with Answered only.
StoredResult resultWithCode(ResultCode code, StoredResult response);

/// Last step at the home, under the table's mutex. The returned result applies to every copy; the waiters are called
/// after the mutex is released. The first copy passes on the response that it received, since a response above the size
/// limit is not stored. Without a record, the outcome is unknown.
FinishResult homeFinish(ExecutionTable& table, std::uint64_t sequence, StoredResult result, TimePoint now);

/// Code for a copy that receives a stored result.
ResultCode codeForCopy(const StoredResult& result);

/// Response of a backend server or another entry instance in one exchange.
struct ReceivedResponse {
    std::string_view expectedIdentity; ///< Empty when the request has none.
    std::string_view echoedIdentity; ///< Value of `Clementine-Identity`; empty when missing.
    bool isEchoRequired = false; ///< Entry instances always echo; backend servers may not.
    bool isWellFormed = true;
    bool isComplete = true; ///< Declared length or last chunk was reached.
    bool isShed = false; ///< The backend server reports that it rejected the request before starting it.
};

/// Returns Answered, ShedByServer, ResponseTruncated or ResponseInvalid. A rejection counts only when it is complete
/// and belongs to the request; the rejection of another request would otherwise be reported as a false not run.
AttemptEnd classifyResponse(const ReceivedResponse& response);

/// End of the home's attempt for a complete response of an executor with \a executorCode. RejectedByPeer is returned
/// only for a not-run code.
AttemptEnd classifyExecutorCode(ResultCode executorCode);

} // namespace clementinefall::requests
