#include "admin/commandrunner.h"

#include "base/log.h"

namespace clementinefall::admin {

using bundle::AuditEntry;
using bundle::CommandPlan;
using bundle::ConditionalWrite;
using bundle::NextWriteStep;
using bundle::RolloutObjects;
using bundle::StoredObject;
using bundle::WriteProgress;
using bundle::WriteResponse;

namespace {

/// Bounds how many operators can append to the audit trail at the same time: one of them succeeds per attempt.
constexpr unsigned maximumAuditAttempts = 6;

Awaitable<NextWriteStep> runWrite(std::shared_ptr<AdminStore> store, ConditionalWrite write)
{
    // Every conflict is read back, as the connection may have sent the write twice.
    WriteProgress progress { write, true, false, 0 };
    NextWriteStep step = NextWriteStep::Write;
    while (step == NextWriteStep::Write || step == NextWriteStep::ReadBack) {
        if (step == NextWriteStep::Write) {
            const Status status = co_await store->write(write);
            WriteResponse answer = WriteResponse::Applied;
            if (!isOk(status))
                answer = errorOf(status).code == ResultCode::PlatformConflict ? WriteResponse::Conflict
                                                                              : WriteResponse::Lost;
            step = bundle::afterWrite(progress, answer);
            continue;
        }
        const auto object = co_await store->read(write.key);
        // A failed read is treated like one that shows no change.
        step = bundle::afterReadBack(progress, isOk(object) ? valueOf(object) : StoredObject {});
    }
    co_return step;
}

Awaitable<Status> appendAudit(std::shared_ptr<AdminStore> store, AuditEntry entry)
{
    const std::string key(bundle::auditKey);
    for (unsigned attempt = 0; attempt < maximumAuditAttempts; ++attempt) {
        const auto object = co_await store->read(key);
        if (!isOk(object))
            co_return errorOf(object);
        const auto plan = bundle::planAudit(valueOf(object), entry);
        if (!isOk(plan))
            co_return errorOf(plan);
        NextWriteStep step = NextWriteStep::Done;
        for (const ConditionalWrite& write : valueOf(plan).writes)
            step = co_await runWrite(store, write);
        if (step == NextWriteStep::Done)
            co_return okStatus();
        if (step == NextWriteStep::GiveUp)
            co_return makeError(ResultCode::PlatformTimeout, "whether the audit trail was written is unknown");
    }
    co_return makeError(
        ResultCode::AdminConflict, "the audit trail was changed concurrently in every attempt to append to it");
}

Awaitable<Status> runWrites(std::shared_ptr<AdminStore> store, CommandPlan plan)
{
    // The first write decides the outcome of the command; a later one that fails is only logged.
    bool isOutcomeDecided = plan.isAlreadyDone;
    for (const ConditionalWrite& write : plan.writes) {
        const NextWriteStep step = co_await runWrite(store, write);
        if (!isOutcomeDecided && step == NextWriteStep::Conflict)
            co_return makeError(ResultCode::AdminConflict, "{} was changed by another operator", write.key);
        if (!isOutcomeDecided && step == NextWriteStep::GiveUp)
            co_return makeError(ResultCode::PlatformTimeout,
                "whether {} was written is unknown; repeat the command with operation id {}", write.key,
                write.operationId);
        if (step != NextWriteStep::Done)
            logWarning("admin_tidy_write_failed", { { "key", write.key }, { "operation", write.operationId } });
        isOutcomeDecided = true;
    }
    co_return okStatus();
}

} // namespace

Awaitable<Result<RolloutObjects>> readRolloutObjects(std::shared_ptr<AdminStore> store, std::uint64_t version)
{
    RolloutObjects objects;
    const std::vector<std::pair<std::string, StoredObject*>> requestedObjects {
        { std::string(bundle::acceptedKey), &objects.accepted }, { std::string(bundle::rolloutKey), &objects.rollout },
        { bundle::bundleKey(version), &objects.bundle }, { bundle::signOffsKey(version), &objects.signOffs }
    };
    for (const auto& [key, target] : requestedObjects) {
        const auto object = co_await store->read(key);
        if (!isOk(object))
            co_return errorOf(object);
        *target = valueOf(object);
    }
    const auto policy = bundle::policyKey(objects.accepted);
    if (!isOk(policy))
        co_return errorOf(policy);
    if (!valueOf(policy))
        co_return objects;
    const std::string key = *valueOf(policy);
    const auto object = co_await store->read(key);
    if (!isOk(object))
        co_return errorOf(object);
    objects.policy = valueOf(object);
    co_return objects;
}

Awaitable<Status> runPlan(std::shared_ptr<AdminStore> store, CommandPlan plan, AuditEntry entry)
{
    if (plan.writes.empty())
        co_return okStatus();
    entry.outcome = "requested";
    const Status requested = co_await appendAudit(store, entry);
    if (!isOk(requested))
        co_return requested;
    const Status result = co_await runWrites(store, plan);
    entry.outcome = isOk(result) ? "done" : errorOf(result).text();
    const Status recorded = co_await appendAudit(store, entry);
    // The operation id in the written object still identifies the command.
    if (!isOk(recorded))
        logWarning("audit_outcome_not_recorded", { { "operation", entry.operationId }, { "outcome", entry.outcome } });
    co_return result;
}

} // namespace clementinefall::admin
