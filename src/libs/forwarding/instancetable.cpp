#include "forwarding/instancetable.h"

#include "base/hash.h"

#include <algorithm>
#include <set>

namespace clementinefall::forwarding {

void InstanceTable::add(const InstanceInfo& instance, TimePoint now)
{
    if (instance.name == this->self.name)
        return;
    const auto found = this->known.find(instance.name);
    if (found != this->known.end() && found->second.info.incarnation == instance.incarnation) {
        found->second.info = instance;
        return;
    }
    this->known[instance.name] = Known { .info = instance, .state = InstanceState::Ready, .heardAt = now };
}

void InstanceTable::remove(const std::string& name) { this->known.erase(name); }

void InstanceTable::setRegistered(const std::vector<InstanceInfo>& instances, TimePoint now)
{
    std::set<std::string> present;
    for (const InstanceInfo& instance : instances) {
        present.insert(instance.name);
        this->add(instance, now);
    }
    std::erase_if(this->known, [&present](const auto& entry) { return !present.contains(entry.first); });
}

bool InstanceTable::note(const Beat& beat, TimePoint now)
{
    const auto found = this->known.find(beat.name);
    if (found == this->known.end() || found->second.info.incarnation != beat.incarnation)
        return false;
    found->second.state = beat.state;
    found->second.heardAt = now;
    return true;
}

std::vector<InstanceInfo> InstanceTable::others() const
{
    std::vector<InstanceInfo> result;
    result.reserve(this->known.size());
    for (const auto& [name, entry] : this->known)
        result.push_back(entry.info);
    return result;
}

bool InstanceTable::isLive(const std::string& name, TimePoint now) const
{
    const auto found = this->known.find(name);
    return found != this->known.end() && this->isLive(found->second, now);
}

std::string InstanceTable::regionOf(const std::string& name) const
{
    const auto found = this->known.find(name);
    return found == this->known.end() ? std::string() : found->second.info.region;
}

std::vector<std::string> InstanceTable::liveInRegion(TimePoint now) const
{
    std::vector<std::string> result { this->self.name };
    for (const auto& [name, entry] : this->known) {
        if (entry.info.region == this->self.region && this->isLive(entry, now))
            result.push_back(name);
    }
    return result;
}

std::size_t InstanceTable::liveInZone(TimePoint now) const
{
    const auto count = std::count_if(this->known.begin(), this->known.end(), [&](const auto& entry) {
        return entry.second.info.zone == this->self.zone && this->isLive(entry.second, now);
    });
    return static_cast<std::size_t>(count) + 1;
}

std::size_t InstanceTable::liveCount(TimePoint now) const
{
    const auto count = std::count_if(
        this->known.begin(), this->known.end(), [&](const auto& entry) { return this->isLive(entry.second, now); });
    return static_cast<std::size_t>(count) + 1;
}

std::map<std::string, std::size_t> InstanceTable::liveByRegion(TimePoint now) const
{
    std::map<std::string, std::size_t> result { { this->self.region, 1 } };
    for (const auto& [name, entry] : this->known) {
        if (this->isLive(entry, now))
            ++result[entry.info.region];
    }
    return result;
}

std::vector<HostPort> InstanceTable::callerAddresses(
    const std::string& zone, const std::string& region, bool isSelfReady, std::size_t maximum, TimePoint now) const
{
    std::vector<const InstanceInfo*> ready;
    if (isSelfReady)
        ready.push_back(&this->self);
    for (const auto& [name, entry] : this->known) {
        if (entry.state == InstanceState::Ready && this->isLive(entry, now))
            ready.push_back(&entry.info);
    }
    const auto select = [&](auto&& matches) {
        std::vector<const InstanceInfo*> chosen;
        std::copy_if(ready.begin(), ready.end(), std::back_inserter(chosen), matches);
        return chosen;
    };
    std::vector<const InstanceInfo*> chosen = select([&](const auto* info) { return info->zone == zone; });
    if (chosen.empty())
        chosen = select([&](const auto* info) { return info->region == region; });
    if (chosen.empty())
        chosen = ready;
    if (chosen.size() > maximum) {
        // A fixed order by zone: answers of different instances agree, and zones get different parts.
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
