#include "steering/servertable.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

using namespace clementinefall;
using namespace clementinefall::steering;

namespace {

constexpr TimePoint start { seconds(1'000) };

/// One zone with one entry instance and \a count servers of four slots.
bundle::Bundle oneZone(unsigned count)
{
    bundle::Bundle bundle;
    bundle.version = 1;
    bundle.zones = { { "a", "here" } };
    bundle.entryInstances = { { "e", "a", {}, {}, {} } };
    bundle.services.emplace_back().name = "s";
    for (unsigned at = 0; at < count; ++at)
        bundle.services[0].servers.push_back({ std::to_string(at), "a", {}, 4, 100 });
    return bundle;
}

ServerTable warmTable(unsigned count, bool isWarm = true)
{
    ServerTable table;
    const auto snapshot = buildSnapshot(oneZone(count), "e");
    applySnapshot(table, *snapshot, start, isWarm);
    ShareHistory history("e", 1, start);
    history.adopt(slotShares(*snapshot, 0));
    history.settle(start);
    applyShares(table, history, start);
    return table;
}

void attempt(ServerTable& table, ServerPosition server, AttemptOutcome::Kind kind, TimePoint now, int latencyMs = 10)
{
    ++table.servers[server].inFlight;
    recordOutcome(table, 0, server, { kind, milliseconds(latencyMs), now }, now);
}

using Kind = AttemptOutcome::Kind;

} // namespace

TEST_CASE("Selection agrees with a reference implementation")
{
    rc::prop("for random loads, shares, drains, ejections and exclusions", [](std::uint64_t seed) {
        Random random(seed);
        ServerTable table = warmTable(1 + static_cast<unsigned>(randomBelow(random, 6)));
        std::vector<ServerPosition> excluded;
        std::vector<std::pair<double, ServerPosition>> eligible;
        bool areAllUnhealthy = true;
        for (ServerPosition at = 0; at < table.servers.size(); ++at) {
            ServerState& server = table.servers[at];
            server.share = static_cast<unsigned>(randomBelow(random, 5));
            server.inFlight = static_cast<unsigned>(randomBelow(random, 5));
            server.samples = 5;
            server.errorRate = randomUnit(random);
            server.ramp = 0.1 + 0.9 * randomUnit(random);
            if (randomBelow(random, 5) == 0)
                server.drainedSince[randomBelow(random, 3)] = start;
            if (randomBelow(random, 5) == 0)
                server.ejectedUntil = start + seconds(1);
            if (randomBelow(random, 5) == 0)
                excluded.push_back(at);
            areAllUnhealthy = areAllUnhealthy && (server.isLeaving() || server.ejectedUntil || server.errorRate > 0.5);
        }
        for (ServerPosition at = 0; at < table.servers.size(); ++at) {
            const ServerState& server = table.servers[at];
            unsigned usable = std::max(1U, static_cast<unsigned>(server.share * server.ramp));
            usable = areAllUnhealthy ? server.share : server.ejectedUntil || server.share == 0 ? 0 : usable;
            if (server.isLeaving() || server.inFlight >= usable
                || std::find(excluded.begin(), excluded.end(), at) != excluded.end())
                continue;
            const double quality = areAllUnhealthy ? 1 : std::max(0.05, 1 - server.errorRate);
            eligible.emplace_back((server.inFlight + 1) / (server.share * server.ramp * quality), at);
        }
        std::sort(eligible.begin(), eligible.end());
        for (int repeat = 0; repeat < 20; ++repeat) {
            const auto chosen = selectServer(table, 0, excluded, start, random);
            RC_ASSERT(chosen.has_value() == !eligible.empty());
            if (!chosen)
                continue;
            const auto found = std::find_if(
                eligible.begin(), eligible.end(), [&](const auto& entry) { return entry.second == *chosen; });
            RC_ASSERT(found != eligible.end());
            // With two candidates, the worst of several eligible servers is never selected.
            if (eligible.size() > 1 && eligible.front().first < eligible.back().first)
                RC_ASSERT(found->first < eligible.back().first);
        }
    });
}

TEST_CASE("Drains")
{
    ServerTable table = warmTable(2);
    Random random(1);
    attempt(table, 0, Kind::Success, start);

    SECTION("a draining server receives no request once any source has reported the drain")
    {
        const auto source = GENERATE(DrainSource::Platform, DrainSource::Operator, DrainSource::Server);
        recordDrain(table, "s/0", source, true, start);
        for (int count = 0; count < 4; ++count)
            CHECK(admit(table, 0, bundle::Priority::Critical, {}, start, random).server == ServerPosition(1));
        CHECK_FALSE(admit(table, 0, bundle::Priority::Critical, {}, start, random).server);
        recordDrain(table, "s/1", source, true, start);
        CHECK(admit(table, 0, bundle::Priority::Critical, {}, start, random).rejection == ResultCode::NotRunNoServer);
    }

    SECTION("the time of the first report counts, also when its source repeats it or another source follows")
    {
        recordDrain(table, "s/0", DrainSource::Server, true, start);
        recordDrain(table, "s/0", DrainSource::Platform, true, start + seconds(1));
        recordDrain(table, "s/0", DrainSource::Server, true, start + seconds(2));
        CHECK(table.servers[0].leavingSince() == start);
        recordDrain(table, "s/0", DrainSource::Server, false, start + seconds(3));
        CHECK(table.servers[0].isLeaving());
        recordDrain(table, "s/0", DrainSource::Platform, false, start + seconds(3));
        CHECK_FALSE(table.servers[0].isLeaving());
        CHECK(table.servers[0].ramp == Approx(0.1));
    }
}

TEST_CASE("Health")
{
    ServerTable table = warmTable(6);
    Random random(2);
    const auto failAll = [&](ServerPosition server) {
        for (int count = 0; count < 20; ++count)
            attempt(table, server, Kind::ServerError, start);
    };
    for (ServerPosition at = 0; at < 6; ++at)
        attempt(table, at, Kind::Success, start);

    SECTION("at most a third of the pool is ejected, so that a common fault does not empty it, and servers return cold")
    {
        for (ServerPosition at = 0; at < 4; ++at)
            failAll(at);
        CHECK(std::count_if(table.servers.begin(), table.servers.end(), [](const ServerState& server) {
            return server.ejectedUntil.has_value();
        }) == 2);
        tick(table, start + seconds(5));
        CHECK_FALSE(table.servers[0].ejectedUntil);
        CHECK(table.servers[0].ramp == Approx(0.1));
    }

    SECTION("a server that is much slower than the others is ejected")
    {
        for (int count = 0; count < 10; ++count)
            attempt(table, 3, Kind::Success, start, 200);
        CHECK(table.servers[3].ejectedUntil);
    }

    SECTION("when all servers are unhealthy the load is spread evenly instead of overloading the least unhealthy one")
    {
        for (ServerPosition at = 0; at < 6; ++at)
            failAll(at);
        table.servers[5].errorRate = 0.6;
        std::map<ServerPosition, int> counts;
        for (int count = 0; count < 24; ++count)
            ++counts[admit(table, 0, bundle::Priority::Critical, {}, start, random).server.value()];
        CHECK(counts.size() == 6);
        CHECK(std::all_of(counts.begin(), counts.end(), [](const auto& entry) { return entry.second == 4; }));
    }

    SECTION("failed probes have no effect while an attempt succeeded in the last 10 s")
    {
        const double before = serverQuality(table.servers[0], start);
        recordProbe(table, 0, false);
        CHECK(serverQuality(table.servers[0], start) == before);
        CHECK(serverQuality(table.servers[0], start + seconds(10)) < 0.1);
    }

    SECTION("a load report loses its effect with age, so that a stuck load endpoint does not starve a server")
    {
        recordReport(table, 0, 1.0, start);
        CHECK(serverQuality(table.servers[0], start) == Approx(0.5));
        CHECK(serverQuality(table.servers[0], start + seconds(5)) > 0.98);
        recordReport(table, 0, 0.0, start - seconds(1));
        CHECK(serverQuality(table.servers[0], start) == Approx(0.5));
    }

    SECTION("a slot of a request with unknown outcome is held until its deadline")
    {
        ++table.servers[0].inFlight;
        recordOutcome(table, 0, 0, { Kind::Unknown, {}, start + seconds(2) }, start);
        tick(table, start + milliseconds(1'999));
        CHECK(table.servers[0].inFlight == 1);
        tick(table, start + seconds(2));
        CHECK(table.servers[0].inFlight == 0);
    }
}

TEST_CASE("Ramp and shedding")
{
    Random random(3);

    SECTION("a cold server starts at a tenth of its share and ramps up by a factor of 1.5 per second unless its "
            "latency rises")
    {
        ServerTable table = warmTable(1, false);
        CHECK(table.servers[0].ramp == Approx(0.1));
        attempt(table, 0, Kind::Success, start);
        for (int second = 1; second <= 3; ++second)
            tick(table, start + seconds(second));
        CHECK(table.servers[0].ramp == Approx(0.1 * 1.5 * 1.5 * 1.5));
        table.servers[0].latencyMs = 2 * table.servers[0].baselineMs;
        tick(table, start + seconds(4));
        CHECK(table.servers[0].ramp == Approx(0.1 * 1.5 * 1.5 * 1.5));
    }

    SECTION("bulk requests are rejected first and critical ones last")
    {
        ServerTable table = warmTable(5);
        const auto fill = [&](bundle::Priority priority) {
            int count = 0;
            while (admit(table, 0, priority, {}, start, random).server)
                ++count;
            return count;
        };
        CHECK(fill(bundle::Priority::Bulk) == 14);
        CHECK(fill(bundle::Priority::Upload) == 2);
        CHECK(fill(bundle::Priority::Lookup) == 2);
        CHECK(fill(bundle::Priority::Critical) == 2);
        CHECK(freeSlots(table, 0, start) == 0);
    }
}
