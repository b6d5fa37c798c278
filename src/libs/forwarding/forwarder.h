#pragma once

#include "base/random.h"
#include "forwarding/configuration.h"
#include "forwarding/forwardingmetrics.h"
#include "forwarding/placement.h"
#include "forwarding/regionspill.h"
#include "forwarding/serverpool.h"
#include "forwarding/waitingroom.h"
#include "requests/quarantine.h"
#include "requests/retrybudget.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace clementinefall::forwarding {

struct ForwarderSettings {
    std::string instance; ///< Name of this entry instance.
    std::string region;
    WireNames names;
    PlacementParameters placement;
    double retryRatio = 0.2; ///< Repeats that the whole fleet may send to a service, by its requests.
    double retryAllowance = 0; ///< Repeats beyond that ratio in a window, for the whole fleet.
};

/// A request on its way, as its caller's connection sees it.
struct RequestTicket {
    std::shared_ptr<ForwardedRequest> request;
    AnswerSink* sink = nullptr; ///< Takes a long answer in pieces.
    bool isCancelled = false; ///< The caller has left.
    bool mustEnd = false; ///< The instance stops and waits no longer.
    std::shared_ptr<const Configuration> configuration; ///< Set by Forwarder::resolve().
    const Route* route = nullptr; ///< In `configuration`; none when no route matches.
    std::function<void()> onCancel; ///< Set while something can be interrupted.

    /// The caller has left: whatever still runs for the request is ended.
    void cancel();
    /// Ends what still runs; the request is answered as unknown, or as not run if nothing was sent.
    void end();

private:
    void interrupt();
};

/// Carries requests of callers to backend servers. Runs on one thread.
class Forwarder : public std::enable_shared_from_this<Forwarder> {
public:
    Forwarder(asio::any_io_executor forwarderExecutor, ForwarderSettings forwarderSettings,
        std::shared_ptr<ServerCatalog> serverCatalog);

    /// Puts a configuration in force unless a newer one is. Returns whether it was taken.
    bool configure(std::shared_ptr<const Configuration> newConfiguration);
    const std::shared_ptr<const Configuration>& configuration() const { return this->currentConfiguration; }

    /// The answer for a request; an answer that was streamed has `wasStreamed` set in the outcome.
    struct Outcome {
        CallerAnswer answer;
        bool wasStreamed = false;
        bool isCut = false; ///< A streamed answer broke off; the caller's connection must be reset.
    };
    Awaitable<Outcome> forward(std::shared_ptr<RequestTicket> ticket);

    /// Looks the request's route up in the configuration in force, unless that was done already.
    void resolve(RequestTicket& ticket) const;

    /// For a stop: requests that wait for room are refused now, and later ones do not wait.
    void refuseWaiting();
    /// For the end of a stop: every request is answered now. An answer that is ready may be behind one that is not.
    void endAll();
    /// Requests whose outcome is not known yet.
    std::size_t activeRequests() const { return this->active.size(); }

    /// Names of the live entry instances of the region, by which senders to cold servers are chosen; the number of
    /// those in the own zone, and of all, which share the retry budget.
    void setInstances(std::vector<std::string> regionInstances, std::size_t zoneSize,
        std::map<std::string, std::size_t> liveCountByRegion);

    /// Records the requests that an entry instance of the same zone has at each backend server.
    void noteNeighbour(const std::string& instance, const std::map<std::string, unsigned>& inFlight, TimePoint now);

    /// Records how much of its slots a region uses, by service, as one of its entry instances says.
    void noteRegionUse(const std::string& region, const std::map<std::string, double>& useByService, TimePoint now);
    /// Used part of the own region's slots by service, for the other regions.
    std::map<std::string, double> regionUtilization() const;

    /// Regular work, about four times a second.
    void tick(TimePoint now);

    /// Requests of this instance at each backend server, for the neighbours.
    std::map<std::string, unsigned> inFlightByServer() const;

    requests::Quarantine& quarantine() { return this->heldBack; }
    /// Marks of crashes that this instance saw since the last call.
    std::vector<requests::CrashMark> takeCrashMarks();

    ForwardingMetrics& metrics() { return this->counters; }
    ServerPool& pool() { return this->connections; }

private:
    struct Job;
    struct RouteState {
        ServiceRotation rotation;
        ProcessingTimeEstimate processingTime;
        double answerBytes = 0; ///< Moving average of the sizes of answers.
        double requestBytes = 0; ///< The same for bodies of requests.
        unsigned recentPlacements = 0; ///< Since the last summary line.
        unsigned homePlacements = 0;
        unsigned freshPlacements = 0;
    };

    Awaitable<Outcome> carry(std::shared_ptr<RequestTicket> ticket);
    std::shared_ptr<RouteState> stateOf(const Route& route);
    Placement place(Job& job, TimePoint now);
    bool mayUseCold(const BackendServer& server, TimePoint now) const;
    Awaitable<bool> waitForRoom(Job& job);
    Awaitable<std::optional<ServerAnswer>> attempt(
        Job& job, const ServerPointer& server, const CompletionEstimate& expected);
    void recordEnd(Job& job, const ServerPointer& server, const CompletionEstimate& expected,
        const ServerAnswer& answer, unsigned loadAtSend, TimePoint sentAt);
    void noteConnectFailure(const ServerPointer& server, TimePoint now);
    void recordCrash(const ServerPointer& server, TimePoint now);
    bool shouldRetry(const Job& job, const ServerAnswer& answer, TimePoint now);
    void updateSpills(TimePoint now);
    void logRoutes(TimePoint now);
    Duration spread(Duration pause);
    Outcome finish(Job& job, Outcome outcome);
    Outcome refuse(Job& job, const Error& error, Duration retryAfter);
    requests::RetryBudget& budgetOf(const std::string& service);

    asio::any_io_executor executor;
    ForwarderSettings settings;
    std::shared_ptr<ServerCatalog> catalog;
    std::shared_ptr<const Configuration> currentConfiguration;
    std::map<std::string, std::shared_ptr<RouteState>> routeStates; ///< By the route's name.
    std::map<std::string, requests::RetryBudget> budgets;
    std::map<std::string, WaitingRoom> waitingRooms; ///< By service.
    std::map<std::string, std::map<std::string, unsigned>> neighbourLoads; ///< By instance and server.
    std::map<std::string, TimePoint> neighbourHeardAt;
    struct ReportedUse {
        double use = 0;
        TimePoint at {};
    };
    std::map<std::pair<std::string, std::string>, ReportedUse> reportedUses; ///< By region and service.
    std::set<RequestTicket*> active; ///< Requests between forward() and its end.
    bool refusesWaiting = false;
    std::map<std::string, RegionSpill> spills; ///< By service.
    TimePoint lastTick {};
    TimePoint nextSummary {};
    ServerPool connections;
    requests::Quarantine heldBack;
    requests::InFlightTracker tracker;
    std::vector<requests::CrashMark> freshMarks;
    TimePoint lastCrash {};
    std::string lastCrashServer;
    std::vector<std::string> instancesOfRegion;
    std::map<std::string, std::size_t> instancesByRegion;
    std::size_t instanceCount = 1;
    std::size_t zoneInstanceCount = 1;
    Random random;
    ForwardingMetrics counters;
};

} // namespace clementinefall::forwarding
