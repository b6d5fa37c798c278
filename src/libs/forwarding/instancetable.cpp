#include "forwarding/instancetable.h"

#include "base/hash.h"

#include <algorithm>
#include <set>

namespace clementinefall::forwarding {

namespace {

/// The instances of \a zone, or else of \a region, or else all.
std::vector<const InstanceInfo*> nearest(
    const std::vector<const InstanceInfo*>& instances, const std::string& zone, const std::string& region)
{
    const auto select = [&](auto&& matches) {
        std::vector<const InstanceInfo*> chosen;
        std::copy_if(instances.begin(), instances.end(), std::back_inserter(chosen), matches);
        return chosen;
    };
    std::vector<const InstanceInfo*> chosen = select([&](const auto* info) { return info->zone == zone; });
    if (chosen.empty())
        chosen = select([&](const auto* info) { return info->region == region; });
    return chosen.empty() ? instances : chosen;
}

} // namespace

void InstanceTable::add(const InstanceInfo& instance, TimePoint now)
{
    if (instance.name == this->localInfo.name)
        return;
    const auto found = this->registered.find(instance.name);
    if (found != this->registered.end() && found->second.info.incarnation == instance.incarnation) {
        found->second.info = instance;
        return;
    }
    this->lastAddedAt = std::max(this->lastAddedAt, now);
    this->registered[instance.name]
        = RegisteredInstance { .info = instance, .state = InstanceState::Ready, .lastHeartbeat = now };
}

void InstanceTable::remove(const std::string& name) { this->registered.erase(name); }

void InstanceTable::setRegistered(const std::vector<InstanceInfo>& instances, TimePoint now)
{
    this->hasList = true;
    std::set<std::string> present;
    for (const InstanceInfo& instance : instances) {
        present.insert(instance.name);
        this->add(instance, now);
    }
    std::erase_if(this->registered, [&present](const auto& entry) { return !present.contains(entry.first); });
}

void InstanceTable::setRegisteredAfterRestore(const std::vector<InstanceInfo>& instances, TimePoint now)
{
    this->hasList = true;
    std::set<std::string> present;
    for (const InstanceInfo& instance : instances) {
        present.insert(instance.name);
        if (!this->isLive(instance.name, now))
            this->add(instance, now - livenessTimeout);
    }
    std::erase_if(this->registered,
        [&](const auto& entry) { return !present.contains(entry.first) && !this->isLive(entry.second, now); });
}

bool InstanceTable::recordHeartbeat(const Heartbeat& heartbeat, TimePoint now)
{
    const auto found = this->registered.find(heartbeat.name);
    if (found == this->registered.end() || found->second.info.incarnation != heartbeat.incarnation)
        return false;
    found->second.state = heartbeat.state;
    found->second.isStranded = heartbeat.isStranded;
    found->second.asksServers = heartbeat.asksServers;
    found->second.lastHeartbeat = now;
    const auto oldest = std::max_element(heartbeat.reports.begin(), heartbeat.reports.end(),
        [](const auto& left, const auto& right) { return left.age < right.age; });
    if (oldest != heartbeat.reports.end())
        found->second.storeKnownAt = now - oldest->age;
    return true;
}

std::vector<InstanceInfo> InstanceTable::others() const
{
    std::vector<InstanceInfo> result;
    result.reserve(this->registered.size());
    for (const auto& [name, entry] : this->registered)
        result.push_back(entry.info);
    return result;
}

std::vector<std::string> InstanceTable::registeredNames() const
{
    std::vector<std::string> result { this->localInfo.name };
    for (const auto& [name, entry] : this->registered)
        result.push_back(name);
    return result;
}

bool InstanceTable::isLive(const std::string& name, TimePoint now) const
{
    const auto found = this->registered.find(name);
    return found != this->registered.end() && this->isLive(found->second, now);
}

std::string InstanceTable::regionOf(const std::string& name) const
{
    const auto found = this->registered.find(name);
    return found == this->registered.end() ? std::string() : found->second.info.region;
}

std::vector<std::string> InstanceTable::coldSenderCandidates(TimePoint now) const
{
    if (!this->hasList)
        return {};
    std::vector<std::string> result { this->localInfo.name };
    for (const auto& [name, entry] : this->registered) {
        if (entry.info.region == this->localInfo.region && now - entry.lastHeartbeat < senderRetention)
            result.push_back(name);
    }
    return result;
}

std::vector<InstanceInfo> InstanceTable::liveInSmallZones(std::size_t maximum, TimePoint now) const
{
    std::map<std::string, std::vector<InstanceInfo>> byZone;
    byZone[this->localInfo.zone].push_back(this->localInfo);
    for (const auto& [name, entry] : this->registered) {
        if (this->isLive(entry, now) && entry.state != InstanceState::Stopping)
            byZone[entry.info.zone].push_back(entry.info);
    }
    std::vector<InstanceInfo> result;
    for (const auto& [zone, instances] : byZone) {
        if (instances.size() <= maximum)
            result.insert(result.end(), instances.begin(), instances.end());
    }
    return result;
}

std::vector<InstanceInfo> InstanceTable::liveInZone(TimePoint now) const
{
    std::vector<InstanceInfo> result;
    for (const auto& [name, entry] : this->registered) {
        const bool isSameZone = entry.info.zone == this->localInfo.zone;
        if (isSameZone && entry.state != InstanceState::Stopping && this->isLive(entry, now))
            result.push_back(entry.info);
    }
    return result;
}

std::size_t InstanceTable::liveCountInZone(TimePoint now) const
{
    const auto count = std::count_if(this->registered.begin(), this->registered.end(), [&](const auto& entry) {
        return entry.second.info.zone == this->localInfo.zone && this->isLive(entry.second, now);
    });
    return static_cast<std::size_t>(count) + 1;
}

std::size_t InstanceTable::liveCount(TimePoint now) const
{
    const auto count = std::count_if(this->registered.begin(), this->registered.end(),
        [&](const auto& entry) { return this->isLive(entry.second, now); });
    return static_cast<std::size_t>(count) + 1;
}

std::map<std::string, std::size_t> InstanceTable::liveCountByRegion(TimePoint now) const
{
    std::map<std::string, std::size_t> result { { this->localInfo.region, 1 } };
    for (const auto& [name, entry] : this->registered) {
        if (this->isLive(entry, now))
            ++result[entry.info.region];
    }
    return result;
}

std::vector<const InstanceInfo*> InstanceTable::readyInstances(bool isSelfReady, TimePoint now) const
{
    std::vector<const InstanceInfo*> ready;
    if (isSelfReady)
        ready.push_back(&this->localInfo);
    for (const auto& [name, entry] : this->registered) {
        if (entry.state == InstanceState::Ready && this->isLive(entry, now))
            ready.push_back(&entry.info);
    }
    return ready;
}

std::vector<const InstanceInfo*> InstanceTable::withoutStranded(const std::vector<const InstanceInfo*>& instances) const
{
    std::vector<const InstanceInfo*> result;
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(result), [this](const InstanceInfo* info) {
        const auto found = this->registered.find(info->name);
        return found == this->registered.end() ? !this->isSelfStranded : !found->second.isStranded;
    });
    return result;
}

std::vector<Peer> InstanceTable::peers(TimePoint now) const
{
    std::vector<Peer> result;
    for (const InstanceInfo* info : this->withoutStranded(this->readyInstances(false, now))) {
        if (info->requests.port != 0)
            result.push_back({ .name = info->name, .region = info->region, .address = info->requests });
    }
    return result;
}

bool InstanceTable::asksServer(
    const std::string& serverId, const std::string& zone, const std::string& region, TimePoint now) const
{
    std::vector<const InstanceInfo*> asking { &this->localInfo };
    for (const auto& [name, entry] : this->registered) {
        if (entry.asksServers && this->isLive(entry, now))
            asking.push_back(&entry.info);
    }
    return chosenFor(serverId, nearest(asking, zone, region)) == &this->localInfo;
}

std::vector<HostPort> InstanceTable::knowingStore(Duration maximumAge, TimePoint now) const
{
    const std::uint64_t seed = hash64(this->localInfo.name);
    std::vector<std::pair<std::pair<bool, std::uint64_t>, HostPort>> ranked;
    for (const auto& [name, entry] : this->registered) {
        if (this->isLive(entry, now) && now - entry.storeKnownAt <= maximumAge)
            ranked.push_back(
                { { entry.info.region != this->localInfo.region, hash64(name, seed) }, entry.info.heartbeats });
    }
    std::sort(
        ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<HostPort> result;
    result.reserve(ranked.size());
    for (const auto& [rank, address] : ranked)
        result.push_back(address);
    return result;
}

const InstanceInfo* InstanceTable::chosenFor(
    const std::string& serverId, const std::vector<const InstanceInfo*>& candidates)
{
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const InstanceInfo* candidate : candidates)
        names.push_back(candidate->name);
    return candidates[coordinatorIndex(serverId, names)];
}

std::optional<InstanceInfo> InstanceTable::permitCoordinator(const std::string& serverId, const std::string& zone,
    const std::string& region, bool isSelfReady, TimePoint now) const
{
    const std::vector<const InstanceInfo*> candidates = nearest(this->readyInstances(isSelfReady, now), zone, region);
    if (candidates.empty())
        return std::nullopt;
    const InstanceInfo* coordinator = chosenFor(serverId, candidates);
    return coordinator == &this->localInfo ? std::nullopt : std::optional(*coordinator);
}

std::vector<HostPort> InstanceTable::callerAddresses(
    const std::string& zone, const std::string& region, bool isSelfReady, std::size_t maximum, TimePoint now) const
{
    const std::vector<const InstanceInfo*> ready = this->readyInstances(isSelfReady, now);
    const std::vector<const InstanceInfo*> reaching = this->withoutStranded(ready);
    const auto inZone = [&zone](const InstanceInfo* info) { return info->zone == zone; };
    const auto remaining = 2 * std::count_if(reaching.begin(), reaching.end(), inZone);
    const bool isZoneWeak = remaining < std::count_if(ready.begin(), ready.end(), inZone);
    std::vector<const InstanceInfo*> chosen
        = nearest(reaching.empty() ? ready : reaching, isZoneWeak && !reaching.empty() ? std::string() : zone, region);
    if (chosen.size() > maximum) {
        // The order depends only on the zone: responses of all instances agree, and zones get different subsets.
        const std::uint64_t seed = hash64(zone);
        std::sort(chosen.begin(), chosen.end(), [seed](const auto* left, const auto* right) {
            return hash64(left->name, seed) < hash64(right->name, seed);
        });
        chosen.resize(maximum);
    }
    std::vector<HostPort> result;
    result.reserve(chosen.size());
    for (const InstanceInfo* info : chosen)
        result.push_back(info->callers);
    return result;
}

} // namespace clementinefall::forwarding
