#pragma once

#include "base/settings.h"
#include "forwarding/beat.h"

#include <map>
#include <string>
#include <vector>

namespace clementinefall::forwarding {

/// An entry instance as it has registered itself.
struct InstanceInfo {
    std::string name;
    std::string zone;
    std::string region;
    HostPort callers; ///< Where callers connect.
    HostPort beats; ///< Where it takes datagrams from the other instances.
    std::uint64_t incarnation = 0;
};

/// The entry instances of the fleet. The store says which ones exist; beats say which ones live, so that the table
/// stays right while the store is away.
class InstanceTable {
public:
    /// Silence after which an instance counts as dead: several lost beats.
    static constexpr milliseconds liveTime { 3000 };

    explicit InstanceTable(InstanceInfo ownInstance)
        : self(std::move(ownInstance))
    {
    }

    const InstanceInfo& own() const { return this->self; }

    /// Sets the registered instances. One that is new counts as live until `liveTime` has passed without a beat.
    void setRegistered(const std::vector<InstanceInfo>& instances, TimePoint now);
    void add(const InstanceInfo& instance, TimePoint now);
    void remove(const std::string& name);

    /// Notes a beat. Beats of instances that are not registered, or of an older incarnation, are dropped and false is
    /// returned.
    bool note(const Beat& beat, TimePoint now);

    /// All other registered instances.
    std::vector<InstanceInfo> others() const;
    bool isLive(const std::string& name, TimePoint now) const;
    /// Empty for an instance that is not registered.
    std::string regionOf(const std::string& name) const;

    /// Names of the live instances of the own region, this one included.
    std::vector<std::string> liveInRegion(TimePoint now) const;
    std::size_t liveInZone(TimePoint now) const;
    std::size_t liveCount(TimePoint now) const;
    std::map<std::string, std::size_t> liveByRegion(TimePoint now) const;

    /// Addresses for callers in \a zone of \a region: the ready instances of their zone, else of their region, else
    /// all; at most \a maximum. \a isSelfReady says whether this instance takes new callers.
    std::vector<HostPort> callerAddresses(
        const std::string& zone, const std::string& region, bool isSelfReady, std::size_t maximum, TimePoint now) const;

private:
    struct Known {
        InstanceInfo info;
        InstanceState state = InstanceState::Ready;
        TimePoint heardAt {};
    };

    bool isLive(const Known& entry, TimePoint now) const { return now - entry.heardAt < liveTime; }

    InstanceInfo self;
    std::map<std::string, Known> known; ///< Without this instance.
};

} // namespace clementinefall::forwarding
