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

/// Location of this entry instance, and the region of each availability zone.
struct InstanceLocation {
    std::string zone;
    std::string region;
    std::map<std::string, std::string, std::less<>> regionOfZone;
};

/// The backend servers registered in the store. An old report of an incarnation never replaces a newer one, and an
/// incarnation that is draining stays so whatever is reported later.
class ServerCatalog {
public:
    /// Time after an outage of the store within which the entries of running servers reappear.
    static constexpr seconds outageGracePeriod { 2 };

    /// Cold time of a service that the configuration does not define.
    static constexpr seconds defaultColdTime { 3 };

    /// Time for which an old entry of a removed server is not accepted. A restored store has entries again that were
    /// removed after its copy was made, and a list may be from before the removal.
    static constexpr seconds removedRetention { 120 };

    explicit ServerCatalog(InstanceLocation instanceLocation)
        : location(std::move(instanceLocation))
    {
    }

    /// Applies one entry. Returns false when it is not newer than the current one or than the last one of a server that
    /// was removed, or when it is older than the last one of a server that was missing for too long.
    bool apply(const ServerEntry& entry, TimePoint now);

    /// Removes a server whose entry was removed: it has ended, or stops without having reported that it drains.
    void remove(const std::string& id, TimePoint now);

    /// Applies entries beside which others may exist.
    void applyAll(const std::vector<ServerEntry>& entries, TimePoint now);

    /// Replaces the whole set. With \a afterOutage, missing entries have `outageGracePeriod` to reappear before
    /// expireMissing() removes them.
    void replaceAll(const std::vector<ServerEntry>& entries, bool afterOutage, TimePoint now);

    /// Removes the servers whose entries did not reappear in time. Returns their ids.
    std::vector<std::string> expireMissing(TimePoint now);

    /// Forgets the removed servers whose entries can no longer come back.
    void forgetRemoved(TimePoint now);

    /// Sets the cold times of the services, from the configuration.
    void setColdTimes(std::map<std::string, Duration> coldTimes) { this->coldTimeByService = std::move(coldTimes); }

    /// Sets the availability zones whose servers get no requests. When a zone is no longer evacuated, its servers count
    /// as cold for the cold time of their service, as they may have become cold shortly before. Their reports do not
    /// shorten the time: they may have been written earlier.
    void setEvacuations(std::set<std::string> zones, TimePoint now);

    /// Assumes that a server is cold at least until \a until. Nothing shortens this but the time. Returns whether the
    /// server was not known to be cold.
    bool assumeCold(const std::string& id, TimePoint until, TimePoint now);

    /// Records that an incarnation has said that it leaves, also while its entry is removed: the entry may come back.
    /// Returns false when the incarnation is not known or this was known.
    bool markLeaving(const std::string& id, std::uint64_t startTimeMs);

    const std::set<std::string>& evacuations() const { return this->evacuatedZones; }

    /// Servers of a service, including unusable ones; empty for an unknown service.
    const std::vector<ServerPointer>& serversOf(const std::string& service) const;

    /// Servers of all services, including unusable ones.
    std::vector<ServerPointer> allServers() const;

    ServerPointer find(const std::string& id) const;
    /// The incarnation of a server, also for a time after its entry was removed; null when it is not known.
    ServerPointer findIncarnation(const std::string& id, std::uint64_t startTimeMs) const;
    std::size_t size() const { return this->servers.size(); }

    /// Called with each removed server, so that its idle connections can be closed.
    std::function<void(const ServerPointer&)> onRemoved;

private:
    struct RemovedServer {
        ServerPointer server; ///< With its last entry.
        TimePoint removedAt {};
        bool wasMissing = false; ///< After an outage; its removal was not seen.
    };
    /// Adds a server. It keeps what its incarnation has stated for all of its life, if the server was known before.
    void insert(const ServerEntry& entry, TimePoint now);
    void detach(const ServerPointer& server);
    Duration coldTimeOf(const std::string& service) const;

    InstanceLocation location;
    std::map<std::string, ServerPointer> servers;
    std::map<std::string, std::vector<ServerPointer>> byService;
    std::set<std::string> evacuatedZones;
    std::map<std::string, Duration> coldTimeByService;
    std::map<std::string, RemovedServer> removedServers; ///< By id.
};

/// Whether \a candidate is newer than \a current: of a later incarnation, or a later report of the same one.
bool isNewer(const ServerEntry& candidate, const ServerEntry& current);

} // namespace clementinefall::forwarding
