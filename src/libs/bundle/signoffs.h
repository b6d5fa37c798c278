#pragma once

#include "base/result.h"
#include "bundle/bundle.h"

#include <string>
#include <vector>

namespace clementinefall::bundle {

/// One operator's signature over the digest of a bundle.
struct SignOff {
    std::string signer; ///< Name of an operator in the policy bundle.
    std::string publicKey; ///< Hex; must equal the signer's key in the policy bundle.
    std::string signature; ///< Hex.

    friend bool operator==(const SignOff&, const SignOff&) = default;
};

/// Checks one sign-off of \a candidate against the operators of \a policy.
/// Errors: BundleUnknownReference (no such operator or another key), AdminForbidden (role), BundleSignedByAuthor,
/// BundleBadSignature.
Status checkSignOff(const Bundle& policy, const Bundle& candidate, const SignOff& signOff);

/// Checks that enough distinct approvers or administrators of \a policy, none of them the author, signed
/// \a candidate. Invalid sign-offs are ignored, so that adding one cannot block a bundle. When too few valid ones
/// remain, the error is that of the first rejected sign-off, else BundleNotEnoughSignatures.
Status checkSignOffs(const Bundle& policy, const Bundle& candidate, const std::vector<SignOff>& signOffs);

/// Check for a process without a bundle: the candidate must satisfy its own policy, and at least one of the counted
/// signatures must be by one of \a trustedRoots (hex public keys from the settings of the process).
/// Errors: as checkSignOffs(); BundleNotEnoughSignatures when no root key signed.
Status checkFirstSignOffs(
    const std::vector<std::string>& trustedRoots, const Bundle& candidate, const std::vector<SignOff>& signOffs);

} // namespace clementinefall::bundle
