#pragma once

#include "base/result.h"
#include "bundle/bundle.h"
#include "bundle/signoffs.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementinefall::bundle {

/// A bundle with the signatures that were collected for it.
struct SignedBundle {
    std::shared_ptr<const Bundle> bundle;
    std::vector<SignOff> signOffs;
};

enum class CandidateKind : std::uint8_t {
    Accepted, ///< The source saw the version in `bundles/accepted`.
    Staged, ///< The source saw the version in `rollouts/current`.
};

/// A bundle that the platform or a peer offers. The source does not matter.
struct Candidate {
    CandidateKind kind = CandidateKind::Accepted;
    SignedBundle content;
    std::string digest; ///< As recorded with the acceptance or the rollout.
    std::vector<std::string> zones; ///< Zones of a staged bundle; unused for an accepted one.
    std::uint64_t rolloutRevision = 0; ///< Object version of `rollouts/current` that stages it.

    /// Accepted bundles between the one in force here and this one that changed the operators or the required
    /// number of signatures, in ascending order. An instance that missed them needs them to check the signatures.
    std::vector<SignedBundle> policyTrail;
};

/// What a process trusts and where it runs; from its settings.
struct AdoptionSettings {
    std::string zone;
    std::vector<std::string> trustedRoots; ///< Hex public keys, see adoptBundle().
};

/// Bundles that an entry instance acts on. Lives in memory only.
struct AdoptionState {
    std::uint64_t acceptedVersion = 0; ///< 0: none yet.
    std::string acceptedDigest;
    std::shared_ptr<const Bundle> accepted;

    std::uint64_t stagedVersion = 0; ///< 0: none; else higher than `acceptedVersion`.
    std::string stagedDigest;
    std::shared_ptr<const Bundle> staged;
    std::uint64_t rolloutRevision = 0; ///< Newest revision of `rollouts/current` applied.

    /// Bundle to act on: the staged one, else the accepted one, else none.
    const std::shared_ptr<const Bundle>& inForce() const { return this->staged ? this->staged : this->accepted; }
};

enum class AdoptionOutcome : std::uint8_t {
    Adopted,
    Unchanged, ///< Already adopted, or older than what is in force: normal with late messages.
    NotForThisZone, ///< Staged for other zones.
    Refused, ///< `error` says why; BundleNotEnoughSignatures and the like may need a longer policy trail.
    Conflict, ///< One version with two digests: to be reported to operators.
};

struct AdoptionStep {
    AdoptionState state;
    AdoptionOutcome outcome = AdoptionOutcome::Unchanged;
    std::optional<Error> error; ///< Also set with Adopted where an accepted bundle replaced a staged one of the
                                ///< same version and another digest.
};

/// Decides about a candidate.
///
/// An accepted bundle is adopted only when its version is higher than that of every accepted bundle acted on before,
/// so an adopted version never reverts. A staged bundle must be newer than the accepted one and is adopted only in
/// the listed zones; it ends when it is withdrawn or when an accepted bundle of its version or a higher one arrives.
///
/// Signatures are checked against the policy (operators and required number) of the accepted bundle in force, after
/// `policyTrail` has brought that policy up to date. A process that holds no bundle, in a fresh installation or after
/// a restart, has no policy. Its settings name trusted root public keys: it takes the candidate itself, or else the
/// newest entry of the policy trail, that satisfies its own policy and carries a signature by a root key, and checks
/// the rest of the trail from there. Settings must therefore list a key that signed the newest policy or an earlier
/// one that is still in the trail.
AdoptionStep adoptBundle(const AdoptionState& state, const Candidate& candidate, const AdoptionSettings& settings);

/// Drops the staged bundle when \a rolloutRevision, a revision of `rollouts/current` that stages nothing or a
/// withdrawn version, is newer than the one applied. An older revision is a late message and changes nothing.
AdoptionStep endStaging(const AdoptionState& state, std::uint64_t rolloutRevision);

/// True when the two bundles have the same operators and required number of signatures.
bool hasSamePolicy(const Bundle& a, const Bundle& b);

} // namespace clementinefall::bundle
