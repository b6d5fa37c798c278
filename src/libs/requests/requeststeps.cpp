#include "requests/requeststeps.h"

#include <utility>

namespace clementinefall::requests {

IdentityRoute routeIdentity(
    const Identity& identity, std::string_view localInstance, std::uint64_t localIncarnation, bool isForwarded)
{
    if (identity.instance != localInstance)
        return isForwarded ? IdentityRoute::WrongHome : IdentityRoute::Forward;
    return identity.incarnation == localIncarnation ? IdentityRoute::Home : IdentityRoute::HomeReplaced;
}

ResultCode codeOfRejection(RequestRole role, ResultCode reason)
{
    return role == RequestRole::Forwarder ? ResultCode::UnknownNotDecided : reason;
}

ResultCode codeOfForward(ForwardEnd end, ResultCode homeCode)
{
    switch (end) {
    case ForwardEnd::HomeResponded:
        return homeCode;
    case ForwardEnd::HomeUnknown:
    case ForwardEnd::ConnectRefused:
    case ForwardEnd::NothingWritten:
        return ResultCode::UnknownHomeUnreachable;
    case ForwardEnd::HomeReplaced:
        return ResultCode::UnknownHomeReplaced;
    case ForwardEnd::LostAfterWrite:
        return ResultCode::UnknownConnectionLost;
    case ForwardEnd::TimedOut:
        return ResultCode::UnknownTimeout;
    case ForwardEnd::ResponseTruncated:
        return ResultCode::UnknownAnswerCut;
    case ForwardEnd::ResponseInvalid:
        return ResultCode::UnknownAnswerInvalid;
    case ForwardEnd::CallerDisconnected:
        return ResultCode::UnknownCancelled;
    }
    return ResultCode::UnknownNotDecided;
}

HomeStep homeBegin(ExecutionTable& table, std::uint64_t sequence, const Hash128& requestHash,
    std::optional<ResultCode> rejection, TimePoint now, Waiter waiter)
{
    const BeginResult begun = table.begin(sequence, requestHash, now, std::move(waiter));
    if (std::holds_alternative<NewExecution>(begun)) {
        if (!rejection)
            return RunRequest {};
        StoredResult rejected;
        rejected.code = *rejection;
        const FinishResult finished = homeFinish(table, sequence, std::move(rejected), now);
        return ReplyNow { finished.result->code, finished.result };
    }
    if (const auto* wait = std::get_if<PendingExecution>(&begun))
        return AwaitResult { wait->waiterId };
    if (const auto* finished = std::get_if<FinishedExecution>(&begun))
        return ReplyNow { codeForCopy(*finished->result), finished->result };
    if (std::holds_alternative<RequestMismatch>(begun))
        return ReplyNow { ResultCode::IdentityBodyMismatch, {} };
    if (std::holds_alternative<ExpiredIdentity>(begun))
        return ReplyNow { ResultCode::UnknownIdentityExpired, {} };
    if (std::holds_alternative<TableFull>(begun))
        return ReplyNow { ResultCode::NotRunRecordTableFull, {} };
    // A sequence that has not been issued may be issued and run later, so it must not be reported as not run.
    return ReplyNow { ResultCode::UnknownNotDecided, {} };
}

StoredResult resultWithCode(ResultCode code, StoredResult response)
{
    if (code != ResultCode::Answered)
        response = {};
    response.code = code;
    return response;
}

FinishResult homeFinish(ExecutionTable& table, std::uint64_t sequence, StoredResult result, TimePoint now)
{
    FinishResult finished = table.finish(sequence, std::move(result), now);
    if (!finished.result)
        finished.result = std::make_shared<const StoredResult>();
    return finished;
}

ResultCode codeForCopy(const StoredResult& result)
{
    if (result.code != ResultCode::Answered)
        return result.code;
    return result.isBodyKept ? ResultCode::AnsweredFromRecord : ResultCode::AnsweredBodyNotKept;
}

AttemptEnd classifyResponse(const ReceivedResponse& response)
{
    if (!response.isWellFormed)
        return AttemptEnd::ResponseInvalid;
    const bool isEchoMissing = response.echoedIdentity.empty();
    if (isEchoMissing ? response.isEchoRequired : response.echoedIdentity != response.expectedIdentity)
        return AttemptEnd::ResponseInvalid;
    if (!response.isComplete)
        return AttemptEnd::ResponseTruncated;
    return response.isShed ? AttemptEnd::ShedByServer : AttemptEnd::Answered;
}

AttemptEnd classifyExecutorCode(ResultCode executorCode)
{
    switch (outcomeOf(executorCode)) {
    case Outcome::Answered:
        return AttemptEnd::Answered;
    case Outcome::NotRun:
        return AttemptEnd::RejectedByPeer;
    case Outcome::Unknown:
        break;
    }
    if (executorCode == ResultCode::UnknownConnectionLost)
        return AttemptEnd::LostAfterWrite;
    if (executorCode == ResultCode::UnknownAnswerCut)
        return AttemptEnd::ResponseTruncated;
    if (executorCode == ResultCode::UnknownAnswerInvalid)
        return AttemptEnd::ResponseInvalid;
    if (executorCode == ResultCode::UnknownCancelled)
        return AttemptEnd::CancelledSent;
    if (executorCode == ResultCode::UnknownTimeout)
        return AttemptEnd::TimedOut;
    return AttemptEnd::NotDecided;
}

} // namespace clementinefall::requests
