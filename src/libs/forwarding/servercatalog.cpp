#include "forwarding/servercatalog.h"

#include <algorithm>

namespace clementinefall::forwarding {

bool isNewer(const ServerEntry& candidate, const ServerEntry& current)
{
    if (candidate.startTimeMs != current.startTimeMs)
        return candidate.startTimeMs > current.startTimeMs;
    return candidate.sequence > current.sequence
        || (candidate.sequence == current.sequence && candidate.revision > current.revision);
}

namespace {

/// Start time and sequence, which the server itself writes. The revision rises also when a restored store is written
/// again.
std::pair<std::uint64_t, std::uint64_t> reportOf(const ServerEntry& entry)
{
    return { entry.startTimeMs, entry.sequence };
}

} // namespace

bool ServerCatalog::apply(const ServerEntry& entry, TimePoint now)
{
    const auto found = this->servers.find(entry.id);
    if (found == this->servers.end()) {
        const auto removed = this->removedServers.find(entry.id);
        if (removed != this->removedServers.end()) {
            const auto lastReport = reportOf(removed->second.server->entry);
            // A missing server may be running and write the entry that was lost once more.
            if (reportOf(entry) < lastReport || (!removed->second.wasMissing && reportOf(entry) == lastReport))
                return false;
        }
        this->insert(entry, now);
        return true;
    }
    const ServerPointer& server = found->second;
    server->missingSince = {};
    if (!isNewer(entry, server->entry))
        return false;
    const bool restarted = entry.startTimeMs != server->entry.startTimeMs;
    const bool moved = entry.service != server->entry.service || !(entry.address == server->entry.address)
        || entry.zone != server->entry.zone;
    if (restarted || moved) {
        // A new incarnation, service, address or zone: nothing recorded for the old server applies to the new one.
        this->remove(entry.id, now);
        this->insert(entry, now);
        return true;
    }
    const bool wasDraining = server->entry.state == ServerState::Draining;
    const bool isRepeated = reportOf(entry) == reportOf(server->entry);
    server->entry = entry;
    if (wasDraining)
        server->entry.state = ServerState::Draining; // Draining cannot be undone within an incarnation.
    // A restored store shows the same report once more; its remaining time counts from the first time.
    if (!isRepeated)
        server->coldUntil = now + entry.remainingColdTime;
    return true;
}

void ServerCatalog::insert(const ServerEntry& entry, TimePoint now)
{
    auto server = std::make_shared<BackendServer>();
    server->entry = entry;
    const auto region = this->location.regionOfZone.find(entry.zone);
    if (region != this->location.regionOfZone.end())
        server->region = region->second;
    server->locality = entry.zone == this->location.zone ? Locality::SameZone
        : server->region == this->location.region        ? Locality::SameRegion
                                                         : Locality::OtherRegion;
    server->isEvacuated = this->evacuatedZones.contains(entry.zone);
    server->coldUntil = now + entry.remainingColdTime;
    const auto removed = this->removedServers.find(entry.id);
    if (removed != this->removedServers.end()) {
        const BackendServer& before = *removed->second.server;
        if (before.entry.startTimeMs == entry.startTimeMs) {
            server->entry.state = before.entry.state == ServerState::Draining ? ServerState::Draining : entry.state;
            server->isLeaving = before.isLeaving;
            server->pausedUntil = before.pausedUntil;
        }
        this->removedServers.erase(removed);
    }
    this->servers[entry.id] = server;
    this->byService[entry.service].push_back(server);
}

void ServerCatalog::detach(const ServerPointer& server)
{
    server->isRemoved = true;
    auto& list = this->byService[server->entry.service];
    list.erase(std::remove(list.begin(), list.end(), server), list.end());
    if (this->onRemoved)
        this->onRemoved(server);
}

void ServerCatalog::remove(const std::string& id, TimePoint now)
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end())
        return;
    const ServerPointer server = found->second;
    this->servers.erase(found);
    this->removedServers[id] = { .server = server, .removedAt = now };
    this->detach(server);
}

void ServerCatalog::applyAll(const std::vector<ServerEntry>& entries, TimePoint now)
{
    for (const ServerEntry& entry : entries)
        this->apply(entry, now);
}

void ServerCatalog::replaceAll(const std::vector<ServerEntry>& entries, bool afterOutage, TimePoint now)
{
    this->applyAll(entries, now);
    std::set<std::string> present;
    for (const ServerEntry& entry : entries)
        present.insert(entry.id);
    std::vector<std::string> missing;
    for (const auto& [id, server] : this->servers) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const std::string& id : missing) {
        const ServerPointer server = this->servers[id];
        if (!afterOutage)
            this->remove(id, now);
        else if (server->missingSince == TimePoint {})
            server->missingSince = now;
    }
}

std::vector<std::string> ServerCatalog::expireMissing(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto& [id, server] : this->servers) {
        if (server->missingSince != TimePoint {} && now - server->missingSince >= outageGracePeriod)
            expired.push_back(id);
    }
    for (const std::string& id : expired) {
        this->remove(id, now);
        this->removedServers[id].wasMissing = true;
    }
    return expired;
}

bool ServerCatalog::markLeaving(const std::string& id, std::uint64_t startTimeMs)
{
    const ServerPointer server = this->findIncarnation(id, startTimeMs);
    if (!server || server->isLeaving)
        return false;
    server->isLeaving = true;
    return true;
}

void ServerCatalog::forgetRemoved(TimePoint now)
{
    std::erase_if(this->removedServers,
        [now](const auto& removed) { return now - removed.second.removedAt >= removedRetention; });
}

void ServerCatalog::setEvacuations(std::set<std::string> zones, TimePoint now)
{
    this->evacuatedZones = std::move(zones);
    for (const auto& [id, server] : this->servers) {
        const bool evacuated = this->evacuatedZones.contains(server->entry.zone);
        if (server->isEvacuated && !evacuated)
            server->assumedColdUntil
                = std::max(server->assumedColdUntil, now + this->coldTimeOf(server->entry.service));
        server->isEvacuated = evacuated;
    }
}

bool ServerCatalog::assumeCold(const std::string& id, TimePoint until, TimePoint now)
{
    const ServerPointer server = this->find(id);
    if (!server)
        return false;
    const bool wasCold = isCold(*server, now);
    server->assumedColdUntil = std::max(server->assumedColdUntil, until);
    return !wasCold && isCold(*server, now);
}

Duration ServerCatalog::coldTimeOf(const std::string& service) const
{
    const auto found = this->coldTimeByService.find(service);
    return found == this->coldTimeByService.end() ? defaultColdTime : found->second;
}

const std::vector<ServerPointer>& ServerCatalog::serversOf(const std::string& service) const
{
    static const std::vector<ServerPointer> none;
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? none : found->second;
}

std::vector<ServerPointer> ServerCatalog::allServers() const
{
    std::vector<ServerPointer> result;
    result.reserve(this->servers.size());
    for (const auto& [id, server] : this->servers)
        result.push_back(server);
    return result;
}

ServerPointer ServerCatalog::find(const std::string& id) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() ? nullptr : found->second;
}

ServerPointer ServerCatalog::findIncarnation(const std::string& id, std::uint64_t startTimeMs) const
{
    ServerPointer server = this->find(id);
    if (!server) {
        const auto removed = this->removedServers.find(id);
        server = removed == this->removedServers.end() ? nullptr : removed->second.server;
    }
    return server && server->entry.startTimeMs == startTimeMs ? server : nullptr;
}

} // namespace clementinefall::forwarding
