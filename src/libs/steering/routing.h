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
    /// Share of this instance in the slots; 0 in other zones. ShareHistory decides how much of it is usable now.
    unsigned localSlots = 0;
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
    std::vector<Index> othersByDelay; ///< All other regions, nearest first.
};

struct ServiceRoute {
    std::string name;
    bundle::RequestClass requestClass = bundle::RequestClass::Idempotent;
    bundle::Priority priority = bundle::Priority::Lookup;
    milliseconds deadline { 0 };
    std::uint64_t maximumBodyBytes = 0;
    std::vector<std::vector<Index>> serversByZone;
    std::vector<unsigned> slotsByZone; ///< Slots of the servers that are not draining.
    std::vector<Index> caps; ///< Positions in RoutingSnapshot::caps.
};

/// A shift cap with its locations resolved to zones.
struct CapRoute {
    std::string key; ///< `<service>/<from>/<to>`; identifies the cap in shares and in the platform.
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

/// Immutable, indexed form of a bundle. The control thread builds it for each adopted bundle and shares it with the
/// traffic threads.
struct RoutingSnapshot {
    std::uint64_t version = 0;
    milliseconds lookupTtl { 0 };
    std::optional<Index> localInstance; ///< Empty when the bundle does not list this instance.
    std::optional<Index> localZone;
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

/// Delay assumed between regions for which the bundle has no link; longer than any real one, so that they rank last.
inline constexpr milliseconds unknownDelay { 1'000 };

/// Indexes \a bundle for the instance \a localInstance. Servers, instances, caps and links that refer to an unknown
/// zone, service or location are skipped; validation reports them before a bundle is accepted.
std::shared_ptr<const RoutingSnapshot> buildSnapshot(const bundle::Bundle& bundle, std::string_view localInstance);

/// Divides the slots of \a server among the instances of its zone, in the order of ZoneRoute::instances.
std::vector<std::uint64_t> divideSlots(const RoutingSnapshot& snapshot, const ServerRoute& server);

/// Position of \a name, or empty when it is not in \a index.
std::optional<Index> find(const NameIndex& index, std::string_view name);

enum class MemberState : std::uint8_t { Live, Suspect, Leaving, Dead };

/// Number of requests that a zone accepts from this instance for a service, as received by gossip.
struct HeadroomGrant {
    unsigned requests = 0; ///< Valid until the next grant.
    TimePoint receivedAt {};
};

/// Age from which a grant is void: two missed gossip rounds of one second.
inline constexpr seconds grantLifetime { 2 };

/// State of the fleet as the control thread last received it, indexed like one snapshot.
struct FleetView {
    std::vector<MemberState> members; ///< By instance.
    std::vector<unsigned> instanceHeadroom; ///< Free slots over all services, by instance.
    std::vector<HeadroomGrant> grants; ///< By service × zones + zone.
    /// Free slots of the instances in the local zone, by service × instances of the zone + position in the zone.
    std::vector<unsigned> peerSlots;
};

/// View sized for \a snapshot with all members in \a state and no headroom.
FleetView makeFleetView(const RoutingSnapshot& snapshot, MemberState state);

/// Requests granted by \a zone for \a service; 0 once the grant is `grantLifetime` old.
unsigned validHeadroom(
    const RoutingSnapshot& snapshot, const FleetView& view, Index service, Index zone, TimePoint now);

/// Maximum number of instances in a lookup response, and of those from each of the groups caller's zone, caller's
/// region and other regions. A list from a single zone would be useless when that zone fails.
inline constexpr std::size_t maximumRanked = 12;
inline constexpr std::size_t maximumRankedPerGroup = 4;

struct RankedInstances {
    std::array<Index, maximumRanked> items {};
    std::size_t size = 0;

    void add(Index instance) { this->items[this->size++] = instance; }
    const Index* begin() const { return this->items.data(); }
    const Index* end() const { return this->items.data() + this->size; }
};

/// Ranks entry instances for a caller in \a callerZone: the caller's zone, the caller's region, then other regions by
/// whether a shift cap leads there, by delay and by headroom. Live instances come first, suspect ones last; dead,
/// leaving and drained ones are omitted. Within a group the order is random, weighted by headroom, which spreads the
/// callers.
RankedInstances rankEntryInstances(const RoutingSnapshot& snapshot, Index service, Index callerZone,
    const FleetView& view, TimePoint now, Random& random);

} // namespace clementinefall::steering
