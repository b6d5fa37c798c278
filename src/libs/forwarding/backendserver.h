#pragma once

#include "base/clock.h"
#include "base/settings.h"
#include "forwarding/ratelimit.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace clementinefall::forwarding {

enum class ServerState : std::uint8_t { Ready, Draining };

/// A backend server as registered in the store, decoded from its entry.
struct ServerEntry {
    std::string id; ///< Identifies one incarnation, but a restarted server may reuse its previous id.
    std::string service;
    HostPort address;
    std::string zone;
    unsigned slots = 1; ///< Requests that it processes concurrently.
    ServerState state = ServerState::Ready;
    Duration remainingColdTime {}; ///< Remaining when the entry was written.
    std::uint64_t startTimeMs = 0; ///< Start of this incarnation, Unix time in milliseconds.
    std::uint64_t sequence = 0; ///< Increases with each report of one incarnation.
    std::uint64_t revision = 0; ///< Store revision of the entry's last change.
};

/// Longest id of a backend server, in bytes. Heartbeats hold the ids of many servers in one datagram.
inline constexpr std::size_t maximumServerIdBytes = 256;

/// Whether \a id can name a backend server: it goes into header fields, heartbeats and paths as it is, where a blank, a
/// control byte or a delimiter would end it or begin something else. Allowed are the unreserved characters of RFC 3986
/// section 2.3, `:` and `@`.
bool isValidServerId(std::string_view id);

/// Longest cold time of a backend server that its own word, or another instance's, can state at once.
inline constexpr std::chrono::minutes maximumColdTime { 1 };

/// Distance of a backend server from this entry instance.
enum class Locality : std::uint8_t { SameZone, SameRegion, OtherRegion };

/// Objects that a backend server is assumed to have cached, because this instance sent it requests for them recently.
/// Objects are identified by the hash of route and affinity key.
class CachedObjects {
public:
    /// Longer than a backend server caches an object without requests for it under usual load.
    static constexpr seconds retention { 30 };
    static constexpr std::size_t capacity = 128;

    void record(std::uint64_t object, TimePoint now);
    void remove(std::uint64_t object) { this->objects.erase(object); }
    bool contains(std::uint64_t object, TimePoint now) const;
    void clear() { this->objects.clear(); }

private:
    std::unordered_map<std::uint64_t, TimePoint> objects;
};

/// Load of a backend server, as reported with its last response.
struct LoadReport {
    unsigned running = 0; ///< Requests in processing.
    unsigned waiting = 0; ///< Requests in the queue.
    unsigned localInFlight = 0; ///< Requests of this instance among them.
    TimePoint at {};
};

/// One backend server: its entry, and the state that this instance derives from its requests to it.
struct BackendServer {
    ServerEntry entry;
    Locality locality = Locality::OtherRegion;
    std::string region;
    bool isRemoved = false; ///< From the store; referenced only by requests in flight.
    bool isEvacuated = false;
    bool isLeaving = false; ///< Stated by the server in a response; holds for its incarnation.
    TimePoint pausedUntil {}; ///< The server wants no request of this instance before.
    TimePoint coldUntil {}; ///< According to the server's last report.
    /// The same, assumed without a report, which the server may not have written yet.
    TimePoint assumedColdUntil {};
    TimePoint missingSince {}; ///< Set while the entry is missing from a full listing after a store outage.

    unsigned inFlight = 0; ///< Requests of this instance.
    LoadReport report;
    std::unordered_map<std::string, unsigned> neighbourInFlight; ///< By entry instance of the same zone.
    /// Requests of other instances that are assumed without a recent report; see updateAssumedLoads().
    double assumedOtherLoad = 0.0;
    CachedObjects cachedObjects;

    double slowdown = 1.0; ///< Moving average of measured over expected processing time.
    double failureRate = 0.0; ///< Moving average over finished attempts, 0 to 1.
    Duration connectTime {}; ///< Moving average; about one round trip time.
    unsigned connectFailures = 0; ///< Consecutive.
    unsigned excessiveResponses = 0; ///< Since the last success.
    /// No requests before this time, after a failed connect, a misdirected request or an excessive response.
    TimePoint backoffUntil {};
    /// First send without a response since, or the last response if requests were still in flight then; unset while
    /// no response is due.
    TimePoint awaitingResponseSince {};
    Duration unresponsiveTimeout {}; ///< Time without a response after which the server counts as unresponsive.
    RateLimitState rateLimit;
    unsigned sentWhileLimited = 0; ///< Requests of this instance since the last summary line.
    unsigned sentWhileCold = 0; ///< The same, while the server was cold.
    PermitBucket permits; ///< Used while this instance coordinates the server's rate limit.
    TimePoint permitRetryAt {}; ///< No request for a permit before this time: the coordinator was not found.
    TimePoint permitAvailableAt {}; ///< Earliest use of the next permit under the rate limit, as last reported.
    TimePoint lastColdSend {}; ///< Last request sent while the server was cold, for the rate limit.
};

/// Whether the server is ready and neither removed, evacuated nor leaving.
bool isUsable(const BackendServer& server);

/// Whether the server is usable and requests may be sent to it now: there is no backoff, and it has asked for no pause.
bool mayReceive(const BackendServer& server, TimePoint now);

inline bool isCold(const BackendServer& server, TimePoint now)
{
    return now < server.coldUntil || now < server.assumedColdUntil;
}

/// Estimated number of requests at the server: those of this instance, and those of the other ones by the server's last
/// report, which gives way to the assumed load as it ages, or by the heartbeats of the instances of the same zone if
/// these report more.
double outstandingRequests(const BackendServer& server, TimePoint now);

/// Sets the assumed load of the servers of one service to the mean of the recent reports in their region, relative to
/// their slots. An instance of a large fleet hears from each server only rarely. Without the assumption, all instances
/// take the servers that they have not heard from for idle, and fill their queues together during an overload.
void updateAssumedLoads(std::span<const std::shared_ptr<BackendServer>> servers, TimePoint now);

/// Records the result of a connect. Consecutive failures exclude the server for a backoff that doubles up to 2 s.
void recordConnect(BackendServer& server, bool succeeded, Duration duration, TimePoint now);

/// An assumption that a server is cold, which can be taken back.
struct ColdAssumption {
    TimePoint before {}; ///< BackendServer::assumedColdUntil without the assumption.
    TimePoint assumed {}; ///< The same with it.
};

/// Assumes that the server is cold at least until \a until. \a assumption is kept over several calls.
void assumeCold(BackendServer& server, TimePoint until, ColdAssumption& assumption);

/// Takes the assumption back, unless something else has set another time since then.
void takeBack(BackendServer& server, const ColdAssumption& assumption);

/// Records a response that went on beyond all limits. Excludes the server like a failed connect.
void recordExcessiveResponse(BackendServer& server, TimePoint now);

/// Records whether an attempt succeeded or failed because of the server.
void recordAttempt(BackendServer& server, bool succeeded);

} // namespace clementinefall::forwarding
