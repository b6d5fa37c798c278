#pragma once

#include "base/pausedetector.h"
#include "base/random.h"
#include "forwarding/configuration.h"
#include "forwarding/forwardingmetrics.h"
#include "forwarding/memorybudget.h"
#include "forwarding/peerforwarding.h"
#include "forwarding/permitclient.h"
#include "forwarding/placement.h"
#include "forwarding/reachabilitymonitor.h"
#include "forwarding/regionspill.h"
#include "forwarding/requestqueue.h"
#include "forwarding/serverconnectionpool.h"
#include "requests/quarantine.h"
#include "requests/retrybudget.h"

#include <deque>
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
    double retryRatio = 0.2; ///< Retries per request to a service that the whole fleet may send.
    /// Retries of this instance beyond that ratio in each budget window, until setRetryAllowance() is called.
    unsigned retryAllowance = 0;
    StreamingLimits streaming;
    std::function<Duration()> sinceBoot = timeSinceBoot; ///< Clock that includes the suspension of the machine.
};

/// A request that is being forwarded, shared by the caller's session and the Forwarder.
struct RequestContext {
    std::shared_ptr<ForwardedRequest> request;
    ResponseSink* sink = nullptr; ///< Receives a streamed response.
    std::shared_ptr<MessageMemory> memory; ///< Accounts for the request and its response.
    bool isCancelled = false; ///< The caller closed the connection.
    bool isAborted = false; ///< The instance is stopping and no longer waits for the response.
    bool isStreaming = false; ///< The response is being streamed, or waits for its turn on the caller's connection.
    std::shared_ptr<const Configuration> configuration; ///< Set by Forwarder::resolve().
    const Route* route = nullptr; ///< In `configuration`; null when no route matches.
    std::function<void()> onCancel; ///< Set while a pending operation can be interrupted.

    /// Interrupts the pending operation after the caller closed the connection.
    void cancel();
    /// Interrupts the pending operation, unless a response is being streamed, which may end by itself until the process
    /// does. The outcome of the request is unknown, or not run if nothing was sent.
    void abort();

private:
    void interrupt();
};

/// Forwards callers' requests to backend servers. Not thread-safe: all calls are made on the executor's thread.
class Forwarder : public std::enable_shared_from_this<Forwarder> {
public:
    Forwarder(asio::any_io_executor forwarderExecutor, ForwarderSettings forwarderSettings,
        std::shared_ptr<ServerCatalog> serverCatalog);

    /// Applies a configuration. Returns false when the current one has the same or a newer version.
    bool configure(std::shared_ptr<const Configuration> newConfiguration);
    const std::shared_ptr<const Configuration>& configuration() const { return this->currentConfiguration; }

    struct Outcome {
        CallerResponse response;
        bool wasStreamed = false; ///< The sink has received the response already.
        bool isTruncated = false; ///< A streamed response was incomplete; the caller's connection must be closed.
    };
    /// Forwards a request and returns the response for its caller.
    Awaitable<Outcome> forward(std::shared_ptr<RequestContext> context);

    /// Finds the route of the request unless that was done already for the current configuration.
    void resolve(RequestContext& context) const;

    /// Time that a server usually takes for the request if it has nothing cached; zero without a route.
    Duration usualProcessingTime(const RequestContext& context) const;

    /// A random duration from half of \a pause to one and a half of it, so that callers that are rejected together do
    /// not return together.
    Duration withJitter(Duration pause);

    /// Rejects the queued requests during a stop; later requests are not queued.
    void rejectWaiting();
    /// Aborts all active requests at the end of a stop. Otherwise responses that are ready would stay queued behind
    /// those of unfinished requests on the same caller connection.
    void abortAll();
    /// Number of requests without an outcome yet.
    std::size_t activeRequests() const { return this->activeRequestContexts.size(); }

    /// Sets the entry instances: the names of those from which the senders to cold servers are chosen, none while they
    /// are not known; the number of live ones in the local zone; and that in each region.
    void setInstances(std::vector<std::string> senderCandidates, std::size_t zoneSize,
        std::map<std::string, std::size_t> liveCountByRegion);

    /// Sets the retries of this instance beyond the ratio in each budget window, for each service.
    void setRetryAllowance(unsigned allowance);

    /// Records the in-flight requests of an entry instance of the same zone at each backend server.
    void recordNeighbourLoad(
        const std::string& instance, const std::map<std::string, unsigned>& inFlight, TimePoint now);

    /// Records the utilization of a region (outstanding requests over slots) by service, as reported by one of its
    /// entry instances.
    void recordRegionUtilization(
        const std::string& region, const std::map<std::string, double>& utilizationByService, TimePoint now);
    /// Utilization of the local region by service, reported to the other regions.
    std::map<std::string, double> regionUtilization() const;

    /// The instance that hands out the permits under a server's rate limit, or nothing if that is this one. Without the
    /// function, this instance hands out all of its own.
    std::function<std::optional<HostPort>(const BackendServer&)> permitCoordinator;
    PermitClient& permitClient() { return *this->permits; }
    /// Decides on another instance's request for a permit. Denied when this instance is not the coordinator.
    PermitReply answerPermitRequest(const PermitRequest& request, TimePoint now);
    /// Applies the rate limits of a coordinator's heartbeat.
    void recordRateLimits(const std::map<std::string, RateLimitState>& limits);
    /// Rate limits of the servers that this instance coordinates, for its heartbeats.
    std::map<std::string, RateLimitState> coordinatedRateLimits(TimePoint now);

    /// The entry instances to which requests pass while this one reaches no backend server. Without the function, none.
    std::function<std::vector<Peer>()> peers;
    /// Called when this instance has become stranded, or reaches backend servers again.
    std::function<void()> onReachabilityChanged;
    /// Whether this instance reaches no backend server.
    bool isStranded() const { return this->reachability->state().isStranded; }

    /// Age of the knowledge that the configuration is the newest one, for the log. Without the function, none is
    /// logged.
    std::function<Duration()> configurationAge;

    /// Called when the process was paused for so long that its knowledge of the backend servers may be outdated. Until
    /// confirmKnowledge() is called, or for a limited time if it is not, requests are not sent.
    std::function<void()> onPaused;
    /// To be called when the knowledge of the backend servers was found to be current.
    void confirmKnowledge() { this->heldUntil = {}; }

    /// Periodic maintenance, to be called about four times a second.
    void tick(TimePoint now);

    /// In-flight requests of this instance at each backend server, reported to the instances of the same zone.
    std::map<std::string, unsigned> inFlightByServer() const;

    /// Requests that are quarantined because copies of them crashed backend servers.
    requests::Quarantine& quarantine() { return this->requestQuarantine; }
    /// Names of the fleet's instances, including this one, of which one may let a copy of a quarantined request run.
    /// Without the function, this one may.
    std::function<std::vector<std::string>()> instanceNames;
    /// Applies what another instance reports of crashes.
    void mergeCrashMark(const requests::CrashMark& mark, TimePoint now);
    void mergeClearing(const requests::MarkClearing& clearing, TimePoint now);
    /// Recent crash marks of this instance, for its heartbeats, the most important first. While an instance is new
    /// (\a hasNewInstance) also those of other instances that still matter.
    std::vector<requests::CrashMark> crashMarksToReport(bool hasNewInstance, TimePoint now) const;
    /// Recent clearings by this instance, for its heartbeats.
    std::vector<requests::MarkClearing> clearingsToReport(TimePoint now);

    ForwardingMetrics& metrics() { return this->counters; }
    ServerConnectionPool& connectionPool() { return this->connections; }

private:
    struct Job;
    /// Sums of the time that requests spent in each stage of forwarding.
    struct StageTimes {
        unsigned requests = 0;
        unsigned late = 0; ///< Answered after the route's target latency.
        Duration queued {}; ///< In the queue of this instance.
        Duration connecting {};
        Duration exchanging {}; ///< From sending to a backend server until its response.
    };
    struct RouteState {
        ServiceRotation rotation;
        ProcessingTimeEstimate processingTime;
        double averageResponseBytes = 0; ///< Moving average of the sizes of response bodies.
        double averageRequestBytes = 0; ///< Moving average of the sizes of request bodies.
        /// Placements since the last summary line, by whether the server probably has the object cached.
        unsigned cachedPlacements = 0;
        unsigned homePlacements = 0;
        unsigned uncachedPlacements = 0;
        /// Times of the requests finished since the last summary line, by stage.
        StageTimes stageTimes;
    };

    Awaitable<Outcome> processRequest(std::shared_ptr<RequestContext> context);
    std::shared_ptr<RouteState> routeState(const Route& route);
    Placement placeRequest(Job& job, TimePoint now);
    /// Whether requests wait because the process was paused. Detects a pause that no timer has noticed yet.
    bool isHeld(TimePoint now);
    /// Waits for a short time, or until the request is cancelled.
    Awaitable<void> waitShortly(std::shared_ptr<RequestContext> context);
    bool mayUseCold(const BackendServer& server, TimePoint now) const;
    /// Queues the request until it should be placed again. Returns false when it is to be rejected instead.
    Awaitable<bool> waitForCapacity(Job& job);
    /// Sends the request to \a server. Returns nothing when no connection could be used and nothing was sent.
    Awaitable<std::optional<ServerResponse>> attempt(
        Job& job, const ServerPointer& server, const CompletionEstimate& expected);
    void recordAttemptResult(Job& job, const ServerPointer& server, const CompletionEstimate& expected,
        const ServerResponse& response, unsigned loadAtSend, TimePoint sentAt);
    /// Asks the coordinator of \a server, which may be this instance.
    Awaitable<PermitReply> askForPermit(
        std::shared_ptr<RequestContext> context, ServerPointer server, Duration maximumDelay, TimePoint deadline);
    /// Obtains a permit to send to a server with a rate limit, and waits until it may be used. If there is none in
    /// time, the server is left out until one may be available.
    Awaitable<bool> obtainPermit(Job& job, const ServerPointer& server, const CompletionEstimate& expected);
    /// Whether the job may still use its permit, or needs none.
    static bool isPermitValid(const Job& job, const BackendServer& server, TimePoint now);
    /// Adopts a newer state of the server's limit and logs a change. Returns whether it changed.
    bool mergeServerLimit(const ServerPointer& server, const RateLimitState& limit, std::string_view source);
    PermitReply decidePermit(BackendServer& server, Duration maximumDelay, TimePoint now);
    /// A new connection to \a server, which is not connected yet.
    std::shared_ptr<ServerConnection> createConnection(const ServerPointer& server);
    /// Applies what a backend server said in a response on a connection to \a sender.
    void applyNotice(const ServerPointer& sender, const ServerNotice& notice, TimePoint now);
    /// Logs and counts that the server said so, in a response to this instance or through another one (\a source).
    void onServerLeaving(const BackendServer& server, std::string_view source);
    void onConnectFailure(const ServerPointer& server, TimePoint now);
    /// Whether the next attempt of the request is made by another instance.
    bool shouldPassToPeer(const Job& job) const;
    /// Passes the request to another instance. Returns nothing when none could be reached.
    Awaitable<std::optional<ServerResponse>> attemptThroughPeer(Job& job);
    Awaitable<std::shared_ptr<ServerConnection>> connectToPeer(Job& job, const ServerPointer& endpoint);
    /// The endpoint of another instance, which is connected to like a server.
    ServerPointer peerEndpoint(const Peer& peer);
    void onServerConnected();
    void onReachabilityChange();
    /// Records that the server broke its connection while it ran the request.
    void onConnectionLost(const ServerPointer& server, std::uint64_t requestNumber, TimePoint now);
    /// Finds out whether the server has ended, or broke a connection only.
    void verifyCrash(const ServerPointer& server);
    Awaitable<void> connectToVerify(ServerPointer server);
    void confirmCrash(const std::string& server, TimePoint now);
    bool isCrashBeingVerified(const Job& job) const;
    /// Records that a server survived the request.
    void recordHarmless(const requests::Fingerprint& fingerprint, TimePoint now);
    /// Whether a copy of a quarantined request may run now, to find out whether it is harmless.
    bool takeTrial(const requests::Fingerprint& fingerprint, TimePoint now);
    Duration retryAfterQuarantine(const requests::Fingerprint& fingerprint, TimePoint now) const;
    /// Logs when the request was quarantined, or is no longer.
    void logQuarantine(const requests::Fingerprint& fingerprint, TimePoint now);
    bool shouldRetry(const Job& job, const ServerResponse& response, TimePoint now);
    void updateSpills(TimePoint now);
    void logSummaries(TimePoint now);
    Outcome finish(Job& job, Outcome outcome);
    Outcome reject(Job& job, const Error& error, Duration retryAfter);
    requests::RetryBudget& budgetOf(const std::string& service);
    /// Time of the retry budgets. Unlike the steady clock, it goes on while the machine is suspended.
    TimePoint budgetTime() const { return TimePoint { this->settings.sinceBoot() }; }
    /// Takes one retry from the budget of the service. Returns false when none is left.
    bool takeRetry(const std::string& service);

    asio::any_io_executor executor;
    ForwarderSettings settings;
    std::shared_ptr<ServerCatalog> catalog;
    std::shared_ptr<const Configuration> currentConfiguration;
    std::map<std::string, std::shared_ptr<RouteState>> routeStates; ///< By the route's name.
    std::map<std::string, requests::RetryBudget> budgets;
    struct RetryUse {
        unsigned granted = 0;
        unsigned denied = 0;
    };
    std::map<std::string, RetryUse> retryUses; ///< By service, since the last summary line.
    std::map<std::string, RequestQueue> requestQueues; ///< By service.
    /// In-flight requests of the other instances of the zone, by instance and server.
    std::map<std::string, std::map<std::string, unsigned>> neighbourLoads;
    std::map<std::string, TimePoint> neighbourReportedAt;
    struct ReportedUtilization {
        double utilization = 0; ///< Moving average of outstanding requests over slots.
        TimePoint reportedAt {};
    };
    std::map<std::pair<std::string, std::string>, ReportedUtilization> reportedUtilizations; ///< By region and service.
    std::set<RequestContext*> activeRequestContexts; ///< Requests inside forward().
    bool rejectsWaiting = false; ///< Set by rejectWaiting().
    std::map<std::string, RegionSpill> spills; ///< By service.
    PauseDetector pauseDetector;
    TimePoint heldUntil {}; ///< No request is sent before, after a pause of the process.
    TimePoint lastTick {};
    TimePoint nextSummary {};
    ServerConnectionPool connections;
    std::shared_ptr<ReachabilityMonitor> reachability;
    TimePoint lastResponseAt {}; ///< From any backend server.
    /// After failed connects, by server. The failures may be those of this instance's own links.
    std::map<ServerPointer, ColdAssumption> coldAssumptions;
    std::set<std::shared_ptr<ServerConnection>> repeatableExchanges; ///< In progress, of idempotent requests.
    std::set<ServerPointer> pausedServers; ///< Until the end of the pause is logged.
    std::map<std::string, ServerPointer> peerEndpoints; ///< By the name of the instance.
    requests::Quarantine requestQuarantine;
    requests::InFlightTracker tracker;
    std::set<std::string> verifyingCrashes; ///< Servers that are connected to; see verifyCrash().
    TimePoint lastLossAt {}; ///< Of a connection on which a server ran a request; for the log.
    std::string lastLostServer;
    std::deque<requests::MarkClearing> ownClearings;
    std::set<requests::Fingerprint> loggedQuarantines;
    std::vector<std::string> coldSenderCandidates; ///< Names; only this instance before setInstances().
    std::map<std::string, std::size_t> instancesByRegion;
    std::size_t zoneInstanceCount = 1;
    std::shared_ptr<PermitClient> permits;
    std::set<std::string> rateLimitedServers; ///< With a limit, or one that ended a short time ago.
    TimePoint configuredAt {}; ///< When this instance became ready.
    std::map<std::string, Duration> processingTimeByService; ///< Moving averages.
    Random random;
    ForwardingMetrics counters;
};

} // namespace clementinefall::forwarding
