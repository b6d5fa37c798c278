#include "forwarding/placement.h"

#include <catch2/catch.hpp>

#include <set>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

const TimePoint now { seconds(1000) };

BackendServer serverOf(const std::string& id, unsigned slots)
{
    BackendServer server;
    server.entry.id = id;
    server.entry.slots = slots;
    server.locality = Locality::SameZone;
    return server;
}

PlacementRequest requestFor(std::uint64_t object)
{
    PlacementRequest request;
    request.object = object;
    request.work = { .fresh = milliseconds(640), .home = milliseconds(640), .recent = milliseconds(200) };
    request.timeLeft = seconds(3);
    request.targetLeft = milliseconds(500);
    return request;
}

Placement choose(const std::vector<BackendServer>& servers, const PlacementRequest& request)
{
    std::vector<const BackendServer*> views;
    views.reserve(servers.size());
    for (const BackendServer& server : servers)
        views.push_back(&server);
    const std::vector<char> cold(servers.size(), 1);
    return choosePlacement(views, cold, {}, request, {}, now);
}

} // namespace

TEST_CASE("Placement of a request")
{
    std::vector<BackendServer> servers { serverOf("a", 4), serverOf("b", 4), serverOf("c", 4) };
    PlacementRequest request = requestFor(42);

    SECTION("a server that recently handled the object is chosen before an emptier one")
    {
        servers[1].recentObjects.note(42, now);
        servers[1].inFlight = 4;
        const Placement placement = choose(servers, request);
        REQUIRE(placement.server);
        CHECK(*placement.server == 1);
        CHECK(placement.forecast.familiarity == Familiarity::Recent);
    }

    SECTION("a new object goes to the same server whatever the order of the list")
    {
        const Placement placement = choose(servers, request);
        std::vector<BackendServer> reversed { serverOf("c", 4), serverOf("b", 4), serverOf("a", 4) };
        const Placement other = choose(reversed, request);
        REQUIRE(placement.server);
        REQUIRE(other.server);
        CHECK(servers[*placement.server].entry.id == reversed[*other.server].entry.id);
    }

    SECTION("new objects are spread over the servers")
    {
        std::set<std::size_t> used;
        for (std::uint64_t object = 1; object < 40; ++object)
            used.insert(*choose(servers, requestFor(object)).server);
        CHECK(used.size() == 3);
    }

    SECTION("a free slot is offered although the assumed working time is longer than the route allows")
    {
        request.timeLeft = milliseconds(300);
        request.work = initialWorkEstimate(seconds(2));
        CHECK(choose(servers, request).server);
    }

    SECTION("a request that would have to wait past its deadline is refused at once")
    {
        for (BackendServer& server : servers) {
            server.recentObjects.note(42, now);
            server.inFlight = 6;
        }
        request.timeLeft = milliseconds(150);
        const Placement placement = choose(servers, request);
        CHECK_FALSE(placement.server);
        CHECK(placement.wasTooLate);
        CHECK(placement.retryAfter > milliseconds(0));
    }

    SECTION("new objects and late requests do not fill the queues")
    {
        for (BackendServer& server : servers)
            server.inFlight = 7;
        CHECK_FALSE(choose(servers, request).server);
        for (BackendServer& server : servers)
            server.recentObjects.note(42, now);
        CHECK(choose(servers, request).server);
        request.targetLeft = milliseconds(100);
        CHECK_FALSE(choose(servers, request).server);
    }

    SECTION("a home server whose times show that it knows its objects may be waited for like one that is known")
    {
        request.work.home = request.work.recent;
        for (BackendServer& server : servers)
            server.inFlight = 7;
        const Placement placement = choose(servers, request);
        REQUIRE(placement.server);
        CHECK(placement.forecast.familiarity == Familiarity::Home);
    }

    SECTION("an object has one home in the region, which instances of both zones agree on, unless its bytes are many")
    {
        request.work.home = request.work.recent;
        unsigned agreed = 0;
        unsigned agreedInZone = 0;
        constexpr unsigned objects = 60;
        for (unsigned object = 1; object <= objects; ++object) {
            request.object = object * 7919;
            std::vector<BackendServer> fromOther = servers;
            servers[0].locality = servers[1].locality = Locality::SameZone;
            servers[2].locality = Locality::SameRegion;
            fromOther[0].locality = fromOther[1].locality = Locality::SameRegion;
            fromOther[2].locality = Locality::SameZone;
            request.homeInZone = false;
            agreed += choose(servers, request).server == choose(fromOther, request).server ? 1 : 0;
            request.homeInZone = true;
            agreedInZone += choose(servers, request).server == choose(fromOther, request).server ? 1 : 0;
        }
        CHECK(agreed == objects);
        CHECK(agreedInZone == 0);
        const PlacementLimits limits;
        CHECK_FALSE(homesInZone(request.work, 2 * 1024, limits));
        CHECK(homesInZone(request.work, 60 * 1024, limits));
    }

    SECTION("a request that yields leaves slots free for urgent ones")
    {
        request.yields = true;
        for (BackendServer& server : servers)
            server.inFlight = 3;
        CHECK_FALSE(choose(servers, request).server);
        servers[2].inFlight = 2;
        CHECK(choose(servers, request).server == 2);
    }

    SECTION("a request that yields takes the last slots of a server that knows its object, where its work is short")
    {
        request.yields = true;
        for (BackendServer& server : servers)
            server.inFlight = 3;
        servers[1].recentObjects.note(42, now);
        CHECK(choose(servers, request).server == 1);
        servers[1].inFlight = 4;
        CHECK_FALSE(choose(servers, request).server);
    }

    SECTION("a server of another zone is used only when the own one would keep the caller waiting longer")
    {
        servers.resize(2);
        servers[1].locality = Locality::SameRegion;
        servers[0].recentObjects.note(42, now);
        servers[1].recentObjects.note(42, now);
        servers[0].inFlight = 3;
        CHECK(choose(servers, request).server == 0);
        servers[0].inFlight = 9;
        CHECK(choose(servers, request).server == 1);
    }

    SECTION("servers that leave, are gone, avoided, silent or in another region get nothing")
    {
        servers[0].entry.state = ServerState::Draining;
        servers[1].isGone = true;
        servers[2].avoidUntil = now + milliseconds(1);
        servers.push_back(serverOf("d", 4));
        servers[3].locality = Locality::OtherRegion;
        servers.push_back(serverOf("e", 4));
        servers[4].inFlight = 1;
        servers[4].silentSince = now - seconds(3);
        servers[4].silenceLimit = seconds(2);
        CHECK_FALSE(choose(servers, request).server);
    }

    SECTION("a server that fails most of its requests is the last choice")
    {
        servers[0].recentObjects.note(42, now);
        for (int i = 0; i < 20; ++i)
            recordAttempt(servers[0], false);
        CHECK(choose(servers, request).server != 0);
    }
}

TEST_CASE("Senders to a cold server")
{
    std::vector<std::string> instances;
    instances.reserve(100);
    for (int i = 0; i < 100; ++i)
        instances.push_back("entry-" + std::to_string(i));

    SECTION("the same two instances of a hundred may send, so their sum stays bounded")
    {
        for (const std::string server : { "s1", "s2", "s3", "s4" }) {
            std::size_t senders = 0;
            for (const std::string& instance : instances)
                senders += isColdSender(server, instance, instances) ? 1 : 0;
            CHECK(senders == coldSenders);
        }
    }

    SECTION("both together send no more than the server tolerates")
    {
        const double tolerated = 2.6;
        const double each = 1.0 / std::chrono::duration<double>(coldInterval(tolerated)).count();
        CHECK(each * static_cast<double>(coldSenders) == Approx(tolerated));
    }
}

TEST_CASE("Load of a server")
{
    BackendServer server = serverOf("a", 6);

    SECTION("a report of a full server is believed until the next answer can have come")
    {
        server.inFlight = 2;
        server.report = { .running = 6, .waiting = 12, .ownInFlight = 2, .at = now };
        CHECK(outstanding(server, now) == Approx(18));
        CHECK(outstanding(server, now + milliseconds(700)) > 12);
        CHECK(outstanding(server, now + seconds(3)) == Approx(2));
    }

    SECTION("what neighbours say counts when it is more than the report")
    {
        server.neighbourInFlight = { { "x", 3 }, { "y", 2 } };
        CHECK(outstanding(server, now) == Approx(5));
    }

    SECTION("failed connects keep it unused for a time that doubles up to two seconds")
    {
        Duration last {};
        for (int i = 0; i < 8; ++i) {
            recordConnect(server, false, milliseconds(1), now);
            const Duration pause = server.avoidUntil - now;
            CHECK(pause >= last);
            CHECK(pause <= seconds(2));
            last = pause;
        }
        CHECK(last == seconds(2));
        recordConnect(server, true, milliseconds(1), now);
        CHECK(server.avoidUntil <= now);
    }
}

TEST_CASE("Working times of a route")
{
    WorkEstimate estimate = initialWorkEstimate(milliseconds(500));

    SECTION("samples that include unseen waiting hardly move the estimate")
    {
        for (int i = 0; i < 50; ++i)
            recordWork(estimate, Familiarity::Recent, i % 4 == 0 ? milliseconds(900) : milliseconds(200));
        CHECK(estimate.recent > milliseconds(190));
        CHECK(estimate.recent < milliseconds(400));
    }
}
