#pragma once

#include "base/settings.h"
#include "forwarding/heartbeat.h"
#include "forwarding/peerforwarding.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementinefall::forwarding {

/// An entry instance as registered in the store.
struct InstanceInfo {
    std::string name;
    std::string zone;
    std::string region;
    HostPort callers; ///< Address for callers.
    HostPort heartbeats; ///< Address for other instances: UDP for heartbeats, TCP for the relay of the store's changes.
    HostPort requests {}; ///< Address for requests of other instances; without a port for releases that accept none.
    std::uint64_t incarnation = 0;
};

/// The entry instances of the fleet. The store provides the registered ones; heartbeats show which of them are live, so
/// that the table stays correct during an outage of the store.
class InstanceTable {
public:
    /// Time without a heartbeat after which an instance counts as dead; allows for several lost heartbeats.
    static constexpr milliseconds livenessTimeout { 3000 };

    /// Time without a heartbeat after which an instance is no longer a candidate for the senders to cold servers.
    /// Longer than most network partitions. A sender that is dead costs a cold server half of its few requests.
    static constexpr seconds senderRetention { 30 };

    explicit InstanceTable(InstanceInfo instanceInfo)
        : localInfo(std::move(instanceInfo))
    {
    }

    const InstanceInfo& localInstance() const { return this->localInfo; }

    /// Sets the registered instances. A new one counts as live until `livenessTimeout` has passed without a heartbeat.
    void setRegistered(const std::vector<InstanceInfo>& instances, TimePoint now);
    /// As above, after a restore of the store. Registrations may be missing or out of date, so live instances are kept
    /// as they are, and others count as dead until a heartbeat.
    void setRegisteredAfterRestore(const std::vector<InstanceInfo>& instances, TimePoint now);
    void add(const InstanceInfo& instance, TimePoint now);
    void remove(const std::string& name);

    /// Records a heartbeat. Returns false and ignores it when the instance is not registered or has another
    /// incarnation.
    bool recordHeartbeat(const Heartbeat& heartbeat, TimePoint now);

    /// All other registered instances.
    std::vector<InstanceInfo> others() const;
    bool isLive(const std::string& name, TimePoint now) const;
    /// Sets whether this instance reaches no backend server.
    void setStranded(bool isStranded) { this->isSelfStranded = isStranded; }
    /// The other ready instances that accept requests of others and reach backend servers.
    std::vector<Peer> peers(TimePoint now) const;

    /// Names of all registered instances and of this one.
    std::vector<std::string> registeredNames() const;
    /// Whether the first list of instances has been received.
    bool isListed() const { return this->hasList; }

    /// When an instance was registered last that was not known in this incarnation.
    TimePoint lastAdded() const { return this->lastAddedAt; }

    /// Empty for an instance that is not registered.
    std::string regionOf(const std::string& name) const;

    /// The other instances of the local zone that are live and not stopping.
    std::vector<InstanceInfo> liveInZone(TimePoint now) const;
    /// Live instances, this one included, whose zone has at most \a maximum of them.
    std::vector<InstanceInfo> liveInSmallZones(std::size_t maximum, TimePoint now) const;
    /// Names of the instances of the local region from which the senders to cold servers are chosen, including this
    /// one. Those without a heartbeat stay for `senderRetention`: instances that cannot hear of each other must choose
    /// the same senders, otherwise their number grows with that of the groups. Empty before the first list of
    /// instances.
    std::vector<std::string> coldSenderCandidates(TimePoint now) const;
    std::size_t liveCountInZone(TimePoint now) const;
    std::size_t liveCount(TimePoint now) const;
    std::map<std::string, std::size_t> liveCountByRegion(TimePoint now) const;

    /// Whether this instance asks a backend server in \a zone of \a region whether it is cold, for all live instances
    /// that ask servers: one of the server's zone, or else of its region, or else any.
    bool asksServer(
        const std::string& serverId, const std::string& zone, const std::string& region, TimePoint now) const;

    /// Addresses of the other instances for the store's changes, of those whose knowledge of the store was at most \a
    /// maximumAge old by their last heartbeat. Those of the local region come first, in an order of this instance's
    /// own.
    std::vector<HostPort> knowingStore(Duration maximumAge, TimePoint now) const;

    /// The instance that hands out the permits of a backend server in \a zone of \a region, or nothing if that is this
    /// one: a ready instance of the server's zone, or else of its region, or else of any. It can reach the server if
    /// any instance can. \a isSelfReady tells whether this instance may be chosen.
    std::optional<InstanceInfo> permitCoordinator(const std::string& serverId, const std::string& zone,
        const std::string& region, bool isSelfReady, TimePoint now) const;

    /// Addresses for callers in \a zone of \a region: the ready instances of the zone, or else of the region, or else
    /// all; at most \a maximum. Stranded instances are left out unless all are. When fewer than half of the zone's
    /// instances remain, those of the region share its callers. \a isSelfReady tells whether this instance accepts new
    /// callers.
    std::vector<HostPort> callerAddresses(
        const std::string& zone, const std::string& region, bool isSelfReady, std::size_t maximum, TimePoint now) const;

private:
    struct RegisteredInstance {
        InstanceInfo info;
        InstanceState state = InstanceState::Ready;
        bool isStranded = false;
        bool asksServers = false; ///< See Heartbeat::asksServers.
        TimePoint lastHeartbeat {};
        TimePoint storeKnownAt {}; ///< As of which it knew all kinds of objects that it reports, as last stated.
    };

    /// The one of \a candidates, of which there is at least one, that is responsible for the server.
    static const InstanceInfo* chosenFor(
        const std::string& serverId, const std::vector<const InstanceInfo*>& candidates);
    std::vector<const InstanceInfo*> readyInstances(bool isSelfReady, TimePoint now) const;
    /// Those of \a instances that are not stranded.
    std::vector<const InstanceInfo*> withoutStranded(const std::vector<const InstanceInfo*>& instances) const;

    bool isLive(const RegisteredInstance& entry, TimePoint now) const
    {
        return now - entry.lastHeartbeat < livenessTimeout;
    }

    InstanceInfo localInfo;
    std::map<std::string, RegisteredInstance> registered; ///< By name, without this instance.
    bool isSelfStranded = false;
    bool hasList = false; ///< Set by the first list of instances.
    TimePoint lastAddedAt {};
};

} // namespace clementinefall::forwarding
