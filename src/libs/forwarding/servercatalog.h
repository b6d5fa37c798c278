#pragma once

#include "forwarding/backendserver.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace clementinefall::forwarding {

using ServerPointer = std::shared_ptr<BackendServer>;

/// Where this entry instance is, and the region of each availability zone.
struct Place {
    std::string zone;
    std::string region;
    std::map<std::string, std::string, std::less<>> regionOfZone;
};

/// The backend servers that the store names. Old reports of an incarnation never replace newer ones, and what this
/// instance has learned of a leaving server binds it whatever else it hears.
class ServerCatalog {
public:
    /// Time after an outage of the store within which the entries of living servers are back.
    static constexpr seconds returnTime { 2 };

    /// Time after the end of an evacuation for which a server counts as cold until it has reported again: it may have
    /// become cold shortly before, and its report can be one heartbeat and the store's delay old.
    static constexpr seconds unreportedColdTime { 3 };

    explicit ServerCatalog(Place instancePlace)
        : place(std::move(instancePlace))
    {
    }

    /// Applies one entry. Returns false when it is older than what is known.
    bool apply(const ServerEntry& entry, TimePoint now);

    /// The entry was removed: the server is gone or leaving without a word.
    void remove(const std::string& id);

    /// Replaces the whole set. With \a afterOutage, entries that are missing get `returnTime` to come back before
    /// expireMissing() removes them.
    void replaceAll(const std::vector<ServerEntry>& entries, bool afterOutage, TimePoint now);

    /// Removes the servers whose entries did not come back in time. Returns their ids.
    std::vector<std::string> expireMissing(TimePoint now);

    /// Sets the availability zones whose servers get nothing.
    void setEvacuations(std::set<std::string> zones, TimePoint now);

    const std::set<std::string>& evacuations() const { return this->evacuatedZones; }

    /// Servers of a service, also unusable ones; empty for an unknown service.
    const std::vector<ServerPointer>& serversOf(const std::string& service) const;

    ServerPointer find(const std::string& id) const;
    std::size_t size() const { return this->servers.size(); }

    /// Called with each server that is gone, so that its idle connections can be closed.
    std::function<void(const ServerPointer&)> onGone;

private:
    void insert(const ServerEntry& entry, TimePoint now);
    void detach(const ServerPointer& server);

    Place place;
    std::map<std::string, ServerPointer> servers;
    std::map<std::string, std::vector<ServerPointer>> byService;
    std::set<std::string> evacuatedZones;
};

/// Whether \a candidate describes the server later than \a known does: a later start, or the same one and a later
/// report.
bool isNewer(const ServerEntry& candidate, const ServerEntry& known);

} // namespace clementinefall::forwarding
