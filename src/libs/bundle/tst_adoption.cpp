#include "bundle/adoption.h"
#include "bundle/bundlediff.h"
#include "bundle/testbundles.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::bundle;

namespace {

SignedBundle signedBundle(const TestOperators& testOperators, Bundle bundle, const std::string& signer)
{
    const SignOff signOff = testOperators.sign(signer, bundle);
    return { std::make_shared<const Bundle>(std::move(bundle)), { signOff } };
}

Candidate accepted(const SignedBundle& content)
{
    return { CandidateKind::Accepted, content, bundleDigest(*content.bundle), {}, 0, {} };
}

Candidate staged(const SignedBundle& content, std::vector<std::string> zones, std::uint64_t revision)
{
    return { CandidateKind::Staged, content, bundleDigest(*content.bundle), std::move(zones), revision, {} };
}

} // namespace

TEST_CASE("Adoption")
{
    const TestOperators testOperators;
    const AdoptionSettings settings { "sur-a", { testOperators.keys.at("ana").publicKey } };
    const SignedBundle first = signedBundle(testOperators, testOperators.bundle(1, "ida"), "ana");
    const SignedBundle third = signedBundle(testOperators, testOperators.bundle(3, "ida"), "ben");
    const AdoptionResult start = adoptBundle({}, accepted(first), settings);
    REQUIRE(start.outcome == AdoptionOutcome::Adopted);

    SECTION("the accepted version never decreases, and the same version with other content is a conflict")
    {
        const AdoptionResult next = adoptBundle(start.state, accepted(third), settings);
        REQUIRE(next.outcome == AdoptionOutcome::Adopted);
        CHECK(adoptBundle(next.state, accepted(first), settings).outcome == AdoptionOutcome::Unchanged);
        CHECK(adoptBundle(next.state, accepted(third), settings).outcome == AdoptionOutcome::Unchanged);
        Bundle other = testOperators.bundle(3, "ida");
        other.comment = "other";
        const AdoptionResult conflict
            = adoptBundle(next.state, accepted(signedBundle(testOperators, other, "ana")), settings);
        CHECK(conflict.outcome == AdoptionOutcome::Conflict);
        CHECK(conflict.state.acceptedDigest == next.state.acceptedDigest);
    }

    SECTION("a bundle with another digest than the recorded one or without signatures is rejected")
    {
        Candidate changed = accepted(third);
        changed.digest = bundleDigest(*first.bundle);
        CHECK(adoptBundle(start.state, changed, settings).outcome == AdoptionOutcome::Rejected);
        const AdoptionResult unsignedStep = adoptBundle(start.state, accepted({ third.bundle, {} }), settings);
        REQUIRE(unsignedStep.outcome == AdoptionOutcome::Rejected);
        CHECK(unsignedStep.error->code == ResultCode::BundleNotEnoughSignatures);
    }

    SECTION("a staged bundle is in force in its zones only and until its withdrawal; late revisions change nothing")
    {
        CHECK(adoptBundle(start.state, staged(third, { "sur-b" }, 5), settings).outcome
            == AdoptionOutcome::NotForThisZone);
        const AdoptionResult stagedResult = adoptBundle(start.state, staged(third, { "sur-a" }, 5), settings);
        REQUIRE(stagedResult.outcome == AdoptionOutcome::Adopted);
        CHECK(stagedResult.state.inForce()->version == 3);
        CHECK(stagedResult.state.acceptedVersion == 1);
        CHECK(endStaging(stagedResult.state, 4).state.stagedVersion == 3);
        const AdoptionResult ended = endStaging(stagedResult.state, 6);
        CHECK(ended.state.inForce()->version == 1);
        CHECK(adoptBundle(ended.state, staged(third, { "sur-a" }, 5), settings).outcome == AdoptionOutcome::Unchanged);
        const AdoptionResult moved = adoptBundle(stagedResult.state, staged(third, { "sur-b" }, 7), settings);
        CHECK(moved.state.inForce()->version == 1);
    }

    SECTION("acceptance replaces a staged bundle of the same or an older version, but not of a newer one")
    {
        const AdoptionResult stagedResult = adoptBundle(start.state, staged(third, { "sur-a" }, 5), settings);
        const AdoptionResult same = adoptBundle(stagedResult.state, accepted(third), settings);
        CHECK(same.state.stagedVersion == 0);
        CHECK(same.state.inForce()->version == 3);
        const SignedBundle second = signedBundle(testOperators, testOperators.bundle(2, "ida"), "ana");
        const AdoptionResult older = adoptBundle(stagedResult.state, accepted(second), settings);
        CHECK(older.state.acceptedVersion == 2);
        CHECK(older.state.inForce()->version == 3);
    }

    SECTION("a process without a bundle checks the policy chain from a root signature, and one that missed a change of "
            "operators checks it from its own policy")
    {
        TestOperators successors;
        Bundle change = testOperators.bundle(4, "ida");
        change.operators = successors.list();
        const SignedBundle fourth = signedBundle(testOperators, change, "ana");
        const SignedBundle fifth = signedBundle(successors, successors.bundle(5, "ida"), "ben");
        Candidate candidate = accepted(fifth);
        CHECK(adoptBundle({}, candidate, settings).outcome == AdoptionOutcome::Rejected);
        CHECK(adoptBundle(start.state, candidate, settings).outcome == AdoptionOutcome::Rejected);
        candidate.policyChain = { first, fourth };
        CHECK(adoptBundle({}, candidate, settings).outcome == AdoptionOutcome::Adopted);
        CHECK(adoptBundle(start.state, candidate, settings).outcome == AdoptionOutcome::Adopted);
        candidate.policyChain = { signedBundle(successors, change, "ana") };
        CHECK(adoptBundle({}, candidate, settings).outcome == AdoptionOutcome::Rejected);
        CHECK(adoptBundle(start.state, candidate, settings).outcome == AdoptionOutcome::Rejected);
        CHECK(adoptBundle({}, accepted(first), { "sur-a", {} }).outcome == AdoptionOutcome::Rejected);
    }
}

TEST_CASE("Bundle diff")
{
    const TestOperators testOperators;
    const Bundle before = testOperators.bundle(3, "ida");
    Bundle after = before;

    SECTION("entries are matched by identity, so that a removed server does not show the servers after it as changed")
    {
        after.services[0].servers.erase(after.services[0].servers.begin());
        after.services[0].servers[0].slots = 4;
        after.drains = { { DrainKind::Zone, "sur-b" } };
        after.shiftCaps[0].perSecond = 11;
        std::vector<std::string> lines;
        for (const Change& change : diffBundles(before, after))
            lines.push_back(change.text());
        CHECK(lines
            == std::vector<std::string> {
                R"(- services[sellos].servers[s-sur-a]: {"name":"s-sur-a","zone":"sur-a","address":"127.0.0.1:104","slots":3,"maximumConnections":330})",
                "~ services[sellos].servers[s-sur-b].slots: 3 -> 4",
                "~ shiftCaps[sellos sur andes].perSecond: 10 -> 11",
                R"(+ drains[zone sur-b]: {"kind":"zone","name":"sur-b"})" });
    }

    SECTION("a changed order is reported, because it changes the digest; equal bundles have no differences")
    {
        CHECK(diffBundles(before, after).empty());
        after.baseVersion = 2;
        CHECK(diffBundles(before, after).at(0).text() == "+ baseVersion: 2");
        CHECK(diffBundles(after, before).at(0).text() == "- baseVersion: 2");
        after.baseVersion = 0;
        std::swap(after.zones[0], after.zones[1]);
        REQUIRE(diffBundles(before, after).size() == 1);
        CHECK(diffBundles(before, after)[0].path == "zones");
    }
}
