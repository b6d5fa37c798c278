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
    Accepted, ///< Named by `bundles/accepted`.
    Staged, ///< Named by `rollouts/current`.
};

/// A bundle received from the platform or from a peer. Both sources are checked alike.
struct Candidate {
    CandidateKind kind = CandidateKind::Accepted;
    SignedBundle content;
    std::string digest; ///< Digest in the acceptance or rollout record.
    std::vector<std::string> zones; ///< Zones that a staged bundle applies to; unused for an accepted one.
    std::uint64_t rolloutRevision = 0; ///< Object version of `rollouts/current` that stages the bundle.

    /// Accepted bundles that changed the policy (operators or required number of signatures), ascending by version,
    /// between the bundle in force in this process and the candidate. A process that missed them cannot check the
    /// candidate's signatures without them.
    std::vector<SignedBundle> policyChain;
};

/// Zone and trust roots of a process, from its settings.
struct AdoptionSettings {
    std::string zone;
    std::vector<std::string> trustedRoots; ///< Hex public keys, see adoptBundle().
};

/// Bundles adopted by an entry instance. Kept in memory only.
struct AdoptionState {
    std::uint64_t acceptedVersion = 0; ///< 0: no accepted bundle adopted yet.
    std::string acceptedDigest;
    std::shared_ptr<const Bundle> accepted;

    std::uint64_t stagedVersion = 0; ///< 0: no staged bundle; else above `acceptedVersion`.
    std::string stagedDigest;
    std::shared_ptr<const Bundle> staged;
    std::uint64_t rolloutRevision = 0; ///< Newest applied revision of `rollouts/current`.

    /// The staged bundle, else the accepted one, else nullptr.
    const std::shared_ptr<const Bundle>& inForce() const { return this->staged ? this->staged : this->accepted; }
};

enum class AdoptionOutcome : std::uint8_t {
    Adopted,
    Unchanged, ///< Already adopted, or older than the bundle in force, as with late messages.
    NotForThisZone, ///< Staged for other zones.
    Rejected, ///< `error` gives the reason. A failed signature check may succeed with a longer policy chain.
    Conflict, ///< The same version with two digests; operators must be notified.
};

struct AdoptionResult {
    AdoptionState state;
    AdoptionOutcome outcome = AdoptionOutcome::Unchanged;
    std::optional<Error> error; ///< Also set with Adopted when an accepted bundle replaced a staged one of the
                                ///< same version but another digest.
};

/// Decides whether a candidate is adopted and returns the state after it.
///
/// An accepted bundle is adopted only when its version is higher than that of every accepted bundle adopted before,
/// so that the version never decreases. A staged bundle must be newer than the accepted one and is adopted only in
/// the listed zones. It stays in force until it is withdrawn or an accepted bundle of its version or a higher one is
/// adopted.
///
/// Signatures are checked against the policy of the accepted bundle in force, after the checked entries of
/// `policyChain` have updated it. A process without a bundle, after installation or a restart, has no policy and
/// starts from the trusted root keys of its settings: its trust anchor is the candidate itself, or else the newest
/// entry of the policy chain, that satisfies its own policy and is signed by a root key. The rest of the chain is
/// checked from there. The settings must therefore list a key that signed the newest policy or an earlier one that
/// is still in the chain.
AdoptionResult adoptBundle(const AdoptionState& state, const Candidate& candidate, const AdoptionSettings& settings);

/// Drops the staged bundle when \a rolloutRevision, a revision of `rollouts/current` that stages nothing or a
/// withdrawn version, is not older than the applied one. An older revision is a late message and changes nothing.
AdoptionResult endStaging(const AdoptionState& state, std::uint64_t rolloutRevision);

/// True when the two bundles have the same operators and required number of signatures.
bool hasSamePolicy(const Bundle& a, const Bundle& b);

} // namespace clementinefall::bundle
