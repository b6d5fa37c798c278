#include "peers/simulateddissemination.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace clementinefall;
using namespace clementinefall::peers;
using membership::FakeFleet;
using membership::MemberState;

namespace {

/// Guaranteed time until all instances have adopted a new bundle.
constexpr milliseconds maximumTimeToAll { 5000 };

} // namespace

TEST_CASE("A bundle adopted by one instance reaches all instances within the time limit")
{
    const std::size_t count = GENERATE(12, 50, 200, 750);
    SimulatedDissemination dissemination(count, 31 + count, 0.01);
    dissemination.publish(count / 2, 1);
    const auto time = dissemination.timeToAll(1, maximumTimeToAll);
    INFO(count);
    CHECK(time.has_value());
    // Each instance fetches about once and announces to at most announceFanOut peers.
    std::size_t fetches = 0;
    for (const SimulatedDissemination::Node& node : dissemination.nodes) {
        fetches += node.fetchesSent;
        CHECK(node.announcesSent <= announceFanOut);
    }
    CHECK(fetches <= count * 5 / 4);
}

TEST_CASE("Bundles are disseminated despite failures")
{
    constexpr std::size_t count = 50;
    SimulatedDissemination dissemination(count, 77, 0.01);

    SECTION("a newer bundle replaces an older one whose dissemination has not finished")
    {
        dissemination.publish(3, 1);
        dissemination.runFor(milliseconds(300));
        dissemination.publish(44, 2);
        CHECK(dissemination.timeToAll(2, maximumTimeToAll).has_value());
        dissemination.publish(10, 1);
        CHECK(dissemination.countAdopted(2) == count);
    }

    SECTION("sources that never respond to a fetch are replaced by others")
    {
        for (std::size_t node = 0; node < count; ++node)
            dissemination.ignoresFetches[node] = node % 3 == 0;
        dissemination.publish(1, 1);
        CHECK(dissemination.timeToAll(1, seconds(10)).has_value());
    }

    SECTION("an instance that was partitioned away catches up from the versions reported in probes")
    {
        dissemination.fleet.isBlocked = [](std::size_t from, std::size_t to) { return from == 7 || to == 7; };
        dissemination.publish(1, 1);
        dissemination.runFor(seconds(20));
        CHECK(dissemination.countAdopted(1) == count - 1);
        dissemination.fleet.isBlocked = [](std::size_t, std::size_t) { return false; };
        CHECK(dissemination.timeToAll(1, seconds(15)).has_value());
    }
}

TEST_CASE("Dissemination actions of a single instance")
{
    Random random(9);
    const TimePoint now { seconds(100) };
    MemberTable table
        = membership::makeMemberTable({ "entry-0", "zone-0", FakeFleet::addressOf(0), 1 }, {}, now, random);
    for (std::size_t i = 1; i < 12; ++i) {
        membership::addMember(table,
            { "entry-" + std::to_string(i), "zone-" + std::to_string(i % 3), FakeFleet::addressOf(i), 1 + i }, now);
    }
    DisseminationState state;
    DisseminationActions actions;

    SECTION("one fetch at a time; after its timeout another source is tried and a late failure is ignored")
    {
        versionAnnounced(state, table, now, random, FakeFleet::addressOf(1), 5, actions);
        REQUIRE(actions.fetch);
        CHECK(actions.fetch->from == FakeFleet::addressOf(1));
        DisseminationActions second;
        versionAnnounced(state, table, now, random, FakeFleet::addressOf(2), 5, second);
        CHECK_FALSE(second.fetch);
        tickDissemination(state, table, now + milliseconds(999), random, second);
        CHECK_FALSE(second.fetch);
        tickDissemination(state, table, now + milliseconds(1000), random, second);
        REQUIRE(second.fetch);
        CHECK(second.fetch->from == FakeFleet::addressOf(2));
        DisseminationActions late;
        fetchFailed(state, table, now + milliseconds(1100), random, actions.fetch->id, late);
        CHECK_FALSE(late.fetch);
        CHECK(state.fetch->id == second.fetch->id);
    }

    SECTION("an older or equal version is not fetched")
    {
        bundleAdopted(state, table, random, 5, "d", actions);
        versionAnnounced(state, table, now, random, FakeFleet::addressOf(1), 5, actions);
        CHECK_FALSE(actions.fetch);
    }

    SECTION("an adopted bundle is announced to three live peers in different zones, not to suspects")
    {
        findMember(table, FakeFleet::addressOf(4))->record.state = MemberState::Suspect;
        for (int round = 0; round < 50; ++round) {
            const auto peers = pickAnnouncePeers(table, random);
            REQUIRE(peers.size() == announceFanOut);
            std::set<std::string> seen;
            for (const HostPort& peer : peers) {
                CHECK(peer != FakeFleet::addressOf(4));
                seen.insert(findMember(table, peer)->record.zone);
            }
            CHECK(seen.size() == 3);
        }
    }
}

TEST_CASE("Each zone has the configured number of platform watchers")
{
    membership::FakeFleet fleet(36, 6, 5);
    fleet.fillMemberTables();
    const auto watchers = [&] {
        std::map<std::string, std::set<std::size_t>> result;
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            if (fleet.nodes[i].running && isWatcher(fleet.nodes[i].table))
                result[fleet.nodes[i].table.self.zone].insert(i);
        }
        return result;
    };
    const auto before = watchers();
    CHECK(before.size() == 6);
    for (const auto& [zone, members] : before)
        CHECK(members.size() == watchersPerZone);

    SECTION("a dead watcher is replaced by another instance of its zone, and the watchers of other zones stay")
    {
        const std::size_t dead = *before.at("zone-2").begin();
        fleet.kill(dead);
        fleet.runFor(seconds(10));
        auto after = watchers();
        CHECK(after.at("zone-2").size() == watchersPerZone);
        CHECK_FALSE(after.at("zone-2").contains(dead));
        after["zone-2"] = before.at("zone-2");
        CHECK(after == before);
    }
}
