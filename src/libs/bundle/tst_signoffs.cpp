#include "bundle/testbundles.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cctype>

using namespace clementinefall;
using namespace clementinefall::bundle;

namespace {

ResultCode codeOf(const Status& status)
{
    REQUIRE_FALSE(isOk(status));
    return errorOf(status).code;
}

} // namespace

TEST_CASE("Sign-offs")
{
    const TestOperators testOperators;
    Bundle policy = testOperators.bundle(3, "ida");
    policy.requiredSignatures = 2;
    const Bundle candidate = testOperators.bundle(4, "ida");
    const SignOff byAna = testOperators.sign("ana", candidate);
    const SignOff byBen = testOperators.sign("ben", candidate);

    SECTION("two approvers satisfy a policy that requires two signatures")
    {
        CHECK(isOk(checkSignOffs(policy, candidate, { byAna, byBen })));
    }

    SECTION("a signer counts once, even under a second name with the same key")
    {
        CHECK(codeOf(checkSignOffs(policy, candidate, { byAna, byAna })) == ResultCode::BundleNotEnoughSignatures);
        policy.operators.push_back({ "ana2", "platform", Role::Approver, "", testOperators.keys.at("ana").publicKey });
        SignOff second = byAna;
        second.signer = "ana2";
        CHECK(codeOf(checkSignOffs(policy, candidate, { byAna, second })) == ResultCode::BundleNotEnoughSignatures);
    }

    SECTION("the author does not count, even under a second name with the same key")
    {
        const Bundle bundleByAna = testOperators.bundle(4, "ana");
        policy.requiredSignatures = 1;
        CHECK(codeOf(checkSignOffs(policy, bundleByAna, { testOperators.sign("ana", bundleByAna) }))
            == ResultCode::BundleSignedByAuthor);
        policy.operators.push_back({ "ana2", "platform", Role::Approver, "", testOperators.keys.at("ana").publicKey });
        SignOff second = testOperators.sign("ana", bundleByAna);
        second.signer = "ana2";
        CHECK(codeOf(checkSignOffs(policy, bundleByAna, { second })) == ResultCode::BundleSignedByAuthor);
    }

    SECTION("a signature for other content, by an editor or by an unknown signer does not count")
    {
        policy.requiredSignatures = 1;
        Bundle changed = candidate;
        changed.shiftCaps[0].perSecond += 1;
        CHECK(codeOf(checkSignOffs(policy, changed, { byAna })) == ResultCode::BundleBadSignature);
        const Bundle byAuthor = testOperators.bundle(4, "ben");
        CHECK(codeOf(checkSignOffs(policy, byAuthor, { testOperators.sign("ida", byAuthor) }))
            == ResultCode::AdminForbidden);
        SignOff unknownSigner = byAna;
        unknownSigner.signer = "zoe";
        CHECK(codeOf(checkSignOffs(policy, candidate, { unknownSigner })) == ResultCode::BundleUnknownReference);
        SignOff otherKey = byAna;
        otherKey.publicKey = generateKeyPair().publicKey;
        CHECK(codeOf(checkSignOffs(policy, candidate, { otherKey })) == ResultCode::BundleUnknownReference);
    }

    SECTION("an invalid sign-off does not block valid ones")
    {
        const SignOff malformed { "ana", "00", "00" };
        CHECK(isOk(checkSignOffs(policy, candidate, { malformed, byAna, byBen })));
    }

    SECTION("the first bundle needs a signature by a trusted root")
    {
        const auto& root = testOperators.keys.at("ana").publicKey;
        CHECK(isOk(checkFirstSignOffs({ root }, candidate, { byAna })));
        CHECK(codeOf(checkFirstSignOffs({ root }, candidate, { byBen })) == ResultCode::BundleNotEnoughSignatures);
        CHECK(codeOf(checkFirstSignOffs({}, candidate, { byAna })) == ResultCode::BundleNotEnoughSignatures);
    }
}

TEST_CASE("Keys and tokens")
{
    SECTION("a malformed key or signature never verifies")
    {
        const KeyPair pair = generateKeyPair();
        const std::string digest = textDigest("x");
        const std::string signature = valueOf(signDigest(digest, pair.secretKey));
        CHECK(verifyDigest(digest, pair.publicKey, signature));
        CHECK_FALSE(verifyDigest(digest, pair.publicKey, signature.substr(2)));
        CHECK_FALSE(verifyDigest(digest, pair.publicKey.substr(2), signature));
        CHECK_FALSE(isOk(signDigest(digest, "not a key")));
        std::string upperCase = pair.publicKey;
        std::transform(upperCase.begin(), upperCase.end(), upperCase.begin(), [](char c) { return std::toupper(c); });
        CHECK_FALSE(verifyDigest(digest, upperCase, signature)); // else one key could be counted under two texts
        CHECK(valueOf(keyPairFromSecret(pair.secretKey)).publicKey == pair.publicKey);
    }

    SECTION("a digest is the published BLAKE2b-256, so that other tools can check it")
    {
        CHECK(textDigest("abc") == "bddd813c634239723171ef3fee98579b94964e3bb1cb3e427262c8c068d52319");
    }

    SECTION("a token selects only its operator, and an empty digest matches no token")
    {
        const TestOperators testOperators;
        Bundle bundle = testOperators.bundle(1, "ida");
        REQUIRE(operatorForToken(bundle, "ida-token"));
        CHECK(operatorForToken(bundle, "ida-token")->name == "ida");
        for (Operator& operatorEntry : bundle.operators)
            operatorEntry.tokenDigest.clear();
        CHECK_FALSE(operatorForToken(bundle, ""));
    }
}
