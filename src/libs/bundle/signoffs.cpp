#include "bundle/signoffs.h"

#include "bundle/signature.h"

#include <algorithm>
#include <optional>
#include <set>

namespace clementinefall::bundle {

namespace {

const Operator* findOperator(const Bundle& policy, std::string_view name)
{
    const auto found = std::find_if(policy.operators.begin(), policy.operators.end(),
        [name](const Operator& operatorEntry) { return operatorEntry.name == name; });
    return found == policy.operators.end() ? nullptr : &*found;
}

bool canApprove(Role role) { return role == Role::Approver || role == Role::Administrator; }

Status checkWithDigest(const Bundle& policy, const Bundle& candidate, const std::string& digest, const SignOff& signOff)
{
    const Operator* signer = findOperator(policy, signOff.signer);
    if (!signer)
        return makeError(
            ResultCode::BundleUnknownReference, "signer {} is not an operator of the policy", signOff.signer);
    if (!canApprove(signer->role))
        return makeError(ResultCode::AdminForbidden, "signer {} is neither approver nor administrator", signOff.signer);
    if (signer->publicKey.empty() || signer->publicKey != signOff.publicKey)
        return makeError(ResultCode::BundleUnknownReference, "the public key of the sign-off is not that of signer {}",
            signOff.signer);
    // An author who is listed under two names with the same key must not approve the bundle under the other name.
    const Operator* author = findOperator(policy, candidate.author);
    if (signer->name == candidate.author || (author && author->publicKey == signer->publicKey))
        return makeError(ResultCode::BundleSignedByAuthor, "signer {} is the author of version {}", signOff.signer,
            candidate.version);
    if (!verifyDigest(digest, signOff.publicKey, signOff.signature))
        return makeError(ResultCode::BundleBadSignature, "the signature of signer {} is not valid for version {}",
            signOff.signer, candidate.version);
    return okStatus();
}

struct CountedKeys {
    std::set<std::string> keys; ///< Keys of valid sign-offs; a key listed under two names counts once.
    std::optional<Error> firstRejection;
};

CountedKeys countSignOffs(const Bundle& policy, const Bundle& candidate, const std::vector<SignOff>& signOffs)
{
    CountedKeys counted;
    const std::string digest = bundleDigest(candidate);
    for (const SignOff& signOff : signOffs) {
        const Status status = checkWithDigest(policy, candidate, digest, signOff);
        if (isOk(status))
            counted.keys.insert(signOff.publicKey);
        else if (!counted.firstRejection)
            counted.firstRejection = errorOf(status);
    }
    return counted;
}

Status checkCount(const Bundle& policy, const CountedKeys& counted)
{
    if (counted.keys.size() >= policy.requiredSignatures)
        return okStatus();
    if (counted.firstRejection)
        return *counted.firstRejection;
    return makeError(ResultCode::BundleNotEnoughSignatures, "the bundle has {} of {} required signatures",
        counted.keys.size(), policy.requiredSignatures);
}

} // namespace

Status checkSignOff(const Bundle& policy, const Bundle& candidate, const SignOff& signOff)
{
    return checkWithDigest(policy, candidate, bundleDigest(candidate), signOff);
}

Status checkSignOffs(const Bundle& policy, const Bundle& candidate, const std::vector<SignOff>& signOffs)
{
    return checkCount(policy, countSignOffs(policy, candidate, signOffs));
}

Status checkFirstSignOffs(
    const std::vector<std::string>& trustedRoots, const Bundle& candidate, const std::vector<SignOff>& signOffs)
{
    const CountedKeys counted = countSignOffs(candidate, candidate, signOffs);
    Status status = checkCount(candidate, counted);
    if (!isOk(status))
        return status;
    const bool isSignedByRoot = std::any_of(trustedRoots.begin(), trustedRoots.end(),
        [&counted](const std::string& root) { return counted.keys.contains(root); });
    if (!isSignedByRoot)
        return makeError(
            ResultCode::BundleNotEnoughSignatures, "no trusted root key signed version {}", candidate.version);
    return okStatus();
}

} // namespace clementinefall::bundle
