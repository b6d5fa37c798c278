#include "bundle/rolloutsteps.h"

#include "bundle/bundlecodec.h"
#include "bundle/signature.h"

#include <algorithm>

namespace clementinefall::bundle {

namespace {

/// Entries per page of the audit trail. 400 entries of at most 2 KB stay under the platform's limit of 1 MB per object.
constexpr std::size_t maximumAuditPageEntries = 400;
constexpr std::size_t maximumAuditTextBytes = 512;
constexpr std::size_t maximumSignOffs = 64; // four times the largest number that a policy can require
constexpr unsigned maximumWriteCalls = 8;

/// Parsed objects of a command on a submitted version.
struct ParsedRecords {
    AcceptedRecord accepted;
    RolloutRecord rollout;
    SignOffRecord signOffs;
    Bundle bundle;
    std::optional<Bundle> policy;
};

/// Stores the value of \a result in \a target, or its error in \a error and returns false.
template <typename Record> bool unwrapInto(const Result<Record>& result, Record& target, std::optional<Error>& error)
{
    if (isOk(result)) {
        target = valueOf(result);
        return true;
    }
    error = errorOf(result);
    return false;
}

Result<Bundle> readStoredBundle(const StoredObject& object)
{
    if (!object.exists())
        return makeError(ResultCode::AdminNotFound, "{} does not exist", object.key);
    return parseBundle(object.value);
}

Result<ParsedRecords> parseRecords(const RolloutObjects& objects)
{
    ParsedRecords records;
    std::optional<Error> error;
    if (!unwrapInto(readAccepted(objects.accepted), records.accepted, error)
        || !unwrapInto(readRollout(objects.rollout), records.rollout, error)
        || !unwrapInto(readSignOffs(objects.signOffs), records.signOffs, error)
        || !unwrapInto(readStoredBundle(objects.bundle), records.bundle, error))
        return *error;
    if (records.accepted.version == 0)
        return records;
    Bundle policy;
    if (!unwrapInto(readStoredBundle(objects.policy), policy, error))
        return *error;
    if (policy.version != records.accepted.version)
        return makeError(
            ResultCode::AdminConflict, "version {} was accepted in the meantime", records.accepted.version);
    records.policy = std::move(policy);
    return records;
}

bool contains(const OperationList& operations, const std::string& operationId)
{
    return std::find(operations.begin(), operations.end(), operationId) != operations.end();
}

CommandPlan alreadyDonePlan() { return { {}, true }; }

/// Fails for a version that is accepted, withdrawn or older than the accepted one.
Status requirePending(const AcceptedRecord& accepted, std::uint64_t version)
{
    if (accepted.isWithdrawn(version))
        return makeError(ResultCode::AdminBadState, "version {} is withdrawn", version);
    if (version <= accepted.version)
        return makeError(
            ResultCode::AdminBadState, "version {} is accepted, {} is not newer", accepted.version, version);
    return okStatus();
}

Status requireSignOffs(const CommandContext& context, const ParsedRecords& records)
{
    if (records.policy)
        return checkSignOffs(*records.policy, records.bundle, records.signOffs.signOffs);
    return checkFirstSignOffs(context.trustedRoots, records.bundle, records.signOffs.signOffs);
}

void trimToNewest(std::vector<std::uint64_t>& versions)
{
    if (versions.size() > maximumRecordedVersions)
        versions.erase(versions.begin(), versions.end() - maximumRecordedVersions);
}

std::string truncated(std::string text)
{
    if (text.size() > maximumAuditTextBytes)
        text.resize(maximumAuditTextBytes);
    return text;
}

} // namespace

Result<std::optional<std::string>> policyKey(const StoredObject& accepted)
{
    const auto record = readAccepted(accepted);
    if (!isOk(record))
        return errorOf(record);
    if (valueOf(record).version == 0)
        return std::optional<std::string>();
    return std::optional(bundleKey(valueOf(record).version));
}

Result<CommandPlan> planSubmit(
    const CommandContext& context, const RolloutObjects& objects, const StoredObject& previous, const Bundle& bundle)
{
    const std::string content = serializeBundle(bundle);
    if (objects.bundle.exists() && objects.bundle.value == content)
        return alreadyDonePlan();
    if (objects.bundle.exists())
        return makeError(ResultCode::AdminConflict, "version {} already exists with other content", bundle.version);
    if (bundle.author != context.operatorName)
        return makeError(ResultCode::AdminForbidden, "the author of the bundle is {}, but operator {} submits it",
            bundle.author, context.operatorName);
    const auto accepted = readAccepted(objects.accepted);
    if (!isOk(accepted))
        return errorOf(accepted);
    if (bundle.version <= valueOf(accepted).version)
        return makeError(ResultCode::BundleVersionNotNewer, "the version is not above accepted version {}",
            valueOf(accepted).version);
    if (bundle.version > 1 && !previous.exists())
        return makeError(ResultCode::AdminBadState,
            "version {} does not exist; versions must be submitted without gaps", bundle.version - 1);
    return CommandPlan { { { bundleKey(bundle.version), 0, content, context.operationId } }, false };
}

Result<CommandPlan> planSign(const CommandContext& context, const RolloutObjects& objects, const SignOff& signOff)
{
    const auto read = parseRecords(objects);
    if (!isOk(read))
        return errorOf(read);
    const ParsedRecords& records = valueOf(read);
    const std::uint64_t version = records.bundle.version;
    const Status pending = requirePending(records.accepted, version);
    if (!isOk(pending))
        return errorOf(pending);
    const Status valid = checkSignOff(records.policy ? *records.policy : records.bundle, records.bundle, signOff);
    if (!isOk(valid))
        return errorOf(valid);

    SignOffRecord next = records.signOffs;
    if (std::find(next.signOffs.begin(), next.signOffs.end(), signOff) != next.signOffs.end())
        return alreadyDonePlan();
    // Sign-offs are never removed: entry instances check those counted by the acceptance later.
    if (next.signOffs.size() >= maximumSignOffs)
        return makeError(
            ResultCode::AdminBadState, "version {} already has the maximum of {} sign-offs", version, maximumSignOffs);
    next.version = version;
    next.digest = bundleDigest(records.bundle);
    next.signOffs.push_back(signOff);
    recordOperation(next.operations, context.operationId);
    return CommandPlan {
        { { signOffsKey(version), objects.signOffs.version, serializeSignOffs(next), context.operationId } }, false
    };
}

Result<CommandPlan> planStage(
    const CommandContext& context, const RolloutObjects& objects, const std::vector<std::string>& zones)
{
    const auto read = parseRecords(objects);
    if (!isOk(read))
        return errorOf(read);
    const ParsedRecords& records = valueOf(read);
    if (contains(records.rollout.operations, context.operationId))
        return alreadyDonePlan();
    const std::uint64_t version = records.bundle.version;
    const Status pending = requirePending(records.accepted, version);
    if (!isOk(pending))
        return errorOf(pending);
    const std::uint64_t staged = records.rollout.version;
    if (staged > records.accepted.version && staged != version && !records.accepted.isWithdrawn(staged))
        return makeError(ResultCode::AdminBadState, "version {} is staged; withdraw or accept it first", staged);
    if (zones.empty())
        return makeError(ResultCode::BadParameter, "no zones are given in which to stage the version");
    for (const std::string& name : zones) {
        const auto& bundleZones = records.bundle.zones;
        if (std::none_of(
                bundleZones.begin(), bundleZones.end(), [&name](const Zone& zone) { return zone.name == name; }))
            return makeError(ResultCode::BundleUnknownReference, "zone {} is not in version {}", name, version);
    }
    const Status trusted = requireSignOffs(context, records);
    if (!isOk(trusted))
        return errorOf(trusted);

    RolloutRecord next { version, bundleDigest(records.bundle), context.operatorName, zones,
        records.rollout.operations };
    recordOperation(next.operations, context.operationId);
    return CommandPlan {
        { { std::string(rolloutKey), objects.rollout.version, serializeRollout(next), context.operationId } }, false
    };
}

Result<CommandPlan> planWithdraw(const CommandContext& context, const RolloutObjects& objects, std::uint64_t version)
{
    if (!objects.bundle.exists())
        return makeError(ResultCode::AdminNotFound, "version {} does not exist", version);
    const auto accepted = readAccepted(objects.accepted);
    if (!isOk(accepted))
        return errorOf(accepted);
    const auto rollout = readRollout(objects.rollout);
    if (!isOk(rollout))
        return errorOf(rollout);
    AcceptedRecord next = valueOf(accepted);
    if (version <= next.version)
        return makeError(ResultCode::AdminBadState, "version {} is not above accepted version {}; use a rollback",
            version, next.version);

    CommandPlan plan;
    plan.isAlreadyDone = next.isWithdrawn(version);
    if (!plan.isAlreadyDone) {
        next.withdrawn.push_back(version);
        std::sort(next.withdrawn.begin(), next.withdrawn.end());
        recordOperation(next.operations, context.operationId);
        plan.writes.push_back(
            { std::string(acceptedKey), objects.accepted.version, serializeAccepted(next), context.operationId });
    }
    if (valueOf(rollout).version == version) {
        RolloutRecord cleared { 0, "", context.operatorName, {}, valueOf(rollout).operations };
        recordOperation(cleared.operations, context.operationId);
        plan.writes.push_back(
            { std::string(rolloutKey), objects.rollout.version, serializeRollout(cleared), context.operationId });
    }
    return plan;
}

Result<CommandPlan> planAccept(const CommandContext& context, const RolloutObjects& objects)
{
    const auto read = parseRecords(objects);
    if (!isOk(read))
        return errorOf(read);
    const ParsedRecords& records = valueOf(read);
    if (contains(records.accepted.operations, context.operationId))
        return alreadyDonePlan();
    const Bundle& bundle = records.bundle;
    if (bundle.version == records.accepted.version)
        return makeError(ResultCode::AdminConflict, "operator {} has already accepted version {}",
            records.accepted.operatorName, bundle.version);
    if (bundle.version < records.accepted.version)
        return makeError(ResultCode::BundleVersionNotNewer, "the version is not above accepted version {}",
            records.accepted.version);
    const Status pending = requirePending(records.accepted, bundle.version);
    if (!isOk(pending))
        return errorOf(pending);
    if (bundle.baseVersion != 0 && bundle.baseVersion != records.accepted.version)
        return makeError(ResultCode::AdminConflict, "version {} is derived from version {}, but version {} is in force",
            bundle.version, bundle.baseVersion, records.accepted.version);
    const Status trusted = requireSignOffs(context, records);
    if (!isOk(trusted))
        return errorOf(trusted);

    AcceptedRecord next = records.accepted;
    next.version = bundle.version;
    next.digest = bundleDigest(bundle);
    next.operatorName = context.operatorName;
    next.recent.push_back(bundle.version);
    trimToNewest(next.recent);
    if (!records.policy || !hasSamePolicy(*records.policy, bundle))
        next.policyChain.push_back(bundle.version);
    trimToNewest(next.policyChain);
    std::erase_if(next.withdrawn, [&bundle](std::uint64_t version) { return version <= bundle.version; });
    recordOperation(next.operations, context.operationId);
    return CommandPlan {
        { { std::string(acceptedKey), objects.accepted.version, serializeAccepted(next), context.operationId } }, false
    };
}

Bundle rollbackBundle(const Bundle& old, const Bundle& current, std::uint64_t version, const std::string& author)
{
    Bundle result = old;
    result.version = version;
    result.baseVersion = current.version;
    result.author = author;
    result.comment = fmt::format("Rollback to version {}", old.version);
    result.operators = current.operators;
    result.requiredSignatures = current.requiredSignatures;
    for (ShiftCap& cap : result.shiftCaps) {
        for (const ShiftCap& other : current.shiftCaps) {
            if (other.service == cap.service && other.from == cap.from && other.to == cap.to)
                cap.epoch = std::max(cap.epoch, other.epoch);
        }
    }
    return result;
}

Result<CommandPlan> planAudit(const StoredObject& audit, AuditEntry entry)
{
    const auto read = readAudit(audit);
    if (!isOk(read))
        return errorOf(read);
    AuditRecord record = valueOf(read);
    // A command has two audit entries, so the identifier includes the number of the entry.
    const std::string entryId = fmt::format("{}/{}", entry.operationId, entry.outcome == "requested" ? 1 : 2);
    if (contains(record.operations, entryId))
        return alreadyDonePlan();
    CommandPlan plan;
    if (record.entries.size() >= maximumAuditPageEntries) {
        // Concurrent copies of the same page are identical, so a conflict of the second write is harmless.
        plan.writes.push_back({ auditPageKey(record.firstNumber), 0, serializeAudit(record), entryId });
        AuditRecord next { record.firstNumber + record.entries.size(), record.firstNumber, {}, record.operations };
        record = std::move(next);
    }
    entry.number = record.firstNumber + record.entries.size();
    entry.detail = truncated(std::move(entry.detail));
    entry.outcome = truncated(std::move(entry.outcome));
    record.entries.push_back(std::move(entry));
    recordOperation(record.operations, entryId);
    plan.writes.push_back({ std::string(auditKey), audit.version, serializeAudit(record), entryId });
    return plan;
}

WriteResolution resolveLostWrite(const ConditionalWrite& write, const StoredObject& readBack)
{
    if (readBack.version <= write.ifVersion)
        return WriteResolution::Repeat;
    if (readBack.value == write.value || contains(operationsOf(readBack.value), write.operationId))
        return WriteResolution::Applied;
    return WriteResolution::Superseded;
}

NextWriteStep afterWrite(WriteProgress& progress, WriteResponse response)
{
    ++progress.calls;
    if (response == WriteResponse::Applied)
        return NextWriteStep::Done;
    progress.isInDoubt = progress.isInDoubt || response == WriteResponse::Lost;
    progress.hasConflict = response == WriteResponse::Conflict;
    if (!progress.isInDoubt)
        return NextWriteStep::Conflict;
    return progress.calls < maximumWriteCalls ? NextWriteStep::ReadBack : NextWriteStep::GiveUp;
}

NextWriteStep afterReadBack(WriteProgress& progress, const StoredObject& readBack)
{
    ++progress.calls;
    const WriteResolution resolution = resolveLostWrite(progress.write, readBack);
    if (resolution == WriteResolution::Applied)
        return NextWriteStep::Done;
    if (resolution == WriteResolution::Superseded)
        return NextWriteStep::Conflict;
    if (progress.calls >= maximumWriteCalls)
        return NextWriteStep::GiveUp;
    // The latest response was a conflict, so the object has changed and this read was stale.
    return progress.hasConflict ? NextWriteStep::ReadBack : NextWriteStep::Write;
}

Result<std::optional<SignedBundle>> readSignedBundle(std::uint64_t version, const ObjectReader& read)
{
    const StoredObject object = read(bundleKey(version));
    if (!object.exists())
        return std::optional<SignedBundle>();
    const auto bundle = parseBundle(object.value);
    if (!isOk(bundle))
        return errorOf(bundle);
    const auto signOffs = readSignOffs(read(signOffsKey(version)));
    if (!isOk(signOffs))
        return errorOf(signOffs);
    return std::optional(SignedBundle { std::make_shared<const Bundle>(valueOf(bundle)), valueOf(signOffs).signOffs });
}

Status addPolicyChain(RolloutView& view, std::uint64_t acceptedVersion, const ObjectReader& read)
{
    std::vector<SignedBundle> chain;
    for (const std::uint64_t version : view.policyChain) {
        if (version <= acceptedVersion)
            continue;
        const auto entry = readSignedBundle(version, read);
        if (!isOk(entry))
            return errorOf(entry);
        if (valueOf(entry))
            chain.push_back(*valueOf(entry));
    }
    const auto fill = [&chain](std::optional<Candidate>& candidate) {
        if (!candidate)
            return;
        for (const SignedBundle& entry : chain) {
            if (entry.bundle->version < candidate->content.bundle->version)
                candidate->policyChain.push_back(entry);
        }
    };
    fill(view.accepted);
    fill(view.staged);
    return okStatus();
}

Result<RolloutView> readRolloutView(const StoredObject& accepted, const StoredObject& rollout, const ObjectReader& read)
{
    const auto acceptedRecord = readAccepted(accepted);
    if (!isOk(acceptedRecord))
        return errorOf(acceptedRecord);
    const auto rolloutRecord = readRollout(rollout);
    if (!isOk(rolloutRecord))
        return errorOf(rolloutRecord);
    const AcceptedRecord& inForce = valueOf(acceptedRecord);
    const RolloutRecord& staged = valueOf(rolloutRecord);

    RolloutView view;
    view.policyChain = inForce.policyChain;
    view.rolloutRevision = rollout.version;
    if (inForce.version != 0) {
        const auto content = readSignedBundle(inForce.version, read);
        if (!isOk(content))
            return errorOf(content);
        if (valueOf(content))
            view.accepted = Candidate { CandidateKind::Accepted, *valueOf(content), inForce.digest, {}, 0, {} };
    }
    if (staged.version > inForce.version && !inForce.isWithdrawn(staged.version)) {
        const auto content = readSignedBundle(staged.version, read);
        if (!isOk(content))
            return errorOf(content);
        if (valueOf(content))
            view.staged = Candidate { CandidateKind::Staged, *valueOf(content), staged.digest, staged.zones,
                rollout.version, {} };
    }
    return view;
}

} // namespace clementinefall::bundle
