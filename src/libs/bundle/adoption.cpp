#include "bundle/adoption.h"

#include "bundle/signature.h"

#include <algorithm>

namespace clementinefall::bundle {

namespace {

/// Trusted policy from which the policy chain is checked, and the index of the first chain entry after it.
struct TrustAnchor {
    const Bundle* policy = nullptr;
    std::size_t next = 0;
};

/// Newest entry of the policy chain that satisfies its own policy and is signed by a trusted root key.
TrustAnchor findTrustAnchor(const Candidate& candidate, const AdoptionSettings& settings)
{
    for (std::size_t i = candidate.policyChain.size(); i > 0; --i) {
        const SignedBundle& entry = candidate.policyChain[i - 1];
        if (isOk(checkFirstSignOffs(settings.trustedRoots, *entry.bundle, entry.signOffs)))
            return { entry.bundle.get(), i };
    }
    return {};
}

/// Checks the entries of the policy chain after \a anchor, each against the policy before it, then the candidate.
Status checkPolicyChain(TrustAnchor anchor, const Candidate& candidate)
{
    const Bundle* policy = anchor.policy;
    for (std::size_t i = anchor.next; i < candidate.policyChain.size(); ++i) {
        const SignedBundle& entry = candidate.policyChain[i];
        if (entry.bundle->version <= policy->version)
            continue;
        Status status = checkSignOffs(*policy, *entry.bundle, entry.signOffs);
        if (!isOk(status))
            return status;
        policy = entry.bundle.get();
    }
    if (candidate.content.bundle->version <= policy->version)
        return makeError(ResultCode::BundleVersionNotNewer,
            "version {} is not newer than version {} of the policy chain", candidate.content.bundle->version,
            policy->version);
    return checkSignOffs(*policy, *candidate.content.bundle, candidate.content.signOffs);
}

Status checkTrust(const AdoptionState& state, const Candidate& candidate, const AdoptionSettings& settings)
{
    if (state.accepted)
        return checkPolicyChain({ state.accepted.get(), 0 }, candidate);
    Status byRoot = checkFirstSignOffs(settings.trustedRoots, *candidate.content.bundle, candidate.content.signOffs);
    if (isOk(byRoot))
        return byRoot;
    const TrustAnchor anchor = findTrustAnchor(candidate, settings);
    return anchor.policy ? checkPolicyChain(anchor, candidate) : byRoot;
}

AdoptionResult rejected(const AdoptionState& state, Error error)
{
    return { state, AdoptionOutcome::Rejected, std::move(error) };
}

Error digestMismatch(std::uint64_t version, const std::string& local, const std::string& received)
{
    return makeError(ResultCode::BundleVersionNotNewer, "version {} has digest {} locally but {} was received", version,
        local, received);
}

AdoptionResult adoptAccepted(const AdoptionState& state, const Candidate& candidate, const AdoptionSettings& settings)
{
    const std::uint64_t version = candidate.content.bundle->version;
    if (version == state.acceptedVersion && candidate.digest != state.acceptedDigest)
        return { state, AdoptionOutcome::Conflict, digestMismatch(version, state.acceptedDigest, candidate.digest) };
    if (version <= state.acceptedVersion)
        return { state, AdoptionOutcome::Unchanged, std::nullopt };
    const Status trust = checkTrust(state, candidate, settings);
    if (!isOk(trust))
        return rejected(state, errorOf(trust));

    AdoptionResult result { state, AdoptionOutcome::Adopted, std::nullopt };
    if (version == state.stagedVersion && candidate.digest != state.stagedDigest)
        result.error = digestMismatch(version, state.stagedDigest, candidate.digest);
    result.state.acceptedVersion = version;
    result.state.acceptedDigest = candidate.digest;
    result.state.accepted = candidate.content.bundle;
    if (state.stagedVersion <= version) {
        result.state.stagedVersion = 0;
        result.state.stagedDigest.clear();
        result.state.staged = nullptr;
    }
    return result;
}

AdoptionResult adoptStaged(const AdoptionState& state, const Candidate& candidate, const AdoptionSettings& settings)
{
    const std::uint64_t version = candidate.content.bundle->version;
    if (candidate.rolloutRevision < state.rolloutRevision || version < state.acceptedVersion)
        return { state, AdoptionOutcome::Unchanged, std::nullopt };
    if (version == state.acceptedVersion && candidate.digest != state.acceptedDigest)
        return { state, AdoptionOutcome::Conflict, digestMismatch(version, state.acceptedDigest, candidate.digest) };
    if (version == state.stagedVersion && candidate.digest != state.stagedDigest)
        return { state, AdoptionOutcome::Conflict, digestMismatch(version, state.stagedDigest, candidate.digest) };
    if (version == state.acceptedVersion)
        return { state, AdoptionOutcome::Unchanged, std::nullopt };
    if (std::find(candidate.zones.begin(), candidate.zones.end(), settings.zone) == candidate.zones.end()) {
        AdoptionResult result = endStaging(state, candidate.rolloutRevision);
        result.outcome = AdoptionOutcome::NotForThisZone;
        return result;
    }
    if (version == state.stagedVersion) {
        AdoptionResult result { state, AdoptionOutcome::Unchanged, std::nullopt };
        result.state.rolloutRevision = candidate.rolloutRevision;
        return result;
    }
    const Status trust = checkTrust(state, candidate, settings);
    if (!isOk(trust))
        return rejected(state, errorOf(trust));

    AdoptionResult result { state, AdoptionOutcome::Adopted, std::nullopt };
    result.state.stagedVersion = version;
    result.state.stagedDigest = candidate.digest;
    result.state.staged = candidate.content.bundle;
    result.state.rolloutRevision = candidate.rolloutRevision;
    return result;
}

} // namespace

AdoptionResult adoptBundle(const AdoptionState& state, const Candidate& candidate, const AdoptionSettings& settings)
{
    if (!candidate.content.bundle)
        return rejected(state, makeError(ResultCode::BundleMissingField, "the candidate has no bundle"));
    const std::string digest = bundleDigest(*candidate.content.bundle);
    if (digest != candidate.digest)
        return rejected(state,
            makeError(ResultCode::BundleBadSignature, "the bundle of version {} has digest {}, expected {}",
                candidate.content.bundle->version, digest, candidate.digest));
    if (candidate.kind == CandidateKind::Accepted)
        return adoptAccepted(state, candidate, settings);
    return adoptStaged(state, candidate, settings);
}

AdoptionResult endStaging(const AdoptionState& state, std::uint64_t rolloutRevision)
{
    AdoptionResult result { state, AdoptionOutcome::Unchanged, std::nullopt };
    if (rolloutRevision < state.rolloutRevision)
        return result;
    result.state.rolloutRevision = rolloutRevision;
    if (!state.staged)
        return result;
    result.state.stagedVersion = 0;
    result.state.stagedDigest.clear();
    result.state.staged = nullptr;
    result.outcome = AdoptionOutcome::Adopted;
    return result;
}

bool hasSamePolicy(const Bundle& a, const Bundle& b)
{
    return a.operators == b.operators && a.requiredSignatures == b.requiredSignatures;
}

} // namespace clementinefall::bundle
