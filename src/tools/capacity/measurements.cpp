#include "measurements.h"

#include "bundle/adoption.h"
#include "bundle/bundlecodec.h"
#include "bundle/bundlediff.h"
#include "bundle/rolloutrecords.h"
#include "bundle/testbundles.h"
#include "bundle/textdelta.h"
#include "peers/simulateddissemination.h"
#include "platform/platformprotocol.h"
#include "steering/locality.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <ctime>

namespace clementinefall::capacity {

namespace {

using membership::FakeFleet;
using peers::SimulatedDissemination;

constexpr std::size_t designRegionCount = 12;
constexpr std::size_t designZoneCount = 38;
constexpr std::size_t designInstanceCount = 750;
constexpr std::size_t designSiteCount = 93;
constexpr std::size_t services = 6;
constexpr double lossFraction = 0.01;
constexpr milliseconds idleDuration { 10'000 };
constexpr milliseconds disseminationLimit { 20'000 };

/// Processor time of the calling thread, which depends less on other load of the machine than wall-clock time.
double cpuMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/// Allocated heap bytes, including large blocks that the allocator maps individually.
double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Processor time of one call: the median of five rounds of \a calls calls each.
template <typename Run> double medianMicroseconds(std::size_t calls, Run run)
{
    std::array<double, 5> times {};
    for (double& time : times) {
        const double start = cpuMicroseconds();
        for (std::size_t i = 0; i < calls; ++i)
            run();
        time = (cpuMicroseconds() - start) / static_cast<double>(calls);
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

/// Unique address for each \a number.
HostPort addressOf(std::size_t number, std::uint16_t port)
{
    return { fmt::format("10.{}.{}.{}", number / 62'500, number / 250 % 250, 1 + number % 250), port };
}

/// Bundle with the regions, zones, services and links of the design scale.
bundle::Bundle makeBundle(const bundle::TestOperators& operators, std::size_t instances, std::size_t servers)
{
    bundle::Bundle bundle = operators.bundle(1, "ida");
    bundle.zones.clear();
    bundle.entryInstances.clear();
    bundle.services.clear();
    bundle.shiftCaps.clear();
    bundle.links.clear();
    for (std::size_t zone = 0; zone < designZoneCount; ++zone)
        bundle.zones.push_back({ fmt::format("zone-{}", zone), fmt::format("region-{}", zone % designRegionCount) });
    for (std::size_t i = 0; i < instances; ++i)
        bundle.entryInstances.push_back({ fmt::format("entry-{}", i), bundle.zones[i % designZoneCount].name,
            addressOf(i, 8000), addressOf(i, 8001), addressOf(i, 8002) });
    for (std::size_t i = 0; i < services; ++i) {
        bundle.services.emplace_back().name = fmt::format("service-{}", i);
        bundle.services.back().team = "registry";
    }
    for (std::size_t i = 0; i < servers; ++i)
        bundle.services[i % services].servers.push_back({ fmt::format("server-{}", i),
            bundle.zones[i / services % designZoneCount].name, addressOf(10'000 + i, 9000), 5, 400 });
    for (std::size_t from = 0; from < designRegionCount; ++from) {
        for (std::size_t to = 0; to < designRegionCount; ++to) {
            if (from == to)
                continue;
            const std::string source = fmt::format("region-{}", from);
            const std::string target = fmt::format("region-{}", to);
            bundle.links.push_back({ source, target, 100'000'000, milliseconds(30 + (from + to) % 40) });
            bundle.shiftCaps.push_back({ "service-0", source, target, 100, 1'000'000, 1 });
        }
    }
    return bundle;
}

} // namespace

std::vector<Figure> measureControl(std::size_t members)
{
    SimulatedDissemination spread(members, 1000 * members, lossFraction);
    spread.fleet.encode = true;
    for (FakeFleet::Node& node : spread.fleet.nodes)
        node.messagesSent = node.bytesSent = 0;
    const double start = cpuMicroseconds();
    spread.runFor(idleDuration);
    const double usedMicroseconds = cpuMicroseconds() - start;
    double messages = 0;
    double bytes = 0;
    for (const FakeFleet::Node& node : spread.fleet.nodes) {
        messages += static_cast<double>(node.messagesSent);
        bytes += static_cast<double>(node.bytesSent);
    }
    const double instanceSeconds = static_cast<double>(members) * std::chrono::duration<double>(idleDuration).count();

    spread.publish(randomBelow(spread.fleet.random, members), 1);
    const auto disseminationTime = spread.timeToAll(1, disseminationLimit);
    std::size_t calls = 0;
    std::size_t maximumServed = 0;
    for (const SimulatedDissemination::Node& node : spread.nodes) {
        calls += node.announcesSent + node.fetchesSent;
        maximumServed = std::max(maximumServed, node.bundlesServed);
    }
    return { { "membership_step_per_s_us", members, usedMicroseconds / instanceSeconds },
        { "membership_messages_per_s", members, messages / instanceSeconds },
        { "membership_bytes_per_s", members, bytes / instanceSeconds },
        { "spread_to_all_s", members,
            std::chrono::duration<double>(disseminationTime.value_or(disseminationLimit)).count() },
        { "spread_calls_per_change", members, static_cast<double>(calls) / static_cast<double>(members) },
        { "spread_most_served", members, static_cast<double>(maximumServed) } };
}

std::vector<Figure> measureMemberTable(std::size_t members)
{
    Random random(1);
    const TimePoint now { seconds(1000) };
    const double before = heapBytes();
    membership::MemberRecord self { "entry-0", "zone-0", addressOf(0, 8001), 1 };
    auto table = membership::makeMemberTable(self, {}, now, random);
    for (std::size_t i = 1; i <= members; ++i)
        membership::addMember(table,
            { fmt::format("entry-{}", i), fmt::format("zone-{}", i % designZoneCount), addressOf(i, 8001), i + 1 },
            now);
    return { { "member_table_bytes", members, heapBytes() - before } };
}

std::vector<Figure> measureBundle(std::size_t servers)
{
    constexpr std::size_t calls = 3;
    const bundle::TestOperators operators;
    const bundle::Bundle source = makeBundle(operators, designInstanceCount, servers);
    const std::string text = bundle::serializeBundle(source);
    const double parseMicroseconds = medianMicroseconds(calls, [&] { (void)bundle::parseBundle(text); });

    const double beforeBundle = heapBytes();
    auto parsed = bundle::parseBundle(text);
    if (!isOk(parsed)) {
        fmt::print("capacity error={}\n", errorOf(parsed).text());
        return {};
    }
    const auto held = std::make_shared<const bundle::Bundle>(std::move(valueOf(parsed)));
    const double bundleHeap = heapBytes() - beforeBundle;

    bundle::Candidate candidate;
    candidate.content = { held, { operators.sign("ana", *held) } };
    candidate.digest = bundle::bundleDigest(*held);
    const bundle::AdoptionSettings settings { "zone-0", { operators.keys.at("ana").publicKey } };
    auto outcome = bundle::AdoptionOutcome::Rejected;
    const double adoptMicroseconds
        = medianMicroseconds(calls, [&] { outcome = bundle::adoptBundle({}, candidate, settings).outcome; });
    if (outcome != bundle::AdoptionOutcome::Adopted) {
        fmt::print("capacity error=the bundle was not adopted\n");
        return {};
    }

    const double buildMicroseconds
        = medianMicroseconds(calls, [&] { (void)steering::buildSnapshot(*held, "entry-0"); });
    const double beforeSnapshot = heapBytes();
    const auto snapshot = steering::buildSnapshot(*held, "entry-0");
    const double snapshotHeap = heapBytes() - beforeSnapshot;

    bundle::Bundle changed = *held;
    changed.version = 2;
    changed.drains.push_back({ bundle::DrainKind::BackendServer, "server-0" });
    bundle::SignOffRecord signOffs;
    signOffs.version = changed.version;
    signOffs.digest = bundle::bundleDigest(changed);
    signOffs.signOffs = { operators.sign("ana", changed), operators.sign("eva", changed) };
    const double deltaBytes = static_cast<double>(bundle::encodeTextDelta(text, bundle::serializeBundle(changed)).size()
        + bundle::serializeSignOffs(signOffs).size());
    double changeBytes = 0;
    for (const bundle::Change& change : bundle::diffBundles(*held, changed))
        changeBytes += static_cast<double>(change.text().size());
    return { { "bundle_text_bytes", servers, static_cast<double>(text.size()) },
        { "bundle_change_bytes", servers, changeBytes }, { "bundle_delta_bytes", servers, deltaBytes },
        { "bundle_heap_bytes", servers, bundleHeap }, { "snapshot_heap_bytes", servers, snapshotHeap },
        { "bundle_parse_us", servers, parseMicroseconds }, { "bundle_adopt_us", servers, adoptMicroseconds },
        { "snapshot_build_us", servers, buildMicroseconds } };
}

std::vector<Figure> measureLookup(std::size_t members)
{
    constexpr std::size_t calls = 20'000;
    const bundle::TestOperators operators;
    const auto snapshot
        = steering::buildSnapshot(makeBundle(operators, members, designZoneCount * services), "entry-0");
    const steering::FleetView view = steering::makeFleetView(*snapshot, steering::MemberState::Live);
    Random random(7);
    const TimePoint now { seconds(1000) };
    std::size_t ranked = 0;
    const double microseconds = medianMicroseconds(calls, [&] {
        const auto zone = static_cast<steering::Index>(randomBelow(random, designZoneCount));
        ranked += steering::rankEntryInstances(*snapshot, 0, zone, view, now, random).size;
    });
    if (ranked == 0)
        return {};
    return { { "lookup_rank_ns", members, microseconds * 1000 } };
}

std::vector<Figure> measureClientBlocks(std::size_t blocks)
{
    constexpr std::size_t calls = 20'000;
    constexpr std::uint32_t blockSize = 256;
    const bundle::TestOperators operators;
    const auto snapshot = steering::buildSnapshot(makeBundle(operators, designInstanceCount, services), "entry-0");
    const steering::FleetView view = steering::makeFleetView(*snapshot, steering::MemberState::Live);
    std::vector<steering::Index> siteZones;
    for (std::size_t site = 0; site < designSiteCount; ++site)
        siteZones.push_back(static_cast<steering::Index>(site % designZoneCount));

    const double before = heapBytes();
    std::vector<steering::ClientBlock> ranges;
    ranges.reserve(blocks);
    for (std::uint32_t i = 0; i < blocks; ++i)
        ranges.push_back(
            { i * blockSize, i * blockSize + blockSize - 1, i, static_cast<std::uint32_t>(i % designSiteCount) });
    std::vector<steering::SiteRanking> rankings(designSiteCount);
    for (std::size_t site = 0; site < designSiteCount; ++site) {
        for (std::size_t rank = 0; rank < steering::rankedSiteCount; ++rank)
            rankings[site][rank] = static_cast<std::uint8_t>((site + rank) % designSiteCount);
    }
    const auto table = steering::buildClientBlocks(std::move(ranges), std::move(rankings));
    const double heap = heapBytes() - before;
    if (!isOk(table))
        return {};

    Random random(7);
    std::size_t found = 0;
    const double microseconds = medianMicroseconds(calls, [&] {
        const auto address = static_cast<std::uint32_t>(randomBelow(random, blocks * blockSize));
        found += steering::zoneOfClient(valueOf(table), address, siteZones, *snapshot, view) ? 1 : 0;
    });
    if (found == 0)
        return {};
    return { { "blocks_heap_bytes", blocks, heap }, { "blocks_find_ns", blocks, microseconds * 1000 } };
}

std::vector<Figure> measurePlatformList(std::size_t objects)
{
    platform::ObjectList list;
    list.revision = objects;
    for (std::size_t version = 1; version <= objects; ++version)
        list.objects.push_back({ std::to_string(version), version });
    return { { "platform_list_bytes", objects, static_cast<double>(platform::serializeObjectList(list).size()) } };
}

} // namespace clementinefall::capacity
