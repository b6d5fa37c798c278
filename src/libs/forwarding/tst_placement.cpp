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
    request.processingTime = { .uncached = milliseconds(640), .home = milliseconds(640), .cached = milliseconds(200) };
    request.timeLeft = seconds(3);
    request.targetTimeLeft = milliseconds(500);
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

    SECTION("a server that has the object cached is preferred to a less loaded one")
    {
        servers[1].cachedObjects.record(42, now);
        servers[1].inFlight = 4;
        const Placement placement = choose(servers, request);
        REQUIRE(placement.server);
        CHECK(*placement.server == 1);
        CHECK(placement.estimate.cacheAffinity == CacheAffinity::Cached);
    }

    SECTION("the server for an uncached object does not depend on the order of the list")
    {
        const Placement placement = choose(servers, request);
        std::vector<BackendServer> reversed { serverOf("c", 4), serverOf("b", 4), serverOf("a", 4) };
        const Placement other = choose(reversed, request);
        REQUIRE(placement.server);
        REQUIRE(other.server);
        CHECK(servers[*placement.server].entry.id == reversed[*other.server].entry.id);
    }

    SECTION("uncached objects are distributed over all servers")
    {
        std::set<std::size_t> used;
        for (std::uint64_t object = 1; object < 40; ++object)
            used.insert(*choose(servers, requestFor(object)).server);
        CHECK(used.size() == 3);
    }

    SECTION("a free slot is used even if the assumed processing time exceeds the route's timeout")
    {
        request.timeLeft = milliseconds(300);
        request.processingTime = initialProcessingTimeEstimate(seconds(2));
        CHECK(choose(servers, request).server);
    }

    SECTION("a request that would be queued past its deadline gets no server")
    {
        for (BackendServer& server : servers) {
            server.cachedObjects.record(42, now);
            server.inFlight = 6;
        }
        request.timeLeft = milliseconds(150);
        const Placement placement = choose(servers, request);
        CHECK_FALSE(placement.server);
        CHECK(placement.wouldMissDeadline);
        CHECK(placement.retryAfter > milliseconds(0));
    }

    SECTION("requests for uncached objects and late requests do not fill the queues")
    {
        for (BackendServer& server : servers)
            server.inFlight = 7;
        CHECK_FALSE(choose(servers, request).server);
        for (BackendServer& server : servers)
            server.cachedObjects.record(42, now);
        CHECK(choose(servers, request).server);
        request.targetTimeLeft = milliseconds(100);
        CHECK_FALSE(choose(servers, request).server);
    }

    SECTION("requests queue at a home server whose processing times show that it has its objects cached")
    {
        request.processingTime.home = request.processingTime.cached;
        for (BackendServer& server : servers)
            server.inFlight = 7;
        const Placement placement = choose(servers, request);
        REQUIRE(placement.server);
        CHECK(placement.estimate.cacheAffinity == CacheAffinity::Home);
    }

    SECTION("instances of both zones choose the same home server in the region, except for large transfers")
    {
        request.processingTime.home = request.processingTime.cached;
        unsigned agreedInRegion = 0;
        unsigned agreedInZone = 0;
        constexpr unsigned objects = 60;
        for (unsigned object = 1; object <= objects; ++object) {
            request.object = object * 7919;
            std::vector<BackendServer> fromOtherZone = servers;
            servers[0].locality = servers[1].locality = Locality::SameZone;
            servers[2].locality = Locality::SameRegion;
            fromOtherZone[0].locality = fromOtherZone[1].locality = Locality::SameRegion;
            fromOtherZone[2].locality = Locality::SameZone;
            request.hasZonalHome = false;
            agreedInRegion += choose(servers, request).server == choose(fromOtherZone, request).server ? 1 : 0;
            request.hasZonalHome = true;
            agreedInZone += choose(servers, request).server == choose(fromOtherZone, request).server ? 1 : 0;
        }
        CHECK(agreedInRegion == objects);
        CHECK(agreedInZone == 0);
        const PlacementParameters parameters;
        CHECK_FALSE(usesZonalHomes(request.processingTime, 2 * 1024, parameters));
        CHECK(usesZonalHomes(request.processingTime, 60 * 1024, parameters));
    }

    SECTION("a low-priority request leaves slots free for urgent ones")
    {
        request.isLowPriority = true;
        for (BackendServer& server : servers)
            server.inFlight = 3;
        CHECK_FALSE(choose(servers, request).server);
        servers[2].inFlight = 2;
        CHECK(choose(servers, request).server == 2);
    }

    SECTION("a low-priority request takes the last slots of a server that has its object cached")
    {
        request.isLowPriority = true;
        for (BackendServer& server : servers)
            server.inFlight = 3;
        servers[1].cachedObjects.record(42, now);
        CHECK(choose(servers, request).server == 1);
        servers[1].inFlight = 4;
        CHECK_FALSE(choose(servers, request).server);
    }

    SECTION("a server of another zone is used only when the queue of the local one takes longer")
    {
        servers.resize(2);
        servers[1].locality = Locality::SameRegion;
        servers[0].cachedObjects.record(42, now);
        servers[1].cachedObjects.record(42, now);
        servers[0].inFlight = 3;
        CHECK(choose(servers, request).server == 0);
        servers[0].inFlight = 9;
        CHECK(choose(servers, request).server == 1);
    }

    SECTION("servers that are draining, removed, in backoff, unresponsive or in another region get no requests")
    {
        servers[0].entry.state = ServerState::Draining;
        servers[1].isRemoved = true;
        servers[2].backoffUntil = now + milliseconds(1);
        servers.push_back(serverOf("d", 4));
        servers[3].locality = Locality::OtherRegion;
        servers.push_back(serverOf("e", 4));
        servers[4].inFlight = 1;
        servers[4].awaitingResponseSince = now - seconds(3);
        servers[4].unresponsiveTimeout = seconds(2);
        CHECK_FALSE(choose(servers, request).server);
    }

    SECTION("a server that fails most of its requests is the last choice")
    {
        servers[0].cachedObjects.record(42, now);
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

    SECTION("all of a hundred instances choose the same two senders, so the total rate stays bounded")
    {
        for (const std::string server : { "s1", "s2", "s3", "s4" }) {
            std::size_t senders = 0;
            for (const std::string& instance : instances)
                senders += isColdServerSender(server, instance, instances) ? 1 : 0;
            CHECK(senders == sendersPerColdServer);
        }
    }

    SECTION("the senders together do not exceed the rate that the server tolerates")
    {
        const double tolerated = 2.6;
        const double ratePerSender = 1.0 / std::chrono::duration<double>(coldSendInterval(tolerated)).count();
        CHECK(ratePerSender * static_cast<double>(sendersPerColdServer) == Approx(tolerated));
    }
}

TEST_CASE("Load of a server")
{
    BackendServer server = serverOf("a", 6);

    SECTION("the report of a full server counts until its next response can have arrived")
    {
        server.inFlight = 2;
        server.report = { .running = 6, .waiting = 12, .localInFlight = 2, .at = now };
        CHECK(outstandingRequests(server, now) == Approx(18));
        CHECK(outstandingRequests(server, now + milliseconds(700)) > 12);
        CHECK(outstandingRequests(server, now + seconds(3)) == Approx(2));
    }

    SECTION("requests in flight of neighbour instances count when they exceed the report")
    {
        server.neighbourInFlight = { { "x", 3 }, { "y", 2 } };
        CHECK(outstandingRequests(server, now) == Approx(5));
    }

    SECTION("a server without a recent report is assumed as loaded as the others of its region")
    {
        std::vector<std::shared_ptr<BackendServer>> servers;
        for (const char* id : { "heard-1", "heard-2", "silent", "elsewhere", "draining" }) {
            servers.push_back(std::make_shared<BackendServer>(serverOf(id, 4)));
            servers.back()->region = "north";
        }
        servers[0]->report = { .running = 4, .waiting = 6, .localInFlight = 0, .at = now };
        servers[1]->report = { .running = 4, .waiting = 4, .localInFlight = 2, .at = now };
        servers[2]->entry.slots = 8;
        servers[2]->inFlight = 1;
        servers[3]->region = "south";
        servers[4]->entry.state = ServerState::Draining;
        servers[4]->report = { .running = 0, .waiting = 0, .localInFlight = 0, .at = now };
        updateAssumedLoads(servers, now);
        CHECK(outstandingRequests(*servers[2], now) == Approx(1 + 8 * 2.0));
        CHECK(outstandingRequests(*servers[3], now) == Approx(0));
        // An own report counts at first, and gives way to the assumption.
        CHECK(outstandingRequests(*servers[0], now) == Approx(10));
        CHECK(outstandingRequests(*servers[0], now + seconds(3)) == Approx(8));

        SECTION("until no server has reported for a while")
        {
            updateAssumedLoads(servers, now + seconds(3));
            CHECK(outstandingRequests(*servers[2], now + seconds(3)) == Approx(1));
        }
    }

    SECTION("failed connects cause a backoff that doubles up to two seconds")
    {
        Duration last {};
        for (int i = 0; i < 8; ++i) {
            recordConnect(server, false, milliseconds(1), now);
            const Duration backoff = server.backoffUntil - now;
            CHECK(backoff >= last);
            CHECK(backoff <= seconds(2));
            last = backoff;
        }
        CHECK(last == seconds(2));
        recordConnect(server, true, milliseconds(1), now);
        CHECK(server.backoffUntil <= now);
    }
}

TEST_CASE("Processing times of a route")
{
    ProcessingTimeEstimate estimate = initialProcessingTimeEstimate(milliseconds(500));

    SECTION("samples that include unobserved queueing hardly change the estimate")
    {
        for (int i = 0; i < 50; ++i)
            recordProcessingTime(estimate, CacheAffinity::Cached, i % 4 == 0 ? milliseconds(900) : milliseconds(200));
        CHECK(estimate.cached > milliseconds(190));
        CHECK(estimate.cached < milliseconds(400));
    }
}
