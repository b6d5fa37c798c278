#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "bundle/bundle.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::steering {

/// Position of a service, zone, region, server or instance in its list of a RoutingSnapshot.
using Index = std::uint32_t;

using NameIndex = std::map<std::string, Index, std::less<>>;

struct ServerRoute {
    std::string name;
    Index service = 0;
    Index zone = 0;
    HostPort address;
    unsigned slots = 0;
    unsigned maximumConnections = 0;
    bool isLeaving = false; ///< Drained itself or in a drained zone.
    /// Part of the slots that belongs to the own instance; 0 in other zones. What it may use now is up to ShareHistory.
    unsigned ownSlots = 0;
};

struct InstanceRoute {
    std::string name;
    Index zone = 0;
    HostPort traffic;
    bool isDrained = false; ///< Drained itself or in a drained zone.
};

struct ZoneRoute {
    std::string name;
    Index region = 0;
    bool isDrained = false;
    std::vector<Index> instances;
};

struct RegionRoute {
    std::string name;
    std::vector<Index> zones;
    std::vector<Index> othersByDelay; ///< All other regions, the nearest first.
};

struct ServiceRoute {
    std::string name;
    bundle::RequestClass requestClass = bundle::RequestClass::Idempotent;
    bundle::Priority priority = bundle::Priority::Lookup;
    milliseconds deadline { 0 };
    std::uint64_t maximumBodyBytes = 0;
    std::vector<std::vector<Index>> serversByZone;
    std::vector<unsigned> slotsByZone; ///< Slots of the servers that are not leaving.
    std::vector<Index> caps; ///< Shift caps of the service.
};

/// A shift cap with its locations resolved to zones.
struct CapRoute {
    std::string key; ///< `<service>/<from>/<to>`; names the cap in shares and in the platform.
    Index service = 0;
    std::vector<bool> fromZones;
    std::vector<bool> toZones;
    std::uint64_t perSecond = 0;
    std::uint64_t total = 0;
    std::uint64_t epoch = 0;
};

struct LinkRoute {
    std::string key; ///< `<from>/<to>` by region name.
    Index from = 0;
    Index to = 0;
    std::uint64_t bytesPerSecond = 0;
};

/// Immutable indexed form of a bundle. Built by the control thread for each adopted bundle and shared with the
/// traffic threads.
struct RoutingSnapshot {
    std::uint64_t version = 0;
    milliseconds lookupTtl { 0 };
    std::optional<Index> ownInstance; ///< Empty when the bundle does not name this instance.
    std::optional<Index> ownZone;
    std::vector<ServiceRoute> services;
    std::vector<ZoneRoute> zones;
    std::vector<RegionRoute> regions;
    std::vector<ServerRoute> servers;
    std::vector<InstanceRoute> instances;
    std::vector<CapRoute> caps;
    std::vector<LinkRoute> links;
    std::vector<milliseconds> delays; ///< One-way, by from × regions + to; zero within a region.
    NameIndex serviceIndex;
    NameIndex zoneIndex;
    NameIndex regionIndex;
    NameIndex instanceIndex;

    milliseconds delay(Index fromRegion, Index toRegion) const
    {
        return this->delays[fromRegion * this->regions.size() + toRegion];
    }
};

/// Delay assumed between regions for which the bundle has no link; longer than any real one, so they rank last.
inline constexpr milliseconds unknownDelay { 1'000 };

/// Indexes \a bundle for the instance \a ownInstance. Servers, instances, caps and links that refer to an unknown zone,
/// service or location are left out; validation reports them before a bundle is accepted.
std::shared_ptr<const RoutingSnapshot> buildSnapshot(const bundle::Bundle& bundle, std::string_view ownInstance);

/// Division of the slots of \a server among the instances of its zone, in the order of ZoneRoute::instances.
std::vector<std::uint64_t> divideSlots(const RoutingSnapshot& snapshot, const ServerRoute& server);

/// Position of \a name, if it is known.
std::optional<Index> find(const NameIndex& index, std::string_view name);

enum class MemberState : std::uint8_t { Live, Suspect, Leaving, Dead };

/// Requests that a zone accepts from this instance for a service, from its gossip.
struct HeadroomGrant {
    unsigned requests = 0; ///< Until the next grant.
    TimePoint receivedAt {};
};

/// Age above which a grant counts as no headroom. Two missed gossip rounds of one second.
inline constexpr seconds grantLifetime { 2 };

/// What the control thread knows about the fleet, by the indexes of one snapshot.
struct FleetView {
    std::vector<MemberState> members; ///< By instance.
    std::vector<unsigned> instanceHeadroom; ///< Free slots of an instance, over all services, by instance.
    std::vector<HeadroomGrant> grants; ///< By service × zones + zone.
    /// Free slots of the instances in the own zone, by service × instances of the zone + position in the zone.
    std::vector<unsigned> peerSlots;
};

/// An empty view of the sizes of \a snapshot: all members \a state, no headroom.
FleetView makeFleetView(const RoutingSnapshot& snapshot, MemberState state);

/// Headroom of \a zone for \a service that is still valid at \a now.
unsigned validHeadroom(
    const RoutingSnapshot& snapshot, const FleetView& view, Index service, Index zone, TimePoint now);

/// Longest list in a lookup answer, and the part of it that one of the three groups (own zone, own region, other
/// regions) fills. A list from one zone would be of no use when that zone fails.
inline constexpr std::size_t maximumRanked = 12;
inline constexpr std::size_t maximumRankedPerGroup = 4;

struct RankedInstances {
    std::array<Index, maximumRanked> items {};
    std::size_t size = 0;

    void add(Index instance) { this->items[this->size++] = instance; }
    const Index* begin() const { return this->items.data(); }
    const Index* end() const { return this->items.data() + this->size; }
};

/// Entry instances for a caller in \a callerZone: own zone, own region, then other regions by delay, by whether a shift
/// cap leads there and by headroom. Live instances come first, suspect ones last; dead, leaving and drained ones are
/// left out. Within a group the order is random, weighted by headroom, which spreads the callers.
RankedInstances rankEntryInstances(const RoutingSnapshot& snapshot, Index service, Index callerZone,
    const FleetView& view, TimePoint now, Random& random);

} // namespace clementinefall::steering
