#include "bundle/adoption.h"
#include "bundle/bundlediff.h"
#include "bundle/testbundles.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::bundle;

namespace {

SignedBundle signedBundle(const TestOperators& people, Bundle bundle, const std::string& signer)
{
    const SignOff signOff = people.sign(signer, bundle);
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
    const TestOperators people;
    const AdoptionSettings settings { "sur-a", { people.keys.at("ana").publicKey } };
    const SignedBundle first = signedBundle(people, people.bundle(1, "ida"), "ana");
    const SignedBundle third = signedBundle(people, people.bundle(3, "ida"), "ben");
    const AdoptionStep start = adoptBundle({}, accepted(first), settings);
    REQUIRE(start.outcome == AdoptionOutcome::Adopted);

    SECTION("an accepted version only rises, and the same version with other content is a conflict")
    {
        const AdoptionStep next = adoptBundle(start.state, accepted(third), settings);
        REQUIRE(next.outcome == AdoptionOutcome::Adopted);
        CHECK(adoptBundle(next.state, accepted(first), settings).outcome == AdoptionOutcome::Unchanged);
        CHECK(adoptBundle(next.state, accepted(third), settings).outcome == AdoptionOutcome::Unchanged);
        Bundle other = people.bundle(3, "ida");
        other.comment = "other";
        const AdoptionStep conflict = adoptBundle(next.state, accepted(signedBundle(people, other, "ana")), settings);
        CHECK(conflict.outcome == AdoptionOutcome::Conflict);
        CHECK(conflict.state.acceptedDigest == next.state.acceptedDigest);
    }

    SECTION("content that does not have the recorded digest, or lacks signatures, is refused")
    {
        Candidate changed = accepted(third);
        changed.digest = bundleDigest(*first.bundle);
        CHECK(adoptBundle(start.state, changed, settings).outcome == AdoptionOutcome::Refused);
        const AdoptionStep unsignedStep = adoptBundle(start.state, accepted({ third.bundle, {} }), settings);
        REQUIRE(unsignedStep.outcome == AdoptionOutcome::Refused);
        CHECK(unsignedStep.error->code == ResultCode::BundleNotEnoughSignatures);
    }

    SECTION("a staged bundle acts in its zones only and ends on withdrawal; late revisions change nothing")
    {
        CHECK(adoptBundle(start.state, staged(third, { "sur-b" }, 5), settings).outcome
            == AdoptionOutcome::NotForThisZone);
        const AdoptionStep trial = adoptBundle(start.state, staged(third, { "sur-a" }, 5), settings);
        REQUIRE(trial.outcome == AdoptionOutcome::Adopted);
        CHECK(trial.state.inForce()->version == 3);
        CHECK(trial.state.acceptedVersion == 1);
        CHECK(endStaging(trial.state, 4).state.stagedVersion == 3);
        const AdoptionStep ended = endStaging(trial.state, 6);
        CHECK(ended.state.inForce()->version == 1);
        CHECK(adoptBundle(ended.state, staged(third, { "sur-a" }, 5), settings).outcome == AdoptionOutcome::Unchanged);
        const AdoptionStep moved = adoptBundle(trial.state, staged(third, { "sur-b" }, 7), settings);
        CHECK(moved.state.inForce()->version == 1);
    }

    SECTION("acceptance ends a trial of the same or an older version, but not of a newer one")
    {
        const AdoptionStep trial = adoptBundle(start.state, staged(third, { "sur-a" }, 5), settings);
        const AdoptionStep same = adoptBundle(trial.state, accepted(third), settings);
        CHECK(same.state.stagedVersion == 0);
        CHECK(same.state.inForce()->version == 3);
        const SignedBundle second = signedBundle(people, people.bundle(2, "ida"), "ana");
        const AdoptionStep older = adoptBundle(trial.state, accepted(second), settings);
        CHECK(older.state.acceptedVersion == 2);
        CHECK(older.state.inForce()->version == 3);
    }

    SECTION("a process without a bundle follows the trail from a root signature, and one that missed a change of "
            "operators follows it from its own")
    {
        TestOperators successors;
        Bundle change = people.bundle(4, "ida");
        change.operators = successors.list();
        const SignedBundle fourth = signedBundle(people, change, "ana");
        const SignedBundle fifth = signedBundle(successors, successors.bundle(5, "ida"), "ben");
        Candidate candidate = accepted(fifth);
        CHECK(adoptBundle({}, candidate, settings).outcome == AdoptionOutcome::Refused);
        CHECK(adoptBundle(start.state, candidate, settings).outcome == AdoptionOutcome::Refused);
        candidate.policyTrail = { first, fourth };
        CHECK(adoptBundle({}, candidate, settings).outcome == AdoptionOutcome::Adopted);
        CHECK(adoptBundle(start.state, candidate, settings).outcome == AdoptionOutcome::Adopted);
        candidate.policyTrail = { signedBundle(successors, change, "ana") };
        CHECK(adoptBundle({}, candidate, settings).outcome == AdoptionOutcome::Refused);
        CHECK(adoptBundle(start.state, candidate, settings).outcome == AdoptionOutcome::Refused);
        CHECK(adoptBundle({}, accepted(first), { "sur-a", {} }).outcome == AdoptionOutcome::Refused);
    }
}

TEST_CASE("Bundle diff")
{
    const TestOperators people;
    const Bundle before = people.bundle(3, "ida");
    Bundle after = before;

    SECTION("entries are told apart by identity, so that one removed server does not change all that follow")
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

    SECTION("a changed order is shown, because it changes the digest; equal bundles have no difference")
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
