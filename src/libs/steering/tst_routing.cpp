#include "steering/routing.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace clementinefall;
using namespace clementinefall::steering;

namespace {

/// Three regions with two zones each; two instances and one server in each zone.
bundle::Bundle threeRegions()
{
    bundle::Bundle bundle;
    bundle.version = 1;
    bundle.services.emplace_back().name = "catalogo";
    for (const std::string region : { "sur", "andes", "norte" }) {
        for (const std::string letter : { "-a", "-b" }) {
            const std::string zone = region + letter;
            bundle.zones.push_back({ zone, region });
            bundle.services[0].servers.push_back({ "s-" + zone, zone, {}, 3, 330 });
            for (const std::string number : { "1", "2" })
                bundle.entryInstances.push_back({ zone + number, zone, {}, {}, {} });
        }
    }
    bundle.links = { { "sur", "norte", 1000, milliseconds(20) }, { "sur", "andes", 1000, milliseconds(35) } };
    return bundle;
}

} // namespace

TEST_CASE("Entry instance ranking")
{
    bundle::Bundle bundle = threeRegions();
    Random random(1);
    const TimePoint now { seconds(100) };
    const auto rank = [&](const RoutingSnapshot& snapshot, const FleetView& view) {
        std::vector<std::string> names;
        for (const Index instance : rankEntryInstances(snapshot, 0, 0, view, now, random))
            names.push_back(snapshot.instances[instance].name);
        return names;
    };
    const auto snapshot = buildSnapshot(bundle, "sur-a1");
    FleetView view = makeFleetView(*snapshot, MemberState::Live);

    SECTION("the caller's zone comes first, then its region, then the nearest region, which keeps latency low")
    {
        const auto names = rank(*snapshot, view);
        REQUIRE(names.size() == 8);
        CHECK(names[0].starts_with("sur-a"));
        CHECK(names[1].starts_with("sur-a"));
        CHECK(names[2].starts_with("sur-b"));
        CHECK(names[4].starts_with("norte"));
        CHECK(names[6].starts_with("andes"));
    }

    SECTION("a region that a shift cap leads to comes before a nearer one that would reject the callers")
    {
        bundle.shiftCaps = { { "catalogo", "sur", "andes", 10, 100, 1 } };
        CHECK(rank(*buildSnapshot(bundle, "sur-a1"), view)[4].starts_with("andes"));
    }

    SECTION("between regions of equal delay the one with headroom comes first until its grant is 2 s old")
    {
        bundle.links[0].delay = milliseconds(35);
        const auto equal = buildSnapshot(bundle, "sur-a1");
        view.grants[2] = { 5, now - milliseconds(1'999) };
        CHECK(rank(*equal, view)[4].starts_with("andes"));
        view.grants[4] = { 1, now };
        view.grants[2].receivedAt = now - seconds(2);
        CHECK(rank(*equal, view)[4].starts_with("norte"));
    }

    SECTION("suspect instances come last; dead, leaving and drained ones are not offered")
    {
        bundle.drains = { { bundle::DrainKind::EntryInstance, "sur-a2" }, { bundle::DrainKind::Zone, "norte-a" } };
        const auto drained = buildSnapshot(bundle, "sur-a1");
        view.members[0] = MemberState::Suspect;
        view.members[2] = MemberState::Dead;
        view.members[3] = MemberState::Leaving;
        const auto names = rank(*drained, view);
        REQUIRE(names.size() == 5);
        CHECK(names.back() == "sur-a1");
        CHECK(std::none_of(names.begin(), names.end(), [](const auto& name) { return name.starts_with("norte-a"); }));
        CHECK(drained->servers[4].isLeaving);
        CHECK(drained->services[0].slotsByZone[4] == 0);
        CHECK(drained->servers[4].localSlots == 0);
        CHECK(drained->servers[0].localSlots + buildSnapshot(bundle, "sur-a2")->servers[0].localSlots == 3);
    }
}

TEST_CASE("Ranking agrees with a reference implementation for random member states")
{
    const auto snapshot = buildSnapshot(threeRegions(), "sur-a1");
    rc::prop("each ranked instance is usable and no worse group precedes a better one", [&](std::uint64_t seed) {
        Random random(seed);
        FleetView view = makeFleetView(*snapshot, MemberState::Live);
        for (auto& member : view.members)
            member = static_cast<MemberState>(randomBelow(random, 4));
        const auto ranked = rankEntryInstances(*snapshot, 0, 2, view, TimePoint(seconds(9)), random);
        // Zone 2 is in region andes; sur is 35 ms away and norte has no link to it. Group 4 holds the suspect ones.
        const auto groupOf = [&](Index instance) {
            const Index zone = snapshot->instances[instance].zone;
            const Index region = snapshot->zones[zone].region;
            return zone == 2 ? 0U : region == 1 ? 1U : region == 0 ? 2U : 3U;
        };
        std::array<std::size_t, 5> live {};
        std::array<std::size_t, 5> listed {};
        for (Index instance = 0; instance < view.members.size(); ++instance)
            live[groupOf(instance)] += view.members[instance] == MemberState::Live ? 1 : 0;
        std::size_t previous = 0;
        for (const Index instance : ranked) {
            const MemberState state = view.members[instance];
            RC_ASSERT(state == MemberState::Live || state == MemberState::Suspect);
            RC_ASSERT(std::count(ranked.begin(), ranked.end(), instance) == 1);
            const std::size_t group = state == MemberState::Suspect ? 4U : groupOf(instance);
            RC_ASSERT(group >= previous);
            previous = group;
            ++listed[group];
        }
        const std::size_t perRegion = live[2] > 0 && live[3] > 0 ? 2 : 4;
        RC_ASSERT(listed[0] == live[0]);
        RC_ASSERT(listed[1] == live[1]);
        RC_ASSERT(listed[2] == std::min(live[2], perRegion));
        RC_ASSERT(listed[3] == std::min(live[3], perRegion));
    });
}
