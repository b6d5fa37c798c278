#include "forwarding/regionspill.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

constexpr std::uint64_t objects = 2000;

std::map<std::string, int> countTargets(const RegionSpill& spill)
{
    std::map<std::string, int> counts;
    for (std::uint64_t object = 1; object <= objects; ++object)
        ++counts[spillTarget(spill, object * 7919)];
    return counts;
}

int countMoved(const RegionSpill& before, const RegionSpill& after)
{
    int moved = 0;
    for (std::uint64_t object = 1; object <= objects; ++object)
        moved += spillTarget(before, object * 7919) != spillTarget(after, object * 7919) ? 1 : 0;
    return moved;
}

} // namespace

TEST_CASE("Traffic that runs in other regions")
{
    RegionSpill spill;

    SECTION("a busy region moves objects to the least used one, a bounded share per second")
    {
        const std::map<std::string, double> utilizationByRegion { { "east", 0.6 }, { "west", 0.1 } };
        for (int i = 0; i < 40; ++i)
            updateSpill(spill, 2.0, utilizationByRegion, milliseconds(250));
        CHECK(spill.shares["east"] == 0);
        CHECK(spill.shares["west"] > 0.3);
        CHECK(spill.shares["west"] <= 10 * maximumSpillChangePerSecond + 1e-9);
        const auto counts = countTargets(spill);
        CHECK(std::abs(counts.at("west") / double(objects) - spill.shares["west"]) < 0.04);
    }

    SECTION("the objects moved within two seconds stay below the bound for a shift between regions")
    {
        const double allowed = 0.15;
        RegionSpill before;
        for (int i = 0; i < 8; ++i)
            updateSpill(spill, 5.0, { { "east", 0.0 }, { "west", 0.01 } }, milliseconds(250));
        CHECK(countMoved(before, spill) < allowed * objects);
        // An update after a long pause of the process does not catch up.
        const RegionSpill beforePause = spill;
        updateSpill(spill, 5.0, { { "east", 0.0 } }, seconds(30));
        CHECK(spill.shares["east"] - beforePause.shares.at("east") <= maximumSpillChangePerSecond + 1e-9);
    }

    SECTION("nothing moves to a region that is nearly saturated itself")
    {
        for (int i = 0; i < 40; ++i)
            updateSpill(spill, 3.0, { { "east", 0.85 } }, milliseconds(250));
        CHECK(spill.totalShare() == 0);
    }

    SECTION("the share is constant while the regions are about equal, and shrinks when the local one is less busy")
    {
        spill.shares["east"] = 0.4;
        spill.localUtilization = 0.5;
        for (int i = 0; i < 40; ++i)
            updateSpill(spill, 0.5, { { "east", 0.5 } }, milliseconds(250));
        CHECK(spill.shares["east"] == Approx(0.4));
        for (int i = 0; i < 60; ++i)
            updateSpill(spill, 0.2, { { "east", 0.6 } }, milliseconds(250));
        CHECK(spill.shares["east"] < 0.1);
    }

    SECTION("a region that was full does not get its whole share at once when it has capacity again")
    {
        const double allowed = 0.15;
        spill.shares["east"] = 0.6;
        for (int i = 0; i < 100; ++i) {
            const double capacity = 0.1; // Of all requests.
            for (int request = 0; request < 20; ++request)
                recordSpillUse(spill, "east", request < 20 * std::min(1.0, capacity / spill.shares["east"]));
            const double before = spill.shares["east"];
            updateSpill(spill, 2.0, { { "east", 0.9 } }, milliseconds(250));
            CHECK(before - spill.shares["east"] <= maximumSpillChangePerSecond / 4 + 1e-9);
        }
        const double unused = spill.shares["east"] - 0.1;
        CHECK(unused + 2 * maximumSpillChangePerSecond < allowed);
        CHECK(spill.shares["east"] > 0.05);

        SECTION("and it grows again when all of it is used")
        {
            for (int i = 0; i < 100; ++i) {
                recordSpillUse(spill, "east", true);
                updateSpill(spill, 2.0, { { "east", 0.2 } }, milliseconds(250));
            }
            CHECK(spill.shares["east"] > 0.5);
        }
    }

    SECTION("a region without servers loses its share at once")
    {
        spill.shares["east"] = 0.4;
        updateSpill(spill, 1.0, { { "west", 0.9 } }, milliseconds(250));
        CHECK(spill.totalShare() == 0);
    }
}

TEST_CASE("Spill shares before the first request")
{
    SECTION("a small region starts with shares that give all regions the same utilization")
    {
        const std::map<std::string, RegionCapacity> regions { { "big", { 48, 4 } }, { "mid", { 36, 4 } },
            { "small", { 12, 4 } } };
        const auto shares = initialSpillShares(regions, "small");
        REQUIRE(shares.size() == 2);
        CHECK(shares.at("big") + shares.at("mid") == Approx(1 - 12.0 / 32));
        CHECK(shares.at("big") > shares.at("mid"));
        CHECK(initialSpillShares(regions, "big").size() <= 1);
        RegionSpill none { .shares = initialSpillShares(regions, "big") };
        CHECK(none.totalShare() == 0);
    }
}
