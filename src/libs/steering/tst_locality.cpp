#include "steering/linkbudget.h"
#include "steering/locality.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <numeric>

using namespace clementinefall;
using namespace clementinefall::steering;

namespace {

constexpr TimePoint start { seconds(1'000) };

/// Local region with two zones and two other regions with one zone each. Shift caps lead from `here` to both.
bundle::Bundle regions()
{
    bundle::Bundle bundle;
    bundle.version = 1;
    bundle.zones = { { "a", "here" }, { "b", "here" }, { "c", "near" }, { "d", "far" } };
    bundle.services.emplace_back().name = "s";
    for (const bundle::Zone& zone : bundle.zones)
        bundle.entryInstances.push_back({ "e-" + zone.name, zone.name, {}, {}, {} });
    bundle.links = { { "here", "near", 1'000'000, milliseconds(50) }, { "here", "far", 0, milliseconds(50) } };
    bundle.shiftCaps = { { "s", "here", "near", 100, 1'000, 1 }, { "s", "here", "far", 100, 1'000, 1 } };
    return bundle;
}

} // namespace

TEST_CASE("Overflow")
{
    const auto snapshot = buildSnapshot(regions(), "e-a");
    FleetView view = makeFleetView(*snapshot, MemberState::Live);
    OverflowTable table = makeOverflowTable(*snapshot);
    ShiftCapTable caps;
    applySnapshot(caps, *snapshot);
    for (ShiftCapShare& share : caps.shares)
        share.perSecond = share.reserved = 50;
    caps.startedAt = start - seconds(1);
    const auto choose = [&](TimePoint now, bundle::Priority priority = bundle::Priority::Critical) {
        caps.lastTick = now;
        return chooseOverflow(table, caps, *snapshot, view, 0, 0, priority, now);
    };
    const auto grant
        = [&](Index zone, unsigned slots, TimePoint now) { recordGrant(view, table, *snapshot, 0, zone, slots, now); };

    SECTION("no request leaves the zone without a grant or on a grant that is 2 s old")
    {
        CHECK(choose(start).rejection == ResultCode::NotRunNoCapacity);
        grant(2, 5, start);
        CHECK(choose(start).zone == Index(2));
        CHECK_FALSE(choose(start + seconds(2)).zone);
    }

    SECTION("no more requests are sent than granted, and bulk requests leave a part of the grant to critical ones")
    {
        grant(2, 10, start);
        for (int count = 0; count < 7; ++count)
            CHECK(choose(start, bundle::Priority::Bulk).zone);
        CHECK_FALSE(choose(start, bundle::Priority::Bulk).zone);
        for (int count = 0; count < 3; ++count)
            CHECK(choose(start).zone);
        CHECK(choose(start).rejection == ResultCode::NotRunNoCapacity);
    }

    SECTION("the shift cap limits requests between regions; within the region only the grant does")
    {
        caps.shares[0].perSecond = 1;
        grant(2, 5, start);
        CHECK(choose(start).zone);
        CHECK(choose(start).rejection == ResultCode::NotRunShiftCap);
        CHECK(choose(start + milliseconds(999)).rejection == ResultCode::NotRunShiftCap);
        grant(1, 1, start);
        CHECK(choose(start).zone == Index(1));
    }

    SECTION("a new target must score better for 3 s, since delayed grants would otherwise make traffic oscillate")
    {
        for (int second = 0; second < 4; ++second) {
            const TimePoint now = start + seconds(second);
            grant(2, 10, now);
            grant(3, second == 0 ? 9 : 20, now);
            CHECK(choose(now).zone == Index(2));
        }
        grant(2, 10, start + seconds(4));
        grant(3, 20, start + seconds(4));
        CHECK(choose(start + seconds(4)).zone == Index(3));
    }

    SECTION("a shift is rejected when the last tick is older than 300 ms")
    {
        grant(2, 5, start);
        caps.lastTick = start - milliseconds(301);
        CHECK(spendShift(caps, *snapshot, 0, 0, 2, start) == ResultCode::NotRunShiftCap);
        caps.lastTick = start - milliseconds(300);
        CHECK(spendShift(caps, *snapshot, 0, 0, 2, start) == ResultCode::Answered);
    }

    SECTION("a request goes to the peer of the local zone with the most free slots, and to none without free slots")
    {
        bundle::Bundle twoPeers = regions();
        twoPeers.entryInstances.push_back({ "e-a2", "a", {}, {}, {} });
        const auto peers = buildSnapshot(twoPeers, "e-a");
        FleetView peerView = makeFleetView(*peers, MemberState::Live);
        CHECK_FALSE(chooseZonePeer(*peers, peerView, 0));
        peerView.peerSlots = { 5, 1 };
        CHECK(chooseZonePeer(*peers, peerView, 0) == Index(4));
        peerView.members[4] = MemberState::Suspect;
        CHECK_FALSE(chooseZonePeer(*peers, peerView, 0));
    }

    SECTION("dividing headroom never grants the same slot twice")
    {
        rc::prop("for any demand", [](std::uint16_t freeSlots, const std::vector<std::uint16_t>& demand) {
            const std::vector<unsigned> requested(demand.begin(), demand.end());
            const auto parts = divideHeadroom(freeSlots, requested);
            const auto sum = std::accumulate(requested.begin(), requested.end(), 0U);
            RC_ASSERT(std::accumulate(parts.begin(), parts.end(), 0U) == std::min<unsigned>(freeSlots, sum));
        });
    }
}

TEST_CASE("Cap ledger")
{
    ShiftCapShare share;
    share.perSecond = 10;
    share.total = 1'000;
    share.epoch = 2;

    SECTION("an instance with an old bundle does not restore an old epoch")
    {
        CHECK_FALSE(reserveBlock({ 3, 0, "" }, share, "op"));
        CHECK(reserveBlock({ 1, 1'000, "" }, share, "op")->next == CapLedger { 2, 125, "op" });
    }

    SECTION("blocks never add up to more than the total")
    {
        CapLedger ledger;
        while (const auto block = reserveBlock(ledger, share, "op"))
            ledger = block->next;
        CHECK(ledger.spent == 1'000);
    }

    SECTION("a block that was reserved under a higher total or another epoch is not credited")
    {
        const auto block = reserveBlock({}, share, "op");
        share.total = 10;
        creditBlock(share, *block);
        CHECK(share.reserved == 0);
        share.total = 1'000;
        creditBlock(share, *block);
        CHECK(share.reserved == block->amount);
    }
}

TEST_CASE("Link pacing keeps the exact rate and limits the burst, since a larger one would delay lookups")
{
    LinkBucket bucket { "here/near", 1'000'050, 0, 0, 0 };
    std::uint64_t sent = 0;
    std::uint64_t maximumTaken = 0;
    TimePoint now = start;
    takeBytes(bucket, 1'000'000, now);
    for (int interval = 0; interval < 1'000; ++interval) {
        now = nextInterval(now);
        const std::uint64_t taken = takeBytes(bucket, 1'000'000, now);
        CHECK(takeBytes(bucket, 1'000'000, now + milliseconds(9)) == 0);
        maximumTaken = std::max(maximumTaken, taken);
        sent += taken;
    }
    // Ten seconds at the configured rate in intervals of 10 ms; a larger burst would delay lookups.
    CHECK(sent == 10'000'500);
    CHECK(maximumTaken <= 10'001);
    // Tokens do not accumulate over a pause beyond the burst of two intervals.
    CHECK(takeBytes(bucket, 1'000'000, now + seconds(60)) <= 20'002);
}

TEST_CASE("Client blocks")
{
    rc::prop("findBlock() finds the same block as a linear search", [](std::uint64_t seed) {
        Random random(seed);
        std::vector<ClientBlock> blocks;
        std::uint32_t next = 0;
        for (std::uint32_t block = 0; block < 50; ++block) {
            const auto first = next + static_cast<std::uint32_t>(randomBelow(random, 4));
            const auto last = first + static_cast<std::uint32_t>(randomBelow(random, 4));
            blocks.push_back({ first, last, block, 0 });
            next = last + 1;
        }
        std::shuffle(blocks.begin(), blocks.end(), random);
        const auto table = buildClientBlocks(blocks, { SiteRanking {} });
        RC_ASSERT(isOk(table));
        for (std::uint32_t address = 0; address < next + 3; ++address) {
            const auto expected = std::find_if(blocks.begin(), blocks.end(),
                [&](const ClientBlock& block) { return block.first <= address && address <= block.last; });
            const ClientBlock* found = findBlock(valueOf(table), address);
            RC_ASSERT((found != nullptr) == (expected != blocks.end()));
            if (found)
                RC_ASSERT(found->block == expected->block);
        }
    });

    SECTION("reversed and overlapping ranges are rejected")
    {
        CHECK_FALSE(isOk(buildClientBlocks({ { 5, 4, 0, 0 } }, { SiteRanking {} })));
        CHECK_FALSE(isOk(buildClientBlocks({ { 1, 4, 0, 0 }, { 4, 5, 1, 0 } }, { SiteRanking {} })));
    }

    SECTION("a site without a live instance is skipped")
    {
        const auto snapshot = buildSnapshot(regions(), "e-a");
        FleetView view = makeFleetView(*snapshot, MemberState::Live);
        const std::vector<Index> siteZones { 2, 3 };
        const auto table = valueOf(buildClientBlocks({ { 10, 20, 0, 0 } }, { SiteRanking { 0, 1 } }));
        CHECK(zoneOfClient(table, 15, siteZones, *snapshot, view) == Index(2));
        view.members[2] = MemberState::Dead;
        CHECK(zoneOfClient(table, 15, siteZones, *snapshot, view) == Index(3));
        CHECK_FALSE(zoneOfClient(table, 9, siteZones, *snapshot, view));
    }
}
