#pragma once

#include "bundle/adoption.h"
#include "bundle/bundle.h"
#include "bundle/rolloutrecords.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace clementinefall::bundle {

/// A write that the platform carries out only when the object still has the version that was read.
struct ConditionalWrite {
    std::string key;
    std::uint64_t ifVersion = 0; ///< 0: the object must not exist.
    std::string value;
    std::string operationId;
};

/// What an operator command changes. The writes are made in order; the first one decides, the later ones only tidy
/// up and may fail without changing the result.
struct CommandPlan {
    std::vector<ConditionalWrite> writes;
    bool isAlreadyDone = false; ///< An earlier copy of the command took effect; `writes` may still tidy up.
};

/// Who issues a command. The operation id is the same in every copy of the command.
struct CommandContext {
    std::string operationId;
    std::string operatorName;
    std::vector<std::string> trustedRoots; ///< For the first bundle, see adoptBundle().
};

/// Objects that a command on one version reads. `policy` is `bundles/<accepted version>` and does not exist before
/// the first acceptance.
struct RolloutObjects {
    StoredObject accepted;
    StoredObject rollout;
    StoredObject bundle;
    StoredObject signOffs;
    StoredObject policy;
};

/// Key of the `policy` object, which depends on the content of `bundles/accepted`; nothing before the first
/// acceptance. Error: PlatformBadAnswer.
Result<std::optional<std::string>> policyKey(const StoredObject& accepted);

/// All functions below fail with AdminConflict when another operator was first, AdminNotFound when the version was
/// never submitted, AdminBadState when the version is accepted or withdrawn already, and PlatformBadAnswer.

/// Creates `bundles/<version>`. Versions are assigned without gaps, so \a previous, the object of the version
/// before, must exist; other errors: BundleVersionNotNewer, AdminForbidden when the operator is not the author.
Result<CommandPlan> planSubmit(
    const CommandContext& context, const RolloutObjects& objects, const StoredObject& previous, const Bundle& bundle);

/// Adds a sign-off. Other errors: as checkSignOff().
Result<CommandPlan> planSign(const CommandContext& context, const RolloutObjects& objects, const SignOff& signOff);

/// Lets \a zones act on the version on trial; replaces the list of an earlier stage of the same version. Other
/// errors: as checkSignOffs(), BundleUnknownReference for a zone that the bundle lacks, AdminBadState while another
/// version is staged.
Result<CommandPlan> planStage(
    const CommandContext& context, const RolloutObjects& objects, const std::vector<std::string>& zones);

/// Withdraws a version that is not accepted; it can then never be staged or accepted.
Result<CommandPlan> planWithdraw(const CommandContext& context, const RolloutObjects& objects, std::uint64_t version);

/// Puts a version in force. Other errors: as checkSignOffs(), BundleVersionNotNewer, AdminConflict when the bundle
/// was derived from a version that is no longer in force.
Result<CommandPlan> planAccept(const CommandContext& context, const RolloutObjects& objects);

/// Content for a rollback: \a old as a new version derived from \a current. The operators and the required number of
/// signatures stay those of \a current, so that a revoked operator does not return, and the epoch of a cap never
/// falls, so that a total that was spent is not renewed.
Bundle rollbackBundle(const Bundle& old, const Bundle& current, std::uint64_t version, const std::string& author);

/// Appends \a entry to the audit trail and gives it its number. A full page is first copied to its own object.
Result<CommandPlan> planAudit(const StoredObject& audit, AuditEntry entry);

/// What a read-back after a lost answer shows.
enum class WriteResolution : std::uint8_t {
    Applied, ///< The write took effect.
    Repeat, ///< Not visible yet: repeat the same write; its condition keeps it from taking effect twice.
    Superseded, ///< Another write came first; this one can never take effect.
};

WriteResolution resolveLostWrite(const ConditionalWrite& write, const StoredObject& readBack);

/// Answer of the platform to a conditional write.
enum class WriteAnswer : std::uint8_t {
    Applied,
    Conflict,
    Lost, ///< No answer: the write took effect, will take effect later, or never.
};

/// One write with what is known of it. `calls` limits the calls spent on it.
struct WriteProgress {
    ConditionalWrite write;
    bool isInDoubt = false; ///< An earlier copy was lost.
    bool hasConflict = false; ///< The newest answer was a conflict.
    unsigned calls = 0;
};

enum class NextWriteStep : std::uint8_t {
    Write, ///< Send the same write again.
    ReadBack, ///< Read the object.
    Done,
    Conflict, ///< The write has not taken effect and never will.
    GiveUp, ///< The outcome stays unknown; the same command with the same operation id can be repeated later.
};

NextWriteStep afterWrite(WriteProgress& progress, WriteAnswer answer);
NextWriteStep afterReadBack(WriteProgress& progress, const StoredObject& readBack);

/// What the objects of the platform ask an instance to act on.
struct RolloutView {
    std::optional<Candidate> accepted; ///< Without policy trail.
    std::vector<std::uint64_t> policyTrail; ///< Versions to fetch into the candidate when its signatures need them.
    std::optional<Candidate> staged;
    std::uint64_t rolloutRevision = 0; ///< For endStaging() when `staged` is empty.
};

/// Reads an object by its key.
using ObjectReader = std::function<StoredObject(const std::string& key)>;

/// Fills the policy trail of the accepted and staged candidates with the bundles above \a heldVersion, the accepted
/// version held so far. Needed only when adoptBundle() has refused a candidate without it.
Status addPolicyTrail(RolloutView& view, std::uint64_t heldVersion, const ObjectReader& read);

/// Interprets `bundles/accepted` and `rollouts/current`, and reads the bundles and sign-offs that they name with
/// \a read. A bundle that is not visible yet is left out.
Result<RolloutView> viewRollout(const StoredObject& accepted, const StoredObject& rollout, const ObjectReader& read);

/// Bundle with its sign-offs; nothing when the bundle is not visible.
Result<std::optional<SignedBundle>> readSignedBundle(std::uint64_t version, const ObjectReader& read);

} // namespace clementinefall::bundle
