#pragma once

#include "base/clock.h"
#include "base/settings.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace clementinefall::forwarding {

enum class ServerState : std::uint8_t { Ready, Draining };

/// What a backend server says of itself, decoded from its entry.
struct ServerEntry {
    std::string id; ///< Names one incarnation, but a restarted server may use its old one again.
    std::string service;
    HostPort address;
    std::string zone;
    unsigned slots = 1; ///< Requests that it runs at a time.
    ServerState state = ServerState::Ready;
    Duration coldLeft {}; ///< Time that it stays cold, counted from when the entry was written.
    std::uint64_t bornMs = 0; ///< Start of this incarnation, Unix time in milliseconds.
    std::uint64_t sequence = 0; ///< Rises with each report of one incarnation.
    std::uint64_t revision = 0; ///< Of the store, at the entry's last change.
};

/// How far a backend server is from this entry instance.
enum class Locality : std::uint8_t { SameZone, SameRegion, OtherRegion };

/// Objects that a backend server has handled lately for this instance, by hash of route and affinity key.
class RecentObjects {
public:
    /// Longer than a backend server keeps an object that nobody asks for under usual load.
    static constexpr seconds memory { 30 };
    static constexpr std::size_t capacity = 128;

    void note(std::uint64_t object, TimePoint now);
    void forget(std::uint64_t object) { this->objects.erase(object); }
    bool contains(std::uint64_t object, TimePoint now) const;
    void clear() { this->objects.clear(); }

private:
    std::unordered_map<std::uint64_t, TimePoint> objects;
};

/// Last load report of a backend server, from one of its answers.
struct LoadReport {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned ownInFlight = 0; ///< Requests of this instance that the report includes.
    TimePoint at {};
};

/// One backend server: its entry, and what this instance has learned from its own requests.
struct BackendServer {
    ServerEntry entry;
    Locality locality = Locality::OtherRegion;
    std::string region;
    bool isGone = false; ///< Removed from the store; kept alive only by requests in flight.
    bool isEvacuated = false;
    TimePoint coldUntil {};
    TimePoint missingSince {}; ///< Set while a relist after an outage lacks the entry.

    unsigned inFlight = 0; ///< Requests of this instance.
    LoadReport report;
    std::unordered_map<std::string, unsigned> neighbourInFlight; ///< By entry instance of the same zone.
    RecentObjects recentObjects;

    double slowness = 1.0; ///< Moving average of measured over expected working time.
    double failureRate = 0.0; ///< Moving average over finished attempts, 0 to 1.
    Duration connectTime {}; ///< Moving average; about one round trip.
    unsigned connectFailures = 0; ///< In a row.
    TimePoint avoidUntil {}; ///< No requests before, after connects failed.
    TimePoint silentSince {}; ///< First unanswered send since the last sign of life; unset while nothing is unanswered.
    Duration silenceLimit {}; ///< Silence after which the server is taken for dead.
    TimePoint lastArrival {}; ///< Last send while cold, for the rate limit.
};

/// Whether a request may be sent to the server at all.
bool isUsable(const BackendServer& server);

/// Whether the server is cold at \a now.
inline bool isCold(const BackendServer& server, TimePoint now) { return now < server.coldUntil; }

/// Requests that the server is believed to hold: those of this instance and of the other ones, from its last report
/// when that is recent and from the neighbours' beats otherwise.
double outstanding(const BackendServer& server, TimePoint now);

/// Records the end of a connect. A failed one keeps the server unused for a while that doubles, up to 2 s.
void recordConnect(BackendServer& server, bool succeeded, Duration took, TimePoint now);

/// Records that an attempt succeeded or failed by the server's fault.
void recordAttempt(BackendServer& server, bool succeeded);

} // namespace clementinefall::forwarding
