#include "steering/routing.h"

#include "steering/sharehistory.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace clementinefall::steering {

namespace {

void indexZones(RoutingSnapshot& snapshot, const bundle::Bundle& bundle)
{
    for (const bundle::Zone& zone : bundle.zones) {
        const auto [region, isNew]
            = snapshot.regionIndex.try_emplace(zone.region, static_cast<Index>(snapshot.regions.size()));
        if (isNew)
            snapshot.regions.push_back({ zone.region, {}, {} });
        const auto position = static_cast<Index>(snapshot.zones.size());
        if (!snapshot.zoneIndex.try_emplace(zone.name, position).second)
            continue;
        snapshot.zones.push_back({ zone.name, region->second, false, {} });
        snapshot.regions[region->second].zones.push_back(position);
    }
}

void indexLinks(RoutingSnapshot& snapshot, const bundle::Bundle& bundle)
{
    const std::size_t count = snapshot.regions.size();
    snapshot.delays.assign(count * count, unknownDelay);
    for (std::size_t region = 0; region < count; ++region)
        snapshot.delays[region * count + region] = milliseconds(0);
    for (const bundle::LinkBudget& link : bundle.links) {
        const auto from = find(snapshot.regionIndex, link.from);
        const auto to = find(snapshot.regionIndex, link.to);
        if (!from || !to || *from == *to)
            continue;
        snapshot.links.push_back({ link.from + '/' + link.to, *from, *to, link.bytesPerSecond });
        snapshot.delays[*from * count + *to] = link.delay;
    }
    // A link that is declared in one direction only provides the delay of both directions.
    for (std::size_t from = 0; from < count; ++from) {
        for (std::size_t to = 0; to < count; ++to) {
            if (snapshot.delays[from * count + to] == unknownDelay)
                snapshot.delays[from * count + to] = snapshot.delays[to * count + from];
        }
    }
    for (Index from = 0; from < count; ++from) {
        auto& others = snapshot.regions[from].othersByDelay;
        for (Index to = 0; to < count; ++to) {
            if (to != from)
                others.push_back(to);
        }
        std::stable_sort(others.begin(), others.end(),
            [&](Index a, Index b) { return snapshot.delay(from, a) < snapshot.delay(from, b); });
    }
}

struct DrainNames {
    std::set<std::string_view> servers;
    std::set<std::string_view> instances;
    std::set<std::string_view> zones;
};

DrainNames drainNames(const bundle::Bundle& bundle)
{
    DrainNames names;
    for (const bundle::Drain& drain : bundle.drains) {
        if (drain.kind == bundle::DrainKind::BackendServer)
            names.servers.insert(drain.name);
        else if (drain.kind == bundle::DrainKind::EntryInstance)
            names.instances.insert(drain.name);
        else
            names.zones.insert(drain.name);
    }
    return names;
}

void indexInstances(RoutingSnapshot& snapshot, const bundle::Bundle& bundle, const DrainNames& drains)
{
    for (const bundle::EntryInstance& instance : bundle.entryInstances) {
        const auto zone = find(snapshot.zoneIndex, instance.zone);
        const auto position = static_cast<Index>(snapshot.instances.size());
        if (!zone || !snapshot.instanceIndex.try_emplace(instance.name, position).second)
            continue;
        const bool isDrained = snapshot.zones[*zone].isDrained || drains.instances.contains(instance.name);
        snapshot.instances.push_back({ instance.name, *zone, instance.traffic, isDrained });
        snapshot.zones[*zone].instances.push_back(position);
    }
}

void indexServices(RoutingSnapshot& snapshot, const bundle::Bundle& bundle, const DrainNames& drains)
{
    for (const bundle::Service& service : bundle.services) {
        const auto position = static_cast<Index>(snapshot.services.size());
        if (!snapshot.serviceIndex.try_emplace(service.name, position).second)
            continue;
        ServiceRoute route;
        route.name = service.name;
        route.requestClass = service.requestClass;
        route.priority = service.priority;
        route.deadline = service.deadline;
        route.maximumBodyBytes = service.maximumBodyBytes;
        route.serversByZone.resize(snapshot.zones.size());
        route.slotsByZone.resize(snapshot.zones.size());
        for (const bundle::BackendServer& server : service.servers) {
            const auto zone = find(snapshot.zoneIndex, server.zone);
            if (!zone)
                continue;
            const bool isLeaving = snapshot.zones[*zone].isDrained || drains.servers.contains(server.name);
            route.serversByZone[*zone].push_back(static_cast<Index>(snapshot.servers.size()));
            route.slotsByZone[*zone] += isLeaving ? 0 : server.slots;
            snapshot.servers.push_back(
                { server.name, position, *zone, server.address, server.slots, server.maximumConnections, isLeaving });
        }
        snapshot.services.push_back(std::move(route));
    }
}

/// Zones of \a location, the name of a zone or of a region.
std::vector<bool> zonesOf(const RoutingSnapshot& snapshot, std::string_view location)
{
    std::vector<bool> result(snapshot.zones.size());
    for (std::size_t zone = 0; zone < result.size(); ++zone) {
        const ZoneRoute& route = snapshot.zones[zone];
        result[zone] = route.name == location || snapshot.regions[route.region].name == location;
    }
    return result;
}

void indexCaps(RoutingSnapshot& snapshot, const bundle::Bundle& bundle)
{
    for (const bundle::ShiftCap& cap : bundle.shiftCaps) {
        const auto service = find(snapshot.serviceIndex, cap.service);
        if (!service)
            continue;
        snapshot.services[*service].caps.push_back(static_cast<Index>(snapshot.caps.size()));
        snapshot.caps.push_back({ cap.service + '/' + cap.from + '/' + cap.to, *service, zonesOf(snapshot, cap.from),
            zonesOf(snapshot, cap.to), cap.perSecond, cap.total, cap.epoch });
    }
}

void setLocalSlots(RoutingSnapshot& snapshot)
{
    if (!snapshot.localZone)
        return;
    const auto& peers = snapshot.zones[*snapshot.localZone].instances;
    const auto position
        = static_cast<std::size_t>(std::find(peers.begin(), peers.end(), *snapshot.localInstance) - peers.begin());
    for (ServerRoute& server : snapshot.servers) {
        if (server.zone == *snapshot.localZone)
            server.localSlots = static_cast<unsigned>(divideSlots(snapshot, server)[position]);
    }
}

/// Weighted random sample of instances, taken in one pass: those with the smallest -ln(u) / weight for uniform u.
class GroupSample {
public:
    explicit GroupSample(std::size_t maximum)
        : limit(maximum)
    {
    }

    void offer(Index instance, double weight, Random& random)
    {
        const double key = -std::log(1.0 - randomUnit(random)) / weight;
        if (this->size == this->limit && key >= this->entries[this->size - 1].key)
            return;
        std::size_t at = this->size < this->limit ? this->size++ : this->size - 1;
        for (; at > 0 && this->entries[at - 1].key > key; --at)
            this->entries[at] = this->entries[at - 1];
        this->entries[at] = { key, instance };
    }

    bool isFull() const { return this->size == this->limit; }

    void addTo(RankedInstances& result) const
    {
        for (std::size_t at = 0; at < this->size; ++at)
            result.add(this->entries[at].instance);
    }

private:
    struct Entry {
        double key = 0;
        Index instance = 0;
    };

    std::array<Entry, maximumRankedPerGroup> entries {};
    std::size_t size = 0;
    std::size_t limit;
};

struct RankingContext {
    const RoutingSnapshot& snapshot;
    const FleetView& view;
    Random& random;

    void offerZone(Index zone, MemberState state, GroupSample& sample) const
    {
        for (const Index instance : this->snapshot.zones[zone].instances) {
            if (this->snapshot.instances[instance].isDrained || this->view.members[instance] != state)
                continue;
            sample.offer(instance, 1.0 + this->view.instanceHeadroom[instance], this->random);
        }
    }
};

/// The best other regions in rank order. A lookup response uses at most one group of them, so a fixed array suffices
/// and nothing is allocated.
struct RankedRegions {
    struct Entry {
        bool hasCap = false;
        milliseconds delay { 0 };
        unsigned headroom = 0;
        Index region = 0;
    };

    static bool isBetter(const Entry& a, const Entry& b)
    {
        if (a.hasCap != b.hasCap)
            return a.hasCap;
        return a.delay != b.delay ? a.delay < b.delay : a.headroom > b.headroom;
    }

    void offer(const Entry& entry)
    {
        if (this->size == this->entries.size() && !isBetter(entry, this->entries[this->size - 1]))
            return;
        std::size_t at = this->size < this->entries.size() ? this->size++ : this->size - 1;
        for (; at > 0 && isBetter(entry, this->entries[at - 1]); --at)
            this->entries[at] = this->entries[at - 1];
        this->entries[at] = entry;
    }

    std::array<Entry, maximumRankedPerGroup> entries {};
    std::size_t size = 0;
};

bool hasLiveInstance(const RoutingSnapshot& snapshot, const FleetView& view, Index region)
{
    for (const Index zone : snapshot.regions[region].zones) {
        for (const Index instance : snapshot.zones[zone].instances) {
            if (!snapshot.instances[instance].isDrained && view.members[instance] == MemberState::Live)
                return true;
        }
    }
    return false;
}

bool hasCapTo(const RoutingSnapshot& snapshot, Index service, Index fromZone, Index region)
{
    const auto& caps = snapshot.services[service].caps;
    return std::any_of(caps.begin(), caps.end(), [&](Index at) {
        const CapRoute& cap = snapshot.caps[at];
        const auto& zones = snapshot.regions[region].zones;
        return cap.perSecond > 0 && cap.fromZones[fromZone]
            && std::any_of(zones.begin(), zones.end(), [&](Index zone) { return cap.toZones[zone]; });
    });
}

RankedRegions rankRegions(
    const RoutingSnapshot& snapshot, Index service, Index callerZone, const FleetView& view, TimePoint now)
{
    const Index callerRegion = snapshot.zones[callerZone].region;
    RankedRegions ranked;
    for (const Index region : snapshot.regions[callerRegion].othersByDelay) {
        if (!hasLiveInstance(snapshot, view, region))
            continue;
        unsigned headroom = 0;
        for (const Index zone : snapshot.regions[region].zones)
            headroom += validHeadroom(snapshot, view, service, zone, now);
        ranked.offer({ hasCapTo(snapshot, service, callerZone, region), snapshot.delay(callerRegion, region), headroom,
            region });
    }
    return ranked;
}

} // namespace

std::vector<std::uint64_t> divideSlots(const RoutingSnapshot& snapshot, const ServerRoute& server)
{
    std::vector<std::string_view> holders;
    for (const Index instance : snapshot.zones[server.zone].instances)
        holders.emplace_back(snapshot.instances[instance].name);
    return divideShares(server.slots, snapshot.services[server.service].name + '/' + server.name, holders);
}

std::optional<Index> find(const NameIndex& index, std::string_view name)
{
    const auto found = index.find(name);
    return found == index.end() ? std::nullopt : std::optional(found->second);
}

std::shared_ptr<const RoutingSnapshot> buildSnapshot(const bundle::Bundle& bundle, std::string_view localInstance)
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->version = bundle.version;
    snapshot->lookupTtl = bundle.lookupTtl;
    indexZones(*snapshot, bundle);
    const DrainNames drains = drainNames(bundle);
    for (ZoneRoute& zone : snapshot->zones)
        zone.isDrained = drains.zones.contains(zone.name);
    indexLinks(*snapshot, bundle);
    indexInstances(*snapshot, bundle, drains);
    indexServices(*snapshot, bundle, drains);
    indexCaps(*snapshot, bundle);
    snapshot->localInstance = find(snapshot->instanceIndex, localInstance);
    if (snapshot->localInstance)
        snapshot->localZone = snapshot->instances[*snapshot->localInstance].zone;
    setLocalSlots(*snapshot);
    return snapshot;
}

FleetView makeFleetView(const RoutingSnapshot& snapshot, MemberState state)
{
    FleetView view;
    view.members.assign(snapshot.instances.size(), state);
    view.instanceHeadroom.assign(snapshot.instances.size(), 0);
    view.grants.resize(snapshot.services.size() * snapshot.zones.size());
    if (snapshot.localZone)
        view.peerSlots.resize(snapshot.services.size() * snapshot.zones[*snapshot.localZone].instances.size());
    return view;
}

unsigned validHeadroom(const RoutingSnapshot& snapshot, const FleetView& view, Index service, Index zone, TimePoint now)
{
    const HeadroomGrant& grant = view.grants[service * snapshot.zones.size() + zone];
    return now - grant.receivedAt < grantLifetime ? grant.requests : 0;
}

RankedInstances rankEntryInstances(const RoutingSnapshot& snapshot, Index service, Index callerZone,
    const FleetView& view, TimePoint now, Random& random)
{
    const RankingContext ranking { snapshot, view, random };
    const auto& regionZones = snapshot.regions[snapshot.zones[callerZone].region].zones;
    RankedInstances result;

    GroupSample callerZoneSample(maximumRankedPerGroup);
    ranking.offerZone(callerZone, MemberState::Live, callerZoneSample);
    callerZoneSample.addTo(result);

    GroupSample regionSample(maximumRankedPerGroup);
    for (const Index zone : regionZones) {
        if (zone != callerZone)
            ranking.offerZone(zone, MemberState::Live, regionSample);
    }
    regionSample.addTo(result);

    // Two instances from each of the best regions, so that the list remains useful when one region is lost.
    const RankedRegions regions = rankRegions(snapshot, service, callerZone, view, now);
    const std::size_t perRegion = regions.size > 1 ? maximumRankedPerGroup / 2 : maximumRankedPerGroup;
    const std::size_t end = result.size + maximumRankedPerGroup;
    for (std::size_t at = 0; at < regions.size && result.size < end; ++at) {
        GroupSample remoteSample(std::min(perRegion, end - result.size));
        for (const Index zone : snapshot.regions[regions.entries[at].region].zones)
            ranking.offerZone(zone, MemberState::Live, remoteSample);
        remoteSample.addTo(result);
    }

    GroupSample suspects(std::min(maximumRankedPerGroup, maximumRanked - result.size));
    if (result.size == maximumRanked)
        return result;
    ranking.offerZone(callerZone, MemberState::Suspect, suspects);
    for (const Index zone : regionZones) {
        if (zone != callerZone && !suspects.isFull())
            ranking.offerZone(zone, MemberState::Suspect, suspects);
    }
    for (const Index region : snapshot.regions[snapshot.zones[callerZone].region].othersByDelay) {
        for (const Index zone : snapshot.regions[region].zones) {
            if (!suspects.isFull())
                ranking.offerZone(zone, MemberState::Suspect, suspects);
        }
    }
    suspects.addTo(result);
    return result;
}

} // namespace clementinefall::steering
