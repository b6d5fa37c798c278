#pragma once

#include "base/trace.h"
#include "requests/connectionhealth.h"
#include "requests/executiontable.h"
#include "requests/latencywindow.h"
#include "requests/retrybudget.h"
#include "steering/routing.h"
#include "steering/servertable.h"
#include "steering/sharehistory.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace clementinefall::requests {

/// Name, zone and incarnation of the local process.
struct InstanceIdentity {
    std::string name;
    std::string zone;
    std::uint64_t incarnation = 0;
};

/// Routing data published by the control thread and read by the traffic threads.
struct PublishedRouting {
    std::shared_ptr<const steering::RoutingSnapshot> snapshot;
    steering::FleetView view;
    std::vector<std::uint64_t> incarnations; ///< By instance index; 0 if unknown.
};

struct TrafficCounters {
    std::atomic<std::uint64_t> lookups { 0 };
    std::atomic<std::uint64_t> requests { 0 };
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> notRun { 0 };
    std::atomic<std::uint64_t> unknown { 0 };
    std::atomic<std::uint64_t> extraAttempts { 0 };
    std::atomic<std::uint64_t> forwardedToHome { 0 };
    std::atomic<std::uint64_t> executedForPeers { 0 };
    std::atomic<std::uint64_t> newConnections { 0 };
};

/// State shared by the traffic threads. Mutexes are held for short sections only.
class TrafficState {
public:
    TrafficState(InstanceIdentity identity, SpanSink& sink);

    std::shared_ptr<const PublishedRouting> routing() const { return std::atomic_load(&this->published); }
    void publish(std::shared_ptr<const PublishedRouting> routing)
    {
        std::atomic_store(&this->published, std::move(routing));
    }

    /// Backend server of which one slot is held.
    struct AcquiredServer {
        steering::ServerPosition position = 0;
        std::string name;
        HostPort address;
    };
    /// Acquires a slot of a backend server of the local zone that is not in \a tried. Returns the code of the
    /// rejection if no slot is available.
    std::variant<AcquiredServer, ResultCode> acquireServer(steering::Index service, bundle::Priority priority,
        const std::vector<steering::ServerPosition>& tried, Random& random);
    /// Releases the slot and records the outcome. With \a isDraining, which the response signals, the server receives
    /// no new requests.
    void releaseServer(steering::Index service, const AcquiredServer& server, const steering::AttemptOutcome& outcome,
        bool isDraining);

    /// Applies a new bundle to the state of the backend servers and to the local slot shares. For the control thread.
    void applyServers(const steering::RoutingSnapshot& snapshot, steering::Index localZone, TimePoint now);
    /// Updates cold-start ramps, ejections and slot shares. The control thread calls it once a second. Returns the
    /// query for the other instances of the zone.
    steering::ShareQuery tickServers(TimePoint now);
    steering::ShareStatus answerShareQuery(const steering::ShareQuery& query);
    void recordShareStatus(const steering::ShareStatus& status, TimePoint now);
    /// Records the latency of an answered attempt, from which the first-byte timeout is derived.
    void recordLatency(steering::Index service, Duration latency);
    Duration firstByteTimeoutOf(steering::Index service, TimePoint deadline);

    /// False as long as a newly started instance must not use its slots.
    bool hasUsableSlots();
    /// Newest bundle version whose slot shares are fully in use; 0 before the first.
    std::uint64_t settledSlotVersion();
    /// Records whether the platform reports that \a server drains.
    void recordPlatformDrain(std::string_view server, bool isDraining, TimePoint now);

    const InstanceIdentity self;
    SpanSink& spans;
    TrafficCounters counters;
    /// Set when a stop is requested: no more identities are issued, but requests are still forwarded.
    std::atomic<bool> stopRequested { false };
    std::atomic<bool> isStopping { false }; ///< New requests are rejected.

    std::mutex executionMutex;
    ExecutionTable executions;

    std::mutex budgetMutex;
    RetryBudget retryBudget;

private:
    std::shared_ptr<const PublishedRouting> published;
    std::mutex serverMutex;
    steering::ServerTable servers;
    steering::ShareHistory slotHistory;
    std::vector<LatencyWindow> latencies; ///< By service index of the last applied snapshot.
    bool hasAppliedServers = false;
};

} // namespace clementinefall::requests
