#include "forwarding/evacuationset.h"
#include "forwarding/servercatalog.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

TEST_CASE("Evacuations across a restore of the store")
{
    const TimePoint start { seconds(1000) };
    EvacuationSet set;
    replaceEvacuations(set, { "a" }, false, start);
    REQUIRE(set.zones == std::set<std::string> { "a" });

    SECTION("an evacuation that the copy does not have stays until it is written again")
    {
        replaceEvacuations(set, {}, true, start);
        CHECK(set.zones == std::set<std::string> { "a" });
        changeEvacuation(set, "a", false);
        CHECK_FALSE(settleEvacuations(set, start + evacuationSettleTime));
        CHECK(set.zones == std::set<std::string> { "a" });
    }
    SECTION("an evacuation that nobody writes again has ended")
    {
        replaceEvacuations(set, {}, true, start);
        CHECK_FALSE(settleEvacuations(set, start + seconds(1)));
        CHECK(settleEvacuations(set, start + evacuationSettleTime));
        CHECK(set.zones.empty());
    }
    SECTION("an evacuation that has ended is not in force again while its removal is repeated")
    {
        replaceEvacuations(set, { "a", "b" }, true, start);
        CHECK(set.zones == std::set<std::string> { "a" });
        changeEvacuation(set, "b", true);
        CHECK_FALSE(settleEvacuations(set, start + evacuationSettleTime));
    }
    SECTION("changes after the restore hold at once")
    {
        replaceEvacuations(set, {}, true, start);
        changeEvacuation(set, "c", false);
        CHECK(set.zones == std::set<std::string> { "a", "c" });
        changeEvacuation(set, "a", true);
        CHECK(set.zones == std::set<std::string> { "c" });
    }
    SECTION("an outage without a restore settles nothing later")
    {
        replaceEvacuations(set, {}, false, start);
        CHECK(set.zones.empty());
        CHECK_FALSE(settleEvacuations(set, start + seconds(10)));
    }
}

TEST_CASE("An evacuation of which the begin and the end arrive together")
{
    // Guards against the usual load for the servers of a zone that was evacuated while this instance heard nothing.
    const TimePoint start { seconds(1000) };
    ServerCatalog catalog(InstanceLocation { "a", "north", { { "a", "north" }, { "b", "north" } } });
    for (const std::string zone : { "a", "b" }) {
        ServerEntry entry;
        entry.id = "server-" + zone;
        entry.service = "stock";
        entry.zone = zone;
        catalog.apply(entry, start);
    }
    EvacuationSet set;
    const std::vector<EvacuationChange> changes { { "b", false }, { "b", true } };
    changeEvacuations(set, changes, [&](const std::set<std::string>& zones) { catalog.setEvacuations(zones, start); });

    SECTION("leaves the servers of the zone cold, and usable")
    {
        CHECK(isCold(*catalog.find("server-b"), start + ServerCatalog::defaultColdTime - milliseconds(1)));
        CHECK_FALSE(isCold(*catalog.find("server-b"), start + ServerCatalog::defaultColdTime));
        CHECK(isUsable(*catalog.find("server-b")));
    }
    SECTION("leaves the servers of other zones as they were") { CHECK_FALSE(isCold(*catalog.find("server-a"), start)); }
}
