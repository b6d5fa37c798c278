#pragma once

#include "bundle/adoption.h"
#include "bundle/bundle.h"
#include "bundle/rolloutrecords.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace clementinefall::bundle {

/// A write that the platform applies only when the object still has the version `ifVersion`.
struct ConditionalWrite {
    std::string key;
    std::uint64_t ifVersion = 0; ///< 0: the object must not exist.
    std::string value;
    std::string operationId;
};

/// Writes of an operator command, in order. The first one determines the result of the command; the later ones only
/// clean up and may fail without changing the result.
struct CommandPlan {
    std::vector<ConditionalWrite> writes;
    bool isAlreadyDone = false; ///< An earlier copy of the command took effect; `writes` may still hold clean-up.
};

/// Issuer and identifier of a command. A repeated command has the same operation id.
struct CommandContext {
    std::string operationId;
    std::string operatorName;
    std::vector<std::string> trustedRoots; ///< For the first bundle, see adoptBundle().
};

/// Objects read by a command on one version. `policy` is `bundles/<accepted version>` and does not exist before
/// the first acceptance.
struct RolloutObjects {
    StoredObject accepted;
    StoredObject rollout;
    StoredObject bundle;
    StoredObject signOffs;
    StoredObject policy;
};

/// Key of the `policy` object, taken from the content of `bundles/accepted`; nullopt before the first acceptance.
/// Error: PlatformBadAnswer.
Result<std::optional<std::string>> policyKey(const StoredObject& accepted);

/// Errors of all plan functions below: AdminConflict when the command of another operator took effect first,
/// AdminNotFound when the version was never submitted, AdminBadState when the version is accepted or withdrawn
/// already, and PlatformBadAnswer.

/// Creates `bundles/<version>`. Versions are assigned without gaps, so \a previous, the object of the version
/// before, must exist; other errors: BundleVersionNotNewer, AdminForbidden when the operator is not the author.
Result<CommandPlan> planSubmit(
    const CommandContext& context, const RolloutObjects& objects, const StoredObject& previous, const Bundle& bundle);

/// Adds a sign-off. Other errors: as checkSignOff(), AdminBadState when the version has the maximum number of
/// sign-offs.
Result<CommandPlan> planSign(const CommandContext& context, const RolloutObjects& objects, const SignOff& signOff);

/// Stages the version in \a zones, replacing the zones of an earlier stage of the same version. Other errors: as
/// checkSignOffs(), BadParameter when \a zones is empty, BundleUnknownReference for a zone that is not in the bundle,
/// AdminBadState while another version is staged.
Result<CommandPlan> planStage(
    const CommandContext& context, const RolloutObjects& objects, const std::vector<std::string>& zones);

/// Withdraws a version that is not accepted, so that it can never be staged or accepted. Not an error for a
/// version that is withdrawn already.
Result<CommandPlan> planWithdraw(const CommandContext& context, const RolloutObjects& objects, std::uint64_t version);

/// Puts a version in force. Other errors: as checkSignOffs(), BundleVersionNotNewer, AdminConflict when the bundle
/// was derived from a version that is no longer in force.
Result<CommandPlan> planAccept(const CommandContext& context, const RolloutObjects& objects);

/// Bundle for a rollback: the content of \a old as a new version derived from \a current. The operators and the
/// required number of signatures are those of \a current, so that a revoked operator does not regain access. The epoch
/// of a cap never decreases, so that a spent total is not renewed.
Bundle rollbackBundle(const Bundle& old, const Bundle& current, std::uint64_t version, const std::string& author);

/// Appends \a entry to the audit trail and assigns its number. A full page is first copied to its own object.
Result<CommandPlan> planAudit(const StoredObject& audit, AuditEntry entry);

/// State of a write whose response was lost, from reading the object back.
enum class WriteResolution : std::uint8_t {
    Applied, ///< The write took effect.
    Repeat, ///< Not visible yet. Repeating the same write is safe: its condition prevents a second effect.
    Superseded, ///< Another write was applied first; this one can never take effect.
};

WriteResolution resolveLostWrite(const ConditionalWrite& write, const StoredObject& readBack);

/// Response of the platform to a conditional write.
enum class WriteResponse : std::uint8_t {
    Applied,
    Conflict,
    Lost, ///< No response: the write may have been applied, may be applied later, or never.
};

/// Progress of one conditional write.
struct WriteProgress {
    ConditionalWrite write;
    bool isInDoubt = false; ///< The response to an earlier copy was lost.
    bool hasConflict = false; ///< The latest response was a conflict.
    unsigned calls = 0; ///< Writes and read-backs made so far; their number is limited.
};

enum class NextWriteStep : std::uint8_t {
    Write, ///< Send the same write again.
    ReadBack, ///< Read the object.
    Done,
    Conflict, ///< The write was not applied and never will be.
    GiveUp, ///< The outcome stays unknown; the command can be repeated later with the same operation id.
};

NextWriteStep afterWrite(WriteProgress& progress, WriteResponse response);
NextWriteStep afterReadBack(WriteProgress& progress, const StoredObject& readBack);

/// Bundles named by the objects of the platform, as candidates for adoption.
struct RolloutView {
    std::optional<Candidate> accepted; ///< Without policy chain.
    std::vector<std::uint64_t>
        policyChain; ///< Versions to read when a candidate's signatures cannot be checked without them.
    std::optional<Candidate> staged;
    std::uint64_t rolloutRevision = 0; ///< For endStaging() when `staged` is empty.
};

/// Reads an object by its key.
using ObjectReader = std::function<StoredObject(const std::string& key)>;

/// Fills the policy chains of the accepted and staged candidates with the bundles above \a acceptedVersion, the
/// accepted version that the process has adopted. Needed only after adoptBundle() rejected a candidate without it.
Status addPolicyChain(RolloutView& view, std::uint64_t acceptedVersion, const ObjectReader& read);

/// Parses `bundles/accepted` and `rollouts/current`, and reads the bundles and sign-offs that they name with \a read.
/// A bundle that is not visible yet is omitted.
Result<RolloutView> readRolloutView(
    const StoredObject& accepted, const StoredObject& rollout, const ObjectReader& read);

/// Reads a bundle and its sign-offs; nullopt when the bundle is not visible yet.
Result<std::optional<SignedBundle>> readSignedBundle(std::uint64_t version, const ObjectReader& read);

} // namespace clementinefall::bundle
