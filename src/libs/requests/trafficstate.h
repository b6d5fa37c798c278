#pragma once

#include "base/trace.h"
#include "requests/executiontable.h"
#include "requests/retrybudget.h"
#include "steering/routing.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

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
    TrafficState(InstanceIdentity identity, SpanSink& sink)
        : self(std::move(identity))
        , spans(sink)
    {
    }

    std::shared_ptr<const PublishedRouting> routing() const { return std::atomic_load(&this->published); }
    void publish(std::shared_ptr<const PublishedRouting> routing)
    {
        std::atomic_store(&this->published, std::move(routing));
    }

    /// Takes a slot of the least loaded server of the service in \a zone that was not tried yet; nothing when all are
    /// full, leaving or tried.
    std::optional<steering::Index> takeServer(const steering::RoutingSnapshot& snapshot, steering::Index service,
        steering::Index zone, const std::vector<steering::Index>& tried);
    void releaseServer(const std::string& name);

    const InstanceIdentity self;
    SpanSink& spans;
    TrafficCounters counters;
    std::atomic<bool> stopping { false };

    std::mutex executionMutex;
    ExecutionTable executions;

    std::mutex budgetMutex;
    RetryBudget retryBudget;

private:
    std::shared_ptr<const PublishedRouting> published;
    std::mutex serverMutex;
    std::map<std::string, unsigned, std::less<>> inFlight;
};

} // namespace clementinefall::requests
