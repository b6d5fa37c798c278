#include "bundle/adoption.h"

#include "bundle/signature.h"

#include <algorithm>

namespace clementinefall::bundle {

namespace {

/// Policy from which the trail is followed, and the position in the trail after it.
struct Anchor {
    const Bundle* policy = nullptr;
    std::size_t next = 0;
};

/// Newest entry of the trail that a trusted root vouches for.
Anchor anchorInTrail(const Candidate& candidate, const AdoptionSettings& settings)
{
    for (std::size_t i = candidate.policyTrail.size(); i > 0; --i) {
        const SignedBundle& entry = candidate.policyTrail[i - 1];
        if (isOk(checkFirstSignOffs(settings.trustedRoots, *entry.bundle, entry.signOffs)))
            return { entry.bundle.get(), i };
    }
    return {};
}

Status checkAlongTrail(Anchor anchor, const Candidate& candidate)
{
    const Bundle* policy = anchor.policy;
    for (std::size_t i = anchor.next; i < candidate.policyTrail.size(); ++i) {
        const SignedBundle& entry = candidate.policyTrail[i];
        if (entry.bundle->version <= policy->version)
            continue;
        Status status = checkSignOffs(*policy, *entry.bundle, entry.signOffs);
        if (!isOk(status))
            return status;
        policy = entry.bundle.get();
    }
    if (candidate.content.bundle->version <= policy->version)
        return makeError(ResultCode::BundleVersionNotNewer, "the policy trail goes up to version {}", policy->version);
    return checkSignOffs(*policy, *candidate.content.bundle, candidate.content.signOffs);
}

Status checkTrust(const AdoptionState& state, const Candidate& candidate, const AdoptionSettings& settings)
{
    if (state.accepted)
        return checkAlongTrail({ state.accepted.get(), 0 }, candidate);
    Status byRoot = checkFirstSignOffs(settings.trustedRoots, *candidate.content.bundle, candidate.content.signOffs);
    if (isOk(byRoot))
        return byRoot;
    const Anchor anchor = anchorInTrail(candidate, settings);
    return anchor.policy ? checkAlongTrail(anchor, candidate) : byRoot;
}

AdoptionStep refused(const AdoptionState& state, Error error)
{
    return { state, AdoptionOutcome::Refused, std::move(error) };
}

Error digestError(std::uint64_t version, const std::string& known, const std::string& offered)
{
    return makeError(
        ResultCode::BundleVersionNotNewer, "version {} has digest {} here and {} there", version, known, offered);
}

AdoptionStep adoptAccepted(const AdoptionState& state, const Candidate& candidate, const AdoptionSettings& settings)
{
    const std::uint64_t version = candidate.content.bundle->version;
    if (version == state.acceptedVersion && candidate.digest != state.acceptedDigest)
        return { state, AdoptionOutcome::Conflict, digestError(version, state.acceptedDigest, candidate.digest) };
    if (version <= state.acceptedVersion)
        return { state, AdoptionOutcome::Unchanged, std::nullopt };
    const Status trust = checkTrust(state, candidate, settings);
    if (!isOk(trust))
        return refused(state, errorOf(trust));

    AdoptionStep step { state, AdoptionOutcome::Adopted, std::nullopt };
    if (version == state.stagedVersion && candidate.digest != state.stagedDigest)
        step.error = digestError(version, state.stagedDigest, candidate.digest);
    step.state.acceptedVersion = version;
    step.state.acceptedDigest = candidate.digest;
    step.state.accepted = candidate.content.bundle;
    if (state.stagedVersion <= version) {
        step.state.stagedVersion = 0;
        step.state.stagedDigest.clear();
        step.state.staged = nullptr;
    }
    return step;
}

AdoptionStep adoptStaged(const AdoptionState& state, const Candidate& candidate, const AdoptionSettings& settings)
{
    const std::uint64_t version = candidate.content.bundle->version;
    if (candidate.rolloutRevision < state.rolloutRevision || version < state.acceptedVersion)
        return { state, AdoptionOutcome::Unchanged, std::nullopt };
    if (version == state.acceptedVersion && candidate.digest != state.acceptedDigest)
        return { state, AdoptionOutcome::Conflict, digestError(version, state.acceptedDigest, candidate.digest) };
    if (version == state.stagedVersion && candidate.digest != state.stagedDigest)
        return { state, AdoptionOutcome::Conflict, digestError(version, state.stagedDigest, candidate.digest) };
    if (version == state.acceptedVersion)
        return { state, AdoptionOutcome::Unchanged, std::nullopt };
    if (std::find(candidate.zones.begin(), candidate.zones.end(), settings.zone) == candidate.zones.end()) {
        AdoptionStep step = endStaging(state, candidate.rolloutRevision);
        step.outcome = AdoptionOutcome::NotForThisZone;
        return step;
    }
    if (version == state.stagedVersion) {
        AdoptionStep step { state, AdoptionOutcome::Unchanged, std::nullopt };
        step.state.rolloutRevision = candidate.rolloutRevision;
        return step;
    }
    const Status trust = checkTrust(state, candidate, settings);
    if (!isOk(trust))
        return refused(state, errorOf(trust));

    AdoptionStep step { state, AdoptionOutcome::Adopted, std::nullopt };
    step.state.stagedVersion = version;
    step.state.stagedDigest = candidate.digest;
    step.state.staged = candidate.content.bundle;
    step.state.rolloutRevision = candidate.rolloutRevision;
    return step;
}

} // namespace

AdoptionStep adoptBundle(const AdoptionState& state, const Candidate& candidate, const AdoptionSettings& settings)
{
    if (!candidate.content.bundle)
        return refused(state, makeError(ResultCode::BundleMissingField, "the candidate has no content"));
    const std::string digest = bundleDigest(*candidate.content.bundle);
    if (digest != candidate.digest)
        return refused(state,
            makeError(ResultCode::BundleBadSignature, "the content of version {} has digest {} and not {}",
                candidate.content.bundle->version, digest, candidate.digest));
    if (candidate.kind == CandidateKind::Accepted)
        return adoptAccepted(state, candidate, settings);
    return adoptStaged(state, candidate, settings);
}

AdoptionStep endStaging(const AdoptionState& state, std::uint64_t rolloutRevision)
{
    AdoptionStep step { state, AdoptionOutcome::Unchanged, std::nullopt };
    if (rolloutRevision < state.rolloutRevision)
        return step;
    step.state.rolloutRevision = rolloutRevision;
    if (!state.staged)
        return step;
    step.state.stagedVersion = 0;
    step.state.stagedDigest.clear();
    step.state.staged = nullptr;
    step.outcome = AdoptionOutcome::Adopted;
    return step;
}

bool hasSamePolicy(const Bundle& a, const Bundle& b)
{
    return a.operators == b.operators && a.requiredSignatures == b.requiredSignatures;
}

} // namespace clementinefall::bundle
