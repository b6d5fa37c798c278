#include "forwarding/configuration.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

Route routeTo(const std::string& name, const std::string& prefix, const std::string& service)
{
    Route route;
    route.name = name;
    route.host = "shop.example";
    route.pathPrefix = prefix;
    route.services = { { service, 1.0 } };
    return route;
}

} // namespace

TEST_CASE("Routes of a configuration")
{
    Configuration configuration;
    configuration.routes
        = { routeTo("all", "/", "a"), routeTo("stock", "/stock/", "b"), routeTo("stock-old", "/stock/old/", "c") };
    configuration.routes[1].host = "shop.example";

    SECTION("the longest prefix of the path wins, whatever the order of the routes")
    {
        REQUIRE(findRoute(configuration, "shop.example", "/stock/old/7") != nullptr);
        CHECK(findRoute(configuration, "shop.example", "/stock/old/7")->name == "stock-old");
        CHECK(findRoute(configuration, "shop.example", "/stock/7")->name == "stock");
        CHECK(findRoute(configuration, "shop.example", "/stocks")->name == "all");
    }

    SECTION("upper-case letters and a port in the host do not prevent a match")
    {
        CHECK(findRoute(configuration, "Shop.Example:8080", "/stock/7")->name == "stock");
    }

    SECTION("a prefix inside the query does not match")
    {
        CHECK(findRoute(configuration, "shop.example", "/?x=/stock/old/")->name == "all");
    }

    SECTION("another host has no route") { CHECK(findRoute(configuration, "other.example", "/stock/7") == nullptr); }
}

TEST_CASE("A store that was restored from a copy does not bring an older configuration back")
{
    Configuration known;
    known.version = 11;
    Configuration listed;
    CHECK(supersedes(listed, nullptr));
    for (const std::uint64_t version : { 0U, 9U, 11U }) {
        listed.version = version;
        CHECK_FALSE(supersedes(listed, &known));
    }
    listed.version = 12;
    CHECK(supersedes(listed, &known));
}

TEST_CASE("Weighted services of a route")
{
    Route route = routeTo("r", "/", "main");
    route.services = { { "main", 90.0 }, { "trial", 10.0 }, { "off", 0.0 } };
    ServiceRotation rotation;

    SECTION("every window of requests has the shares of the weights, not only the average")
    {
        for (int window = 0; window < 5; ++window) {
            std::map<std::string, int> counts;
            for (int i = 0; i < 100; ++i)
                ++counts[nextService(route, rotation)];
            CHECK(counts["main"] == 90);
            CHECK(counts["trial"] == 10);
            CHECK(counts["off"] == 0);
        }
    }
}

TEST_CASE("Low-priority routes")
{
    Configuration configuration;
    configuration.routes
        = { routeTo("upload", "/u/", "files"), routeTo("archive", "/a/", "files"), routeTo("lookup", "/l/", "stock") };
    configuration.routes[0].priority = 1;
    configuration.routes[0].targetLatency = milliseconds(600);
    configuration.routes[1].priority = 2;
    configuration.routes[1].targetLatency = milliseconds(1500);
    configuration.routes[2].priority = 2;
    configuration.routes[2].targetLatency = milliseconds(1500);
    markLowPriorityRoutes(configuration);

    SECTION("a route has low priority only if a more urgent one uses the same service")
    {
        CHECK_FALSE(configuration.routes[0].isLowPriority);
        CHECK(configuration.routes[1].isLowPriority);
        CHECK_FALSE(configuration.routes[2].isLowPriority);
    }
}
