// Measures steering decisions: bench_steering shift-cap|headroom|drain|cold|decision-cost.
// Exit status: 0 when all bounds hold, 1 when one is exceeded, 2 for a usage error.

#include "steering/benchfleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string_view>

namespace {

std::uint64_t allocations = 0;

} // namespace

// Counts all allocations of the program, to check that decisions do not allocate.
void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    std::abort();
}

void* operator new(std::size_t size, const std::nothrow_t&) noexcept
{
    ++allocations;
    return std::malloc(size == 0 ? 1 : size);
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
void operator delete(void* memory, const std::nothrow_t&) noexcept { std::free(memory); }

using namespace clementinefall;
using namespace clementinefall::steering;
using namespace clementinefall::steering::bench;

namespace {

constexpr std::array deployments { Deployment::GraniteRidge, Deployment::Inat };
constexpr std::array policies { Policy::Steering, Policy::RoundRobin, Policy::LeastReportedLoad };

struct Verdict {
    bool hasPassed = true;
    std::string summary;
};

void printLine(std::string_view name, const Scenario& scenario, const RunResult& result)
{
    const RunMetrics& metrics = result.metrics;
    fmt::print("{} deployment={} policy={} offered={} completed={} refused={} cap_window={:.3f} cap_total={:.3f} "
               "server_load={:.3f} region_load={:.3f} p50_ms={:.1f} p99_ms={:.1f} work_after_drain_ms={}\n",
        name, deploymentName(scenario.deployment), policyName(scenario.policy), metrics.offered, metrics.completed,
        metrics.rejected, metrics.maximumWindowShare, metrics.maximumTotalShare, metrics.maximumServerLoad,
        metrics.maximumRegionLoad, percentile(metrics.latenciesMs, 0.5), percentile(metrics.latenciesMs, 0.99),
        scenario.drainsServer ? std::chrono::duration_cast<milliseconds>(result.workAfterDrain).count() : 0);
}

/// Runs \a scenario with all policies on both deployments. \a isBroken returns whether a result exceeds the bound of
/// the case. Steering must stay within it and each naive policy must exceed it, otherwise the case would prove nothing.
template <typename Broken, typename Measure>
Verdict compare(std::string_view name, Scenario scenario, Broken isBroken, Measure measure)
{
    Verdict verdict;
    for (const Deployment deployment : deployments) {
        scenario.deployment = deployment;
        double baseline = 0;
        for (const Policy policy : policies) {
            scenario.policy = policy;
            const RunResult result = runScenario(scenario);
            printLine(name, scenario, result);
            const double value = measure(result);
            baseline = policy == Policy::Steering ? value : baseline;
            const bool isExpected = isBroken(result, baseline) == (policy != Policy::Steering);
            verdict.hasPassed = verdict.hasPassed && isExpected;
            verdict.summary += fmt::format("{}{}/{}={:.3f}", verdict.summary.empty() ? "" : ",",
                deploymentName(deployment), policyName(policy), value);
        }
    }
    return verdict;
}

bool isOverloaded(const RunMetrics& metrics) { return metrics.maximumServerLoad > 1 || metrics.maximumRegionLoad > 1; }

Verdict shiftCap()
{
    Scenario scenario;
    scenario.hotLoad = 1.5;
    scenario.capPerSecond = 40;
    scenario.capTotal = 500;
    scenario.hasRestarts = true;
    return compare(
        "shift-cap", scenario,
        [](const RunResult& result, double) {
            return result.metrics.maximumWindowShare > 1 || result.metrics.maximumTotalShare > 1
                || isOverloaded(result.metrics);
        },
        [](const RunResult& result) { return result.metrics.maximumWindowShare; });
}

Verdict headroom()
{
    Scenario scenario;
    scenario.load = 0.7;
    scenario.hotLoad = 1.3;
    scenario.capPerSecond = 1'000;
    return compare(
        "headroom", scenario, [](const RunResult& result, double) { return isOverloaded(result.metrics); },
        [](const RunResult& result) { return result.metrics.maximumServerLoad; });
}

Verdict drain()
{
    Scenario scenario;
    scenario.drainsServer = true;
    return compare(
        "drain", scenario, [](const RunResult& result, double) { return result.workAfterDrain > seconds(3); },
        [](const RunResult& result) { return std::chrono::duration<double>(result.workAfterDrain).count(); });
}

Verdict cold()
{
    Scenario scenario;
    scenario.hasColdServer = true;
    scenario.load = 0.6;
    scenario.hotLoad = 0.6;
    // The naive policies also queue requests; the bound applies to the latency after the cold server joined.
    return compare(
        "cold", scenario,
        [](const RunResult& result, double steeringP99Ms) {
            return isOverloaded(result.metrics) || percentile(result.metrics.latenciesMs, 0.99) > steeringP99Ms * 1.1;
        },
        [](const RunResult& result) { return percentile(result.metrics.latenciesMs, 0.99); });
}

struct Cost {
    double nanoseconds = 0;
    double allocations = 0;
};

/// Median time of a decision over five rounds and mean number of allocations.
template <typename Decide> Cost costOf(Decide decide)
{
    constexpr int rounds = 5;
    constexpr int decisions = 20'000;
    std::array<double, rounds> times {};
    const std::uint64_t before = allocations;
    for (double& time : times) {
        const auto begin = Clock::now();
        for (int at = 0; at < decisions; ++at)
            decide();
        time = std::chrono::duration<double, std::nano>(Clock::now() - begin).count() / decisions;
    }
    const auto made = static_cast<double>(allocations - before);
    std::sort(times.begin(), times.end());
    return { times[rounds / 2], made / (rounds * decisions) };
}

/// Bundle of the design scale: 12 regions, 38 zones, 750 instances, 6 services with 40 servers in each zone.
bundle::Bundle designScaleBundle()
{
    constexpr unsigned regionCount = 12;
    constexpr unsigned zoneCount = 38;
    constexpr unsigned instanceCount = 750;
    constexpr unsigned serviceCount = 6;
    constexpr unsigned serversPerZone = 40;
    bundle::Bundle bundle;
    bundle.version = 1;
    for (unsigned zone = 0; zone < zoneCount; ++zone)
        bundle.zones.push_back({ fmt::format("z{}", zone), fmt::format("r{}", zone % regionCount) });
    for (unsigned at = 0; at < instanceCount; ++at)
        bundle.entryInstances.push_back({ fmt::format("e{}", at), fmt::format("z{}", at % zoneCount), {}, {}, {} });
    for (unsigned service = 0; service < serviceCount; ++service) {
        bundle.services.emplace_back().name = fmt::format("s{}", service);
        for (unsigned at = 0; at < serversPerZone * zoneCount; ++at)
            bundle.services.back().servers.push_back(
                { fmt::format("s{}-{}", service, at), fmt::format("z{}", at % zoneCount), {}, 64, 400 });
        for (unsigned region = 1; region < regionCount; ++region)
            bundle.shiftCaps.push_back(
                { bundle.services.back().name, "r0", fmt::format("r{}", region), 1'000'000, 1ULL << 50U, 1 });
    }
    for (unsigned from = 0; from < regionCount; ++from) {
        for (unsigned to = 0; to < regionCount; ++to) {
            if (from != to)
                bundle.links.push_back(
                    { fmt::format("r{}", from), fmt::format("r{}", to), 1'000, milliseconds(30 + (from + to) % 40) });
        }
    }
    return bundle;
}

ClientBlockTable clientBlocks(unsigned count, unsigned sites)
{
    std::vector<ClientBlock> blocks;
    for (unsigned at = 0; at < count; ++at)
        blocks.push_back({ at * 256, at * 256 + 255, at, at % sites });
    std::vector<SiteRanking> rankings(sites);
    for (unsigned site = 0; site < sites; ++site) {
        for (unsigned rank = 0; rank < rankedSiteCount; ++rank)
            rankings[site][rank] = static_cast<std::uint8_t>((site + rank) % sites);
    }
    auto table = buildClientBlocks(std::move(blocks), std::move(rankings));
    return std::move(valueOf(table));
}

/// Measures and prints the cost of each kind of decision of one instance and returns the highest, in ns. Sets
/// \a hasAllocated when a decision allocates.
double measureDecisions(std::string_view size, const bundle::Bundle& bundle, unsigned blockCount, bool& hasAllocated)
{
    Random random(7);
    const TimePoint now { seconds(1'000) };
    const auto snapshot = buildSnapshot(bundle, bundle.entryInstances.front().name);
    FleetView view = makeFleetView(*snapshot, MemberState::Live);
    OverflowTable overflow = makeOverflowTable(*snapshot);
    ServerTable table;
    applySnapshot(table, *snapshot, now, true);
    for (ServerState& server : table.servers) {
        server.share = server.slots;
        server.inFlight = static_cast<unsigned>(randomBelow(random, server.slots));
    }
    ShiftCapTable caps;
    applySnapshot(caps, *snapshot);
    caps.startedAt = now - seconds(2);
    caps.lastTick = now;
    for (ShiftCapShare& share : caps.shares)
        share.perSecond = share.reserved = 1ULL << 40U;
    for (Index service = 0; service < snapshot->services.size(); ++service) {
        for (Index zone = 0; zone < snapshot->zones.size(); ++zone)
            recordGrant(view, overflow, *snapshot, service, zone, 1U << 30U, now);
    }
    const ClientBlockTable blocks = clientBlocks(blockCount, 93);
    std::vector<Index> siteZones;
    for (Index site = 0; site < 93; ++site)
        siteZones.push_back(site % static_cast<Index>(snapshot->zones.size()));
    const Index zone = *snapshot->localZone;
    std::uint64_t used = 0;

    double maximumNs = 0;
    const auto report = [&](std::string_view decision, const Cost& cost) {
        fmt::print("decision-cost size={} decision={} ns={:.0f} allocations={:.3f}\n", size, decision, cost.nanoseconds,
            cost.allocations);
        maximumNs = std::max(maximumNs, cost.nanoseconds);
        hasAllocated = hasAllocated || cost.allocations > 0;
    };
    report("lookup", costOf([&] { used += rankEntryInstances(*snapshot, 0, zone, view, now, random).size; }));
    report("client-block", costOf([&] {
        const auto address = static_cast<std::uint32_t>(randomBelow(random, blockCount * 256ULL));
        used += zoneOfClient(blocks, address, siteZones, *snapshot, view).value_or(0);
    }));
    report("admit-and-outcome", costOf([&] {
        const auto admission = admit(table, 0, bundle::Priority::Critical, {}, now, random);
        used += admission.server.value_or(0);
        if (admission.server)
            recordOutcome(table, 0, *admission.server, { AttemptOutcome::Kind::Success, milliseconds(5), now }, now);
    }));
    report("overflow", costOf([&] {
        used += chooseOverflow(overflow, caps, *snapshot, view, 0, zone, bundle::Priority::Critical, now)
                    .zone.value_or(0);
    }));
    // The naive policy on the same servers: a scan for the least reported load in the local zone.
    report("naive-least-load", costOf([&] {
        const auto& pool = table.pools[0].servers;
        used += *std::min_element(pool.begin(), pool.end(), [&](ServerPosition a, ServerPosition b) {
            return table.servers[a].reportedLoad < table.servers[b].reportedLoad;
        });
    }));
    if (used == 0)
        fmt::print("decision-cost size={} made no decision\n", size);
    return maximumNs;
}

Verdict decisionCost()
{
    // 610,000 lookups/s over 750 instances are 814/s; 50 µs each are 4.1% of a core, the whole control budget.
    constexpr double limitNs = 50'000;
    bool hasAllocated = false;
    double maximumNs = 0;
    for (const Deployment deployment : deployments) {
        maximumNs = std::max(maximumNs,
            measureDecisions(
                deploymentName(deployment), deploymentBundle(deployment, 1'000, 1ULL << 50U), 1'000, hasAllocated));
    }
    maximumNs = std::max(maximumNs, measureDecisions("design-scale", designScaleBundle(), 140'000, hasAllocated));
    return { !hasAllocated && maximumNs < limitNs,
        fmt::format("max_ns={:.0f},allocations={}", maximumNs, hasAllocated ? 1 : 0) };
}

struct Case {
    std::string_view name;
    Verdict (*run)();
};

constexpr std::array<Case, 5> cases { { { "shift-cap", shiftCap }, { "headroom", headroom }, { "drain", drain },
    { "cold", cold }, { "decision-cost", decisionCost } } };

} // namespace

int main(int argc, char** argv)
{
    const auto found = std::find_if(
        cases.begin(), cases.end(), [&](const Case& entry) { return argc == 2 && entry.name == argv[1]; });
    if (found == cases.end()) {
        fmt::print(stderr, "usage: bench_steering shift-cap|headroom|drain|cold|decision-cost\n");
        return 2;
    }
    const Verdict verdict = found->run();
    fmt::print("RESULT {} {} {}\n", found->name, verdict.hasPassed ? "pass" : "fail", verdict.summary);
    return verdict.hasPassed ? 0 : 1;
}
