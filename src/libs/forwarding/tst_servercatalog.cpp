#include "forwarding/servercatalog.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

ServerEntry entryOf(const std::string& id, std::uint64_t born, std::uint64_t sequence)
{
    ServerEntry entry;
    entry.id = id;
    entry.service = "stock";
    entry.address = { "127.0.0.1", 9000 };
    entry.zone = "north-a";
    entry.slots = 4;
    entry.bornMs = born;
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

    SECTION("an old report that arrives late does not replace a newer one")
    {
        ServerEntry draining = entryOf("s1", 10, 6);
        draining.state = ServerState::Draining;
        REQUIRE(catalog.apply(draining, start));
        CHECK_FALSE(catalog.apply(entryOf("s1", 10, 4), start));
        CHECK_FALSE(isUsable(*server));
    }

    SECTION("an incarnation that drains stays unused even when a later report says ready")
    {
        ServerEntry draining = entryOf("s1", 10, 6);
        draining.state = ServerState::Draining;
        catalog.apply(draining, start);
        catalog.apply(entryOf("s1", 10, 7), start);
        CHECK_FALSE(isUsable(*server));
    }

    SECTION("a server that starts again under its id begins anew, although its counts are lower")
    {
        server->inFlight = 3;
        server->recentObjects.note(7, start);
        ServerEntry reborn = entryOf("s1", 11, 1);
        reborn.coldLeft = seconds(3);
        REQUIRE(catalog.apply(reborn, start));
        const ServerPointer fresh = catalog.find("s1");
        CHECK(fresh != server);
        CHECK(server->isGone);
        CHECK(fresh->inFlight == 0);
        CHECK(isCold(*fresh, start + milliseconds(2900)));
        CHECK_FALSE(isCold(*fresh, start + milliseconds(3100)));
        CHECK(catalog.serversOf("stock").size() == 1);
    }

    SECTION("an entry that moves to another service is not left under the old one")
    {
        ServerEntry moved = entryOf("s1", 10, 6);
        moved.service = "files";
        catalog.apply(moved, start);
        CHECK(catalog.serversOf("stock").empty());
        CHECK(catalog.serversOf("files").size() == 1);
    }

    SECTION("a removed server is gone at once while the store is well")
    {
        catalog.replaceAll({}, false, start);
        CHECK(server->isGone);
        CHECK(catalog.serversOf("stock").empty());
    }

    SECTION("after an outage a missing entry has two seconds to come back")
    {
        catalog.replaceAll({}, true, start);
        CHECK(isUsable(*server));
        CHECK(catalog.expireMissing(start + milliseconds(1900)).empty());

        SECTION("one that comes back stays")
        {
            catalog.apply(entryOf("s1", 10, 8), start + seconds(1));
            CHECK(catalog.expireMissing(start + seconds(5)).empty());
            CHECK(isUsable(*server));
        }

        SECTION("one that does not is gone")
        {
            CHECK(catalog.expireMissing(start + milliseconds(2000)).size() == 1);
            CHECK(server->isGone);
        }
    }

    SECTION("servers of an evacuated zone get nothing, and count as cold when it returns")
    {
        catalog.setEvacuations({ "north-a" }, start);
        CHECK_FALSE(isUsable(*server));
        ServerEntry later = entryOf("s2", 12, 1);
        catalog.apply(later, start);
        CHECK_FALSE(isUsable(*catalog.find("s2")));
        catalog.setEvacuations({}, start + seconds(8));
        CHECK(isUsable(*server));
        CHECK(isCold(*server, start + seconds(9)));
        CHECK_FALSE(isCold(*server, start + seconds(12)));
    }

    SECTION("owners of idle connections hear of a server that is gone")
    {
        std::vector<std::string> gone;
        catalog.onGone = [&gone](const ServerPointer& left) { gone.push_back(left->entry.id); };
        catalog.remove("s1");
        CHECK(gone == std::vector<std::string> { "s1" });
    }
}
