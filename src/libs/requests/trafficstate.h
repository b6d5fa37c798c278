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

/// Which process this is.
struct InstanceIdentity {
    std::string name;
    std::string zone;
    std::uint64_t incarnation = 0;
};

/// Routing data that the control thread publishes and traffic threads read.
struct PublishedRouting {
    std::shared_ptr<const steering::RoutingSnapshot> snapshot;
    steering::FleetView view;
    std::vector<std::uint64_t> incarnations; ///< By instance; 0 when not known.
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

/// State that the traffic threads share. Members behind a mutex are locked for short sections only.
class TrafficState {
public:
    TrafficState(InstanceIdentity identity, SpanSink& sink);

    std::shared_ptr<const PublishedRouting> routing() const { return std::atomic_load(&this->published); }
    void publish(std::shared_ptr<const PublishedRouting> routing)
    {
        std::atomic_store(&this->published, std::move(routing));
    }

    /// Takes a slot of a backend server of the own zone that is not in \a tried.
    struct TakenServer {
        steering::ServerPosition slot = 0;
        std::string name;
        HostPort address;
    };
    std::variant<TakenServer, ResultCode> takeServer(steering::Index service, bundle::Priority priority,
        const std::vector<steering::ServerPosition>& tried, Random& random);
    /// Gives the slot back and learns from the outcome. A draining signal in the answer ends new work on the server.
    void releaseServer(
        steering::Index service, const TakenServer& server, const steering::AttemptOutcome& outcome, bool isDraining);

    /// Applies a new bundle to the servers' state and to the own slot shares. Control thread.
    void applyServers(const steering::RoutingSnapshot& snapshot, steering::Index localZone, TimePoint now);
    /// Control thread, once a second: ramps, ejections and shares. Returns the query for the zone's other instances.
    steering::ShareQuery tickServers(TimePoint now);
    steering::ShareStatus answerShareQuery(const steering::ShareQuery& query);
    void recordShareStatus(const steering::ShareStatus& status, TimePoint now);
    /// Latency of an answered attempt, for the first-byte timeout.
    void noteLatency(steering::Index service, Duration latency);
    Duration firstByteTimeoutOf(steering::Index service, TimePoint deadline);

    /// False while a started instance must not use its slots yet.
    bool hasSlots();
    /// Newest bundle version whose slot shares are used to the full; 0 before the first.
    std::uint64_t settledSlotVersion();
    void recordPlatformDrain(std::string_view server, bool isLeaving, TimePoint now);

    const InstanceIdentity self;
    SpanSink& spans;
    TrafficCounters counters;
    std::atomic<bool> leaving { false }; ///< A stop was requested: no identities are issued, requests are carried.
    std::atomic<bool> stopping { false }; ///< No new request is carried.

    std::mutex executionMutex;
    ExecutionTable executions;

    std::mutex budgetMutex;
    RetryBudget retryBudget;

private:
    std::shared_ptr<const PublishedRouting> published;
    std::mutex serverMutex;
    steering::ServerTable servers;
    steering::ShareHistory slotHistory;
    std::vector<LatencyWindow> latencies; ///< By service of the snapshot last applied.
    bool hasAppliedServers = false;
};

} // namespace clementinefall::requests
