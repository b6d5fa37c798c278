#include "forwarding/servercatalog.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

ServerEntry entryOf(const std::string& id, std::uint64_t startTimeMs, std::uint64_t sequence)
{
    ServerEntry entry;
    entry.id = id;
    entry.service = "stock";
    entry.address = { "127.0.0.1", 9000 };
    entry.zone = "north-a";
    entry.slots = 4;
    entry.startTimeMs = startTimeMs;
    entry.sequence = sequence;
    return entry;
}

} // namespace

TEST_CASE("Server catalog")
{
    ServerCatalog catalog({ "north-a", "north", { { "north-a", "north" }, { "south-a", "south" } } });
    const TimePoint start { seconds(1000) };
    REQUIRE(catalog.apply(entryOf("s1", 10, 5), start));
    const ServerPointer server = catalog.find("s1");
    REQUIRE(server);

    SECTION("a report that arrives late does not replace a newer one")
    {
        ServerEntry draining = entryOf("s1", 10, 6);
        draining.state = ServerState::Draining;
        REQUIRE(catalog.apply(draining, start));
        CHECK_FALSE(catalog.apply(entryOf("s1", 10, 4), start));
        CHECK_FALSE(isUsable(*server));
    }

    SECTION("a part of the entries takes away no server that it does not hold")
    {
        catalog.applyAll({ entryOf("s2", 10, 1), entryOf("s1", 10, 6) }, start);
        CHECK(catalog.find("s2"));
        CHECK(catalog.find("s1")->entry.sequence == 6);
        catalog.applyAll({ entryOf("s3", 10, 1) }, start);
        CHECK(catalog.size() == 3);
        CHECK(catalog.expireMissing(start + seconds(60)).empty());
    }

    SECTION("a draining incarnation stays unused although a later report has it as ready")
    {
        ServerEntry draining = entryOf("s1", 10, 6);
        draining.state = ServerState::Draining;
        catalog.apply(draining, start);
        catalog.apply(entryOf("s1", 10, 7), start);
        CHECK_FALSE(isUsable(*server));
    }

    SECTION("a draining incarnation stays unused although an entry has it in another zone, and as ready")
    {
        ServerEntry draining = entryOf("s1", 10, 6);
        draining.state = ServerState::Draining;
        catalog.apply(draining, start);
        ServerEntry moved = entryOf("s1", 10, 7);
        moved.zone = "south-a";
        catalog.apply(moved, start);
        CHECK_FALSE(isUsable(*catalog.find("s1")));
    }

    SECTION("a server that leaves by its own word stays unused although its entry is lost in an outage and comes back")
    {
        server->isLeaving = true;
        catalog.replaceAll({}, true, start);
        catalog.expireMissing(start + seconds(3));
        REQUIRE(catalog.find("s1") == nullptr);
        catalog.apply(entryOf("s1", 10, 6), start + seconds(4));
        REQUIRE(catalog.find("s1") != nullptr);
        CHECK_FALSE(isUsable(*catalog.find("s1")));

        SECTION("until it starts again")
        {
            catalog.apply(entryOf("s1", 20, 1), start + seconds(5));
            CHECK(isUsable(*catalog.find("s1")));
        }
    }

    SECTION("a server of which another instance says that it leaves stays unused when its removed entry comes back")
    {
        const std::uint64_t startTime = server->entry.startTimeMs;
        catalog.replaceAll({}, true, start);
        catalog.expireMissing(start + seconds(3));
        REQUIRE(catalog.find("s1") == nullptr);
        CHECK(catalog.markLeaving("s1", startTime));
        CHECK_FALSE(catalog.markLeaving("s1", startTime));
        CHECK_FALSE(catalog.markLeaving("s1", startTime + 1));
        catalog.apply(entryOf("s1", 10, 6), start + seconds(4));
        REQUIRE(catalog.find("s1") != nullptr);
        CHECK_FALSE(isUsable(*catalog.find("s1")));
    }

    SECTION("a server restarted under its old id starts without state, although its sequence is lower")
    {
        server->inFlight = 3;
        server->cachedObjects.record(7, start);
        ServerEntry restarted = entryOf("s1", 11, 1);
        restarted.remainingColdTime = seconds(3);
        REQUIRE(catalog.apply(restarted, start));
        const ServerPointer current = catalog.find("s1");
        CHECK(current != server);
        CHECK(server->isRemoved);
        CHECK(current->inFlight == 0);
        CHECK(isCold(*current, start + milliseconds(2900)));
        CHECK_FALSE(isCold(*current, start + milliseconds(3100)));
        CHECK(catalog.serversOf("stock").size() == 1);
    }

    SECTION("an entry that moves to another service does not stay under the old one")
    {
        ServerEntry moved = entryOf("s1", 10, 6);
        moved.service = "files";
        catalog.apply(moved, start);
        CHECK(catalog.serversOf("stock").empty());
        CHECK(catalog.serversOf("files").size() == 1);
    }

    SECTION("without an outage, a server missing from a full listing is removed at once")
    {
        catalog.replaceAll({}, false, start);
        CHECK(server->isRemoved);
        CHECK(catalog.serversOf("stock").empty());
    }

    SECTION("after an outage, a missing entry has two seconds to reappear")
    {
        catalog.replaceAll({}, true, start);
        CHECK(isUsable(*server));
        CHECK(catalog.expireMissing(start + milliseconds(1900)).empty());

        SECTION("an entry that reappears stays")
        {
            catalog.apply(entryOf("s1", 10, 8), start + seconds(1));
            CHECK(catalog.expireMissing(start + seconds(5)).empty());
            CHECK(isUsable(*server));
        }

        SECTION("an entry that does not reappear is removed")
        {
            CHECK(catalog.expireMissing(start + milliseconds(2000)).size() == 1);
            CHECK(server->isRemoved);
        }
    }

    SECTION("servers of an evacuated zone get no requests, and count as cold after the evacuation")
    {
        catalog.setEvacuations({ "north-a" }, start);
        CHECK_FALSE(isUsable(*server));
        ServerEntry added = entryOf("s2", 12, 1);
        catalog.apply(added, start);
        CHECK_FALSE(isUsable(*catalog.find("s2")));
        catalog.setEvacuations({}, start + seconds(8));
        CHECK(isUsable(*server));
        CHECK(isCold(*server, start + seconds(9)));
        CHECK_FALSE(isCold(*server, start + seconds(12)));
    }

    SECTION("servers that warm up slowly are not flooded before their cold time after an evacuation has passed")
    {
        catalog.setColdTimes({ { "stock", seconds(8) } });
        catalog.setEvacuations({ "north-a" }, start);
        catalog.setEvacuations({}, start + seconds(1));
        CHECK(isCold(*server, start + milliseconds(8900)));
        CHECK_FALSE(isCold(*server, start + milliseconds(9100)));
    }

    SECTION("a report from before the end of an evacuation does not end the cold time that is assumed after it")
    {
        catalog.setEvacuations({ "north-a" }, start);
        catalog.setEvacuations({}, start + seconds(8));
        const TimePoint received = start + milliseconds(8200);

        SECTION("when it arrives late")
        {
            REQUIRE(catalog.apply(entryOf("s1", 10, 6), received));
            CHECK(isCold(*server, received));
        }
        SECTION("when a restored store shows it again")
        {
            ServerEntry again = server->entry;
            again.revision += 100;
            catalog.replaceAll({ again }, true, received);
            CHECK(isCold(*server, received));
        }
        SECTION("but one that states a longer time extends it")
        {
            ServerEntry cold = entryOf("s1", 10, 6);
            cold.remainingColdTime = seconds(5);
            REQUIRE(catalog.apply(cold, received));
            CHECK(isCold(*server, received + milliseconds(4900)));
            CHECK_FALSE(isCold(*server, received + milliseconds(5100)));
        }
    }

    SECTION("the remaining cold time of a report counts once, although a restored store shows it again")
    {
        ServerEntry cold = entryOf("s1", 10, 6);
        cold.remainingColdTime = seconds(3);
        REQUIRE(catalog.apply(cold, start));
        cold.revision += 100;
        catalog.replaceAll({ cold }, true, start + seconds(2));
        CHECK(isCold(*server, start + milliseconds(2900)));
        CHECK_FALSE(isCold(*server, start + milliseconds(3100)));
    }

    SECTION("an entry that comes back from a copy of the store does not bring back a server that left")
    {
        const ServerEntry last = server->entry;
        catalog.remove("s1", start);
        ServerEntry restored = last;
        restored.revision = last.revision + 100;
        CHECK_FALSE(catalog.apply(restored, start + seconds(5)));
        restored.sequence = last.sequence - 1;
        catalog.replaceAll({ restored }, true, start + seconds(5));
        CHECK(catalog.find("s1") == nullptr);

        SECTION("unless the server has written it again")
        {
            restored.sequence = last.sequence + 1;
            CHECK(catalog.apply(restored, start + seconds(6)));
        }
        SECTION("or another incarnation has its id")
        {
            restored.startTimeMs = last.startTimeMs + 1;
            restored.sequence = 1;
            CHECK(catalog.apply(restored, start + seconds(6)));
        }
        SECTION("and is forgotten when no copy can be that old")
        {
            catalog.forgetRemoved(start + ServerCatalog::removedRetention);
            CHECK(catalog.apply(restored, start + ServerCatalog::removedRetention));
        }
    }

    SECTION("a server that was only missing after an outage returns with the entry that it had")
    {
        const ServerEntry last = server->entry;
        catalog.replaceAll({}, true, start);
        REQUIRE(catalog.expireMissing(start + ServerCatalog::outageGracePeriod) == std::vector<std::string> { "s1" });
        ServerEntry outdated = last;
        outdated.sequence = last.sequence - 1;
        CHECK_FALSE(catalog.apply(outdated, start + seconds(4)));
        CHECK(catalog.apply(last, start + seconds(5)));
    }

    SECTION("the owner of idle connections is notified of a removed server")
    {
        std::vector<std::string> removed;
        catalog.onRemoved = [&removed](const ServerPointer& oldServer) { removed.push_back(oldServer->entry.id); };
        catalog.remove("s1", start);
        CHECK(removed == std::vector<std::string> { "s1" });
    }
}
