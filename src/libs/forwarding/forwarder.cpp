#include "forwarding/forwarder.h"

#include "forwarding/rejection.h"

#include "base/durations.h"
#include "base/log.h"
#include "http/spawn.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace clementinefall::forwarding {

using requests::AttemptEnd;

namespace {

/// Failed connects after which a request is rejected. Nothing was sent to those servers.
constexpr unsigned maximumConnectFailures = 3;

/// The response is sent this long before the caller's deadline, so that it arrives in time.
constexpr milliseconds responseMargin { 15 };

/// Retry-After while the instance has no configuration.
constexpr milliseconds startupRetryAfter { 500 };

/// Share of the fleet's retry ratio that is spent. Retries in a window may have been earned by the requests of two.
constexpr double usedRatioShare = 0.5;

/// Losses of several servers within this time are logged as such, for a zone or a network may be at fault.
constexpr milliseconds commonCauseWindow { 1500 };

/// Servers that are connected to at the same time to find out whether they have ended. When more are lost, many have a
/// common cause, and crashes that are not confirmed are evidence, too.
constexpr std::size_t maximumCrashVerifications = 16;

/// A refused connection confirms losses of the same server that are not older.
constexpr milliseconds confirmedLossAge { 2000 };

/// A request that has lost this many servers waits until it is known whether they have crashed, before it gets another.
constexpr unsigned lossesBeforeVerification = 2;

/// Crash marks and clearings are repeated in all heartbeats sent within this time, since single heartbeats may be lost.
constexpr seconds crashReportRepeatTime { 3 };
constexpr std::size_t maximumRepeatedCrashMarks = 6;
constexpr std::size_t maximumRepeatedClearings = 6;

/// A server counts as unresponsive after this allowance plus a multiple of the estimated completion time.
constexpr milliseconds unresponsiveAllowance { 700 };
constexpr int unresponsiveEstimateFactor = 3;

/// A queued request checks for a free server at least this often.
constexpr milliseconds capacityCheckInterval { 60 };

/// A request is queued for at most its route's target latency or the time from its arrival to its deadline divided by
/// this, whichever is longer. A caller that is rejected later has too little time left to be served elsewhere.
constexpr int maximumWaitDivisor = 3;

/// Time for which requests are held at most after a pause of the process. A call to the store usually takes less; if
/// the store is away, the instance goes on with what it knows.
constexpr milliseconds maximumHold { 700 };

/// Between two looks of a request at what it waits for.
constexpr milliseconds shortWait { 20 };

/// Backoff of a server after another one responded at its address, until the store reports the change.
constexpr seconds misdirectedBackoff { 2 };

/// Shortest Retry-After for requests that are quarantined because copies of them crashed servers.
constexpr seconds quarantineRetryAfter { 5 };

/// The load reported by an instance of the same zone expires after four missed heartbeats at the shortest interval.
constexpr milliseconds neighbourLoadLifetime { 1000 };

/// Maximum time for a coordinator's reply beyond the round trip to the server, which is in the same zone.
constexpr milliseconds permitReplyAllowance { 150 };

/// After this many denials, a request waits before it asks for further permits, or is rejected. In a shortage, asking
/// the coordinators of all servers one after the other would take most of its time.
constexpr unsigned maximumPermitDenials = 4;

/// A permit stays valid until the limit has fallen below this fraction of what it was.
constexpr double validLimitFraction = 0.9;

/// A server whose coordinator does not reply gets no requests for this time.
constexpr milliseconds silentCoordinatorBackoff { 1000 };

/// The same after the reply of an instance that does not consider itself the coordinator.
constexpr milliseconds foreignPermitBackoff { 300 };

/// The end of a limit is repeated in all heartbeats sent within this time, since single heartbeats may be lost.
constexpr seconds endedLimitRepeatTime { 5 };

/// Interval of the log lines that summarize the placements of each route.
constexpr seconds summaryInterval { 5 };

/// The utilization reported by a region expires after this time, a few heartbeats.
constexpr milliseconds regionUtilizationLifetime { 3000 };

/// Weight of the newest sample in the moving average of a server's slowdown (measured over expected processing
/// time), and the range of the samples.
constexpr double slowdownWeight = 0.12;
constexpr double minimumSlowdown = 0.4;
constexpr double maximumSlowdown = 8.0;

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::ShedByServer:
        return "shed";
    case AttemptEnd::RejectedUnproven:
        return "rejected_unproven";
    case AttemptEnd::RejectedByPeer:
        return "refused";
    case AttemptEnd::ConnectRefused:
        return "connect_failed";
    case AttemptEnd::NothingWritten:
        return "nothing_written";
    case AttemptEnd::LostAfterWrite:
        return "lost";
    case AttemptEnd::TimedOut:
        return "timed_out";
    case AttemptEnd::ResponseTruncated:
        return "cut";
    case AttemptEnd::ResponseInvalid:
        return "invalid";
    case AttemptEnd::NotDecided:
        return "not_decided";
    case AttemptEnd::CancelledUnsent:
    case AttemptEnd::CancelledSent:
        return "cancelled";
    }
    return "unknown";
}

/// Weight of the newest sample in a route's moving averages of request and response sizes.
constexpr double sizeWeight = 0.1;

void updateAverageBytes(double& average, std::size_t bytes)
{
    average += sizeWeight * (static_cast<double>(bytes) - average);
}

std::int64_t meanMs(Duration sum, unsigned count)
{
    return count == 0 ? 0 : std::chrono::duration_cast<milliseconds>(sum / count).count();
}

bool isServerFault(const ServerResponse& response)
{
    switch (response.end) {
    case AttemptEnd::Answered:
        return response.message.status >= 500;
    case AttemptEnd::ShedByServer:
    case AttemptEnd::CancelledSent:
    case AttemptEnd::CancelledUnsent:
        return false;
    default:
        return true;
    }
}

Error quarantineError()
{
    return makeError(ResultCode::NotRunHeldBack, "the request is quarantined: copies of it crashed backend servers");
}

/// Empty for an age that is not known.
std::string millisecondsText(Duration age)
{
    return age == Duration::max() ? "" : fmt::format("{}", std::chrono::duration_cast<milliseconds>(age).count());
}

} // namespace

/// State of one request while it is forwarded.
struct Forwarder::Job {
    std::shared_ptr<RequestContext> context;
    std::shared_ptr<const ForwardedRequest> request;
    std::shared_ptr<const Configuration> configuration;
    const Route* route = nullptr;
    std::string service;
    std::shared_ptr<RouteState> state; ///< Outlives a change of the configuration.
    unsigned permitDenials = 0; ///< Since the request waited last.
    double permittedRate = 0; ///< Rate limit for which the permit was granted.
    TimePoint permitUntil {}; ///< When the permit for the current attempt lapses, at a server with a rate limit.
    TimePoint deadline {}; ///< The earlier of the caller's and the route's, minus the response margin.
    TimePoint target {}; ///< When the route's target latency ends.
    std::uint64_t object = 0; ///< Hash of route and affinity key; 0 without affinity.
    std::uint64_t spillObject = 0; ///< As `object`, but random for requests without affinity.
    std::string spillRegion; ///< The other region that runs the object; empty for the local one.
    requests::Fingerprint fingerprint;
    unsigned maximumServers = 1; ///< To which the request may be sent, including those that another instance tries.
    unsigned attemptsSent = 0; ///< Servers to which the request was sent, or may have been sent by another instance.
    unsigned connectFailures = 0;
    unsigned lostServers = 0; ///< Servers that broke the connection while they ran the request.
    bool mayHaveRun = false; ///< At least one attempt has an unknown outcome.
    std::vector<ServerPointer> tried;
    std::vector<std::string> triedPeers; ///< Names of the entry instances to which the request was passed.
    std::vector<ServerPointer> servers; ///< Candidates of the last placement; its result is a position in this list.
    /// Retry-After from the last placement that found no server. The default is about one processing time.
    Duration retryAfter = milliseconds(250);
    Duration pauseLeft {}; ///< See Placement::pauseLeft.
    ServerPointer lastServer; ///< To which the request was sent last.
    std::optional<LeavingServer> leavingServer; ///< Reported by another instance.
    std::string attemptLog; ///< `server:end` of each attempt.
    Duration queued {}; ///< Total time in the queue.
    Duration connecting {}; ///< Total time for connects.
    Duration exchanging {}; ///< Total time from sending to a backend server until its response.
};

void RequestContext::interrupt()
{
    if (!this->onCancel)
        return;
    const auto interruption = std::move(this->onCancel);
    this->onCancel = {};
    interruption();
}

void RequestContext::cancel()
{
    this->isCancelled = true;
    this->interrupt();
}

void RequestContext::abort()
{
    if (this->isStreaming)
        return;
    this->isAborted = true;
    this->interrupt();
}

Forwarder::Forwarder(asio::any_io_executor forwarderExecutor, ForwarderSettings forwarderSettings,
    std::shared_ptr<ServerCatalog> serverCatalog)
    : executor(std::move(forwarderExecutor))
    , settings(std::move(forwarderSettings))
    , catalog(std::move(serverCatalog))
    , reachability(std::make_shared<ReachabilityMonitor>(this->executor, this->catalog))
    , tracker(systemSeededRandom()())
    , coldSenderCandidates { this->settings.instance }
    , permits(std::make_shared<PermitClient>(this->executor))
    , random(systemSeededRandom())
{
    this->reachability->onChanged = [this] { this->onReachabilityChange(); };
    this->catalog->onRemoved = [this](const ServerPointer& server) { this->connections.closeIdle(server); };
}

bool Forwarder::configure(std::shared_ptr<const Configuration> newConfiguration)
{
    if (!supersedes(*newConfiguration, this->currentConfiguration.get()))
        return false;
    if (!this->currentConfiguration)
        this->configuredAt = Clock::now();
    this->currentConfiguration = std::move(newConfiguration);
    std::map<std::string, std::shared_ptr<RouteState>> kept;
    for (const Route& route : this->currentConfiguration->routes) {
        const auto old = this->routeStates.find(route.name);
        if (old == this->routeStates.end())
            continue;
        old->second->rotation = {};
        kept[route.name] = old->second;
    }
    this->routeStates = std::move(kept);
    std::map<std::string, Duration> coldTimes;
    for (const auto& [name, service] : this->currentConfiguration->services)
        coldTimes[name] = service.coldTime;
    this->catalog->setColdTimes(std::move(coldTimes));
    return true;
}

std::shared_ptr<Forwarder::RouteState> Forwarder::routeState(const Route& route)
{
    auto& state = this->routeStates[route.name];
    if (!state) {
        state = std::make_shared<RouteState>();
        state->processingTime = initialProcessingTimeEstimate(route.targetLatency);
    }
    return state;
}

requests::RetryBudget& Forwarder::budgetOf(const std::string& service)
{
    const auto found = this->budgets.find(service);
    if (found != this->budgets.end())
        return found->second;
    const requests::RetryBudgetLimits limits
        = requests::retryBudgetLimits(this->settings.retryRatio * usedRatioShare, this->settings.retryAllowance);
    return this->budgets.emplace(service, requests::RetryBudget(limits)).first->second;
}

bool Forwarder::takeRetry(const std::string& service)
{
    const bool isGranted = this->budgetOf(service).takeExtraAttempt(this->budgetTime());
    this->counters.recordRetryDecision(service, isGranted);
    RetryUse& use = this->retryUses[service];
    ++(isGranted ? use.granted : use.denied);
    return isGranted;
}

void Forwarder::setInstances(std::vector<std::string> senderCandidates, std::size_t zoneSize,
    std::map<std::string, std::size_t> liveCountByRegion)
{
    this->zoneInstanceCount = std::max<std::size_t>(1, zoneSize);
    this->coldSenderCandidates = std::move(senderCandidates);
    this->instancesByRegion = std::move(liveCountByRegion);
}

void Forwarder::setRetryAllowance(unsigned allowance)
{
    this->settings.retryAllowance = allowance;
    for (auto& [service, budget] : this->budgets)
        budget.setAllowance(allowance);
}

bool Forwarder::isHeld(TimePoint now)
{
    if (beat(this->pauseDetector, this->settings.sinceBoot())) {
        this->heldUntil = now + maximumHold;
        logWarning("resumed_after_pause", { { "active_requests", this->activeRequestContexts.size() } });
        if (this->onPaused)
            this->onPaused();
    }
    return now < this->heldUntil;
}

Awaitable<void> Forwarder::waitShortly(std::shared_ptr<RequestContext> context)
{
    const auto self = this->shared_from_this();
    auto timer = std::make_shared<asio::steady_timer>(this->executor, shortWait);
    context->onCancel = [timer] { timer->cancel(); };
    co_await timer->async_wait(useTuple);
    context->onCancel = {};
}

bool Forwarder::mayUseCold(const BackendServer& server, TimePoint now) const
{
    if (!isCold(server, now))
        return true;
    const auto service = this->currentConfiguration->services.find(server.entry.service);
    if (service == this->currentConfiguration->services.end())
        return false;
    // The senders to a cold server are chosen from the instances of its own region.
    return server.locality != Locality::OtherRegion
        && isColdServerSender(server.entry.id, this->settings.instance, this->coldSenderCandidates)
        && now - server.lastColdSend >= coldSendInterval(service->second.coldRequestsPerSecond);
}

Placement Forwarder::placeRequest(Job& job, TimePoint now)
{
    job.servers = this->catalog->serversOf(job.service);
    const auto& regions = job.route->allowedRegions;
    if (!regions.empty()) {
        std::erase_if(job.servers, [&regions](const ServerPointer& server) {
            return std::find(regions.begin(), regions.end(), server->region) == regions.end();
        });
    }
    std::vector<const BackendServer*> candidates;
    std::vector<char> coldAllowed;
    std::vector<std::size_t> excluded;
    candidates.reserve(job.servers.size());
    coldAllowed.reserve(job.servers.size());
    bool hasLocalServer = false;
    for (std::size_t i = 0; i < job.servers.size(); ++i) {
        const BackendServer& server = *job.servers[i];
        candidates.push_back(&server);
        coldAllowed.push_back(this->mayUseCold(server, now) ? 1 : 0);
        if (std::find(job.tried.begin(), job.tried.end(), job.servers[i]) != job.tried.end())
            excluded.push_back(i);
        if (!isUsable(server))
            continue;
        hasLocalServer = hasLocalServer || server.locality != Locality::OtherRegion;
    }
    PlacementRequest request {
        .object = job.object,
        .bytes = job.request->body.size() + static_cast<std::size_t>(job.state->averageResponseBytes),
        .hasZonalHome = usesZonalHomes(job.state->processingTime,
            static_cast<std::size_t>(job.state->averageRequestBytes + job.state->averageResponseBytes),
            this->settings.placement),
        .processingTime = job.state->processingTime,
        .timeLeft = job.deadline - now,
        .targetTimeLeft = job.target - now,
        .allowsOtherRegions = !hasLocalServer,
        .isLowPriority = job.route->isLowPriority,
    };
    const auto spill = this->spills.find(job.service);
    const std::string region
        = hasLocalServer && spill != this->spills.end() ? spillTarget(spill->second, job.spillObject) : std::string();
    job.spillRegion = region;
    if (!region.empty()) {
        std::vector<std::size_t> outsideRegion = excluded;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i]->region != region)
                outsideRegion.push_back(i);
        }
        request.allowsOtherRegions = true;
        const Placement remote
            = choosePlacement(candidates, coldAllowed, outsideRegion, request, this->settings.placement, now);
        if (remote.server)
            return remote;
        request.allowsOtherRegions = false;
    }
    return choosePlacement(candidates, coldAllowed, excluded, request, this->settings.placement, now);
}

Awaitable<bool> Forwarder::waitForCapacity(Job& job)
{
    const TimePoint now = Clock::now();
    RequestQueue& queue = this->requestQueues[job.service];
    const QueueRank rank { .priority = job.route->priority,
        .isLate = now + job.state->processingTime.cached > job.target,
        .target = job.target,
        .arrival = queue.nextArrival() };
    double slots = 0;
    for (const ServerPointer& server : job.servers) {
        if (mayReceive(*server, now) && server->locality != Locality::OtherRegion)
            slots += slotsWithinRateLimit(server->rateLimit, server->entry.slots, job.state->processingTime.cached);
    }
    // The queued requests of the other instances of the zone compete for the same slots.
    const auto instances = static_cast<double>(std::max<std::size_t>(1, this->zoneInstanceCount));
    const Duration processingTime = job.state->processingTime.cached;
    const Duration queueTime = slots <= 0
        ? Duration::max()
        : scaled(processingTime, (static_cast<double>(queue.ahead(rank)) + 1) * instances / slots);
    const TimePoint received = job.request->receivedAt;
    const Duration waitLimit
        = std::max<Duration>(job.route->targetLatency, (job.deadline - received) / maximumWaitDivisor);
    const TimePoint until = std::min(job.deadline - processingTime - responseMargin, received + waitLimit);
    if (slots <= 0 || now + queueTime >= until)
        co_return false;
    const auto self = this->shared_from_this();
    const auto context = job.context;
    const std::function<void(std::function<void()>)> setCancel
        = [context](std::function<void()> cancel) { context->onCancel = std::move(cancel); };
    // Polls, because slots that other instances free up wake no request here.
    const TimePoint nextCheck = std::min(until, now + capacityCheckInterval);
    co_await queue.wait(this->executor, rank, nextCheck, setCancel);
    job.queued += Clock::now() - now;
    co_return !context->isCancelled && Clock::now() < until;
}

Awaitable<Forwarder::Outcome> Forwarder::forward(std::shared_ptr<RequestContext> context)
{
    const auto self = this->shared_from_this();
    this->activeRequestContexts.insert(context.get());
    const auto removeContext = [self](RequestContext* active) { self->activeRequestContexts.erase(active); };
    // Also when an exception ends the request.
    const std::unique_ptr<RequestContext, decltype(removeContext)> active(context.get(), removeContext);
    co_return co_await this->processRequest(context);
}

void Forwarder::resolve(RequestContext& context) const
{
    if (context.configuration == this->currentConfiguration)
        return;
    context.configuration = this->currentConfiguration;
    context.route = findRoute(*context.configuration, context.request->host, context.request->target);
}

Duration Forwarder::usualProcessingTime(const RequestContext& context) const
{
    if (context.route == nullptr)
        return {};
    const auto state = this->routeStates.find(context.route->name);
    return state != this->routeStates.end() ? state->second->processingTime.uncached
                                            : initialProcessingTimeEstimate(context.route->targetLatency).uncached;
}

void Forwarder::rejectWaiting()
{
    this->rejectsWaiting = true;
    for (auto& [service, queue] : this->requestQueues)
        queue.wake(queue.size());
}

void Forwarder::abortAll()
{
    const std::vector<RequestContext*> contexts { this->activeRequestContexts.begin(),
        this->activeRequestContexts.end() };
    // Aborted requests resume through the event loop, so the pointers stay valid during this loop.
    for (RequestContext* context : contexts)
        context->abort();
}

Awaitable<Forwarder::Outcome> Forwarder::processRequest(std::shared_ptr<RequestContext> context)
{
    const auto self = this->shared_from_this();
    Job job;
    job.context = context;
    job.request = context->request;
    this->resolve(*context);
    job.configuration = context->configuration;
    if (!job.configuration)
        co_return this->reject(job,
            makeError(ResultCode::NotRunNoBundle, "the instance has not received a configuration yet"),
            startupRetryAfter);
    job.route = context->route;
    if (job.route == nullptr) {
        co_return this->reject(job,
            makeError(ResultCode::NotFound, "no route matches {}{}", job.request->host, job.request->target),
            Duration {});
    }
    job.state = this->routeState(*job.route);
    job.service = nextService(*job.route, job.state->rotation);
    const TimePoint start = job.request->receivedAt;
    job.deadline = start + job.route->timeout;
    if (job.request->timeLeft)
        job.deadline = std::min<TimePoint>(job.deadline, start + *job.request->timeLeft);
    job.deadline -= responseMargin;
    job.target = start + job.route->targetLatency;
    job.maximumServers
        = std::min(job.route->maximumServers, job.request->serversAllowedByPeer.value_or(job.route->maximumServers));
    if (job.route->hasAffinity && !job.request->affinityKey.empty())
        job.object = hash64(job.request->affinityKey, hash64(job.route->name)) | 1U;
    job.spillObject = job.object != 0 ? job.object : this->random();
    StreamHash bodyHash;
    bodyHash.update(job.request->body);
    job.fingerprint = requests::fingerprintOf(
        job.service, job.request->method, job.request->host + job.request->target, bodyHash.digest());
    if (const TimePoint now = Clock::now(); this->requestQuarantine.isQuarantined(job.fingerprint, now)) {
        if (!this->takeTrial(job.fingerprint, now))
            co_return this->reject(job, quarantineError(), this->retryAfterQuarantine(job.fingerprint, now));
        job.maximumServers = 1;
    }
    // A request that another instance passed on has earned retries there.
    if (!job.request->serversAllowedByPeer)
        this->budgetOf(job.service).recordFirstAttempt(this->budgetTime());

    Error last = makeError(ResultCode::NotRunNoServer, "no backend server of service {} is available", job.service);
    std::optional<ServerResponse> failed; ///< 5xx response of a server, passed on unless a retry succeeds.
    while (!context->isCancelled) {
        const TimePoint now = Clock::now();
        if (context->isAborted) {
            last = job.mayHaveRun
                ? makeError(ResultCode::UnknownTimeout, "the instance stopped before the backend server responded")
                : makeError(ResultCode::NotRunStopping, "the instance is stopping");
            break;
        }
        if (now >= job.deadline) {
            last = job.mayHaveRun
                ? makeError(ResultCode::UnknownTimeout, "no response before the deadline")
                : makeError(ResultCode::NotRunDeadline, "the deadline passed before the request was sent");
            break;
        }
        if (this->isHeld(now)) {
            co_await this->waitShortly(context);
            continue;
        }
        if (job.lostServers >= lossesBeforeVerification && this->isCrashBeingVerified(job)) {
            co_await this->waitShortly(context);
            continue;
        }
        if (job.attemptsSent > 0 && this->requestQuarantine.isQuarantined(job.fingerprint, now)) {
            last = quarantineError();
            job.retryAfter = this->retryAfterQuarantine(job.fingerprint, now);
            break;
        }
        if (this->shouldPassToPeer(job)) {
            if (job.attemptsSent > 0 && !this->takeRetry(job.service)) {
                last = makeError(
                    ResultCode::NotRunRetryBudget, "the retry budget of service {} is exhausted", job.service);
                break;
            }
            std::optional<ServerResponse> response = co_await this->attemptThroughPeer(job);
            if (!response)
                continue;
            if (context->isCancelled)
                break;
            if (response->wasStreamed) {
                co_return this->finish(job,
                    Outcome { .response = std::move(response->message),
                        .wasStreamed = true,
                        .isTruncated = response->end != AttemptEnd::Answered });
            }
            if (response->end == AttemptEnd::Answered)
                co_return this->finish(job, Outcome { .response = std::move(response->message) });
            if (!requests::isProvenNotRun(response->end))
                job.mayHaveRun = true;
            last = makeError(requests::codeOfAttempt(response->end), "entry instance {}: {}", job.triedPeers.back(),
                response->detail);
            const bool mayRetry = this->shouldPassToPeer(job) && this->shouldRetry(job, *response, Clock::now());
            if (mayRetry || context->isAborted)
                continue;
            // The other instance knows best when to come back. But only this one knows earlier attempts, and whether
            // the request is proper.
            const unsigned status = response->message.status;
            const bool isNotRun = response->end == AttemptEnd::RejectedByPeer && !job.mayHaveRun && !failed;
            const bool isUndecided = response->end == AttemptEnd::NotDecided && !promisesNotRun(status);
            if ((isNotRun || isUndecided) && status >= 500)
                co_return this->finish(job, Outcome { .response = std::move(response->message) });
            break;
        }
        const Placement placement = this->placeRequest(job, now);
        if (!placement.server) {
            job.retryAfter = placement.retryAfter;
            job.pauseLeft = placement.pauseLeft;
            if (job.mayHaveRun || failed)
                break;
            if (job.attemptsSent == 0 && !this->rejectsWaiting && co_await this->waitForCapacity(job))
                continue;
            if (this->rejectsWaiting)
                last = makeError(ResultCode::NotRunStopping, "the instance is stopping");
            if (last.code == ResultCode::NotRunNoServer && placement.wouldMissDeadline)
                last = makeError(ResultCode::NotRunNoCapacity,
                    "no backend server of service {} is expected to respond before the deadline", job.service);
            break;
        }
        const ServerPointer server = job.servers[*placement.server];
        if (server->rateLimit.perSecond && !co_await this->obtainPermit(job, server, placement.estimate)) {
            if (++job.permitDenials < maximumPermitDenials)
                continue;
            job.permitDenials = 0;
            job.retryAfter = retryAfterOverload(job.state->processingTime);
            if (job.attemptsSent == 0 && !this->rejectsWaiting && co_await this->waitForCapacity(job))
                continue;
            if (!job.mayHaveRun)
                last = makeError(
                    ResultCode::NotRunNoCapacity, "the rate limits of service {} leave no room in time", job.service);
            break;
        }
        if (job.attemptsSent > 0 && !this->takeRetry(job.service)) {
            if (!job.mayHaveRun)
                last = makeError(
                    ResultCode::NotRunRetryBudget, "the retry budget of service {} is exhausted", job.service);
            break;
        }
        std::optional<ServerResponse> response = co_await this->attempt(job, server, placement.estimate);
        if (!response) {
            last = makeError(
                ResultCode::NotRunConnectRefused, "no usable connection to backend server {}", server->entry.id);
            ++job.connectFailures;
            const bool isHopeless = this->isStranded() || job.connectFailures >= maximumConnectFailures;
            if (isHopeless && !this->shouldPassToPeer(job))
                break;
            continue;
        }
        if (context->isCancelled)
            break;
        if (response->wasStreamed) {
            co_return this->finish(job,
                Outcome { .response = std::move(response->message),
                    .wasStreamed = true,
                    .isTruncated = response->end != AttemptEnd::Answered });
        }
        if (response->end == AttemptEnd::Answered) {
            const bool retry = response->message.status >= 500 && this->shouldRetry(job, *response, Clock::now());
            if (!retry)
                co_return this->finish(job, Outcome { .response = std::move(response->message) });
            failed = std::move(response);
            context->memory->holdEarlierResponse(failed->message.body.size());
            continue;
        }
        last = makeError(
            requests::codeOfAttempt(response->end), "backend server {}: {}", server->entry.id, response->detail);
        if (!requests::isProvenNotRun(response->end))
            job.mayHaveRun = true;
        if (!context->isAborted && !this->shouldRetry(job, *response, Clock::now()))
            break;
    }
    if (context->isCancelled)
        co_return this->finish(job,
            Outcome { .response
                = responseForError(makeError(ResultCode::UnknownCancelled, "the caller closed the connection"),
                    job.request->id, this->settings.names, std::nullopt) });
    if (failed)
        co_return this->finish(job, Outcome { .response = std::move(failed->message) });
    if (job.mayHaveRun && outcomeOf(last.code) == clementinefall::Outcome::NotRun)
        last = makeError(
            ResultCode::UnknownConnectionLost, "an earlier attempt may have run; last failure: {}", last.message);
    co_return this->reject(job, last, job.pauseLeft + this->withJitter(job.retryAfter));
}

bool Forwarder::shouldRetry(const Job& job, const ServerResponse& response, TimePoint now)
{
    if (job.attemptsSent >= job.maximumServers || response.wasStreamed)
        return false;
    const bool notRun = requests::isProvenNotRun(response.end);
    if (!notRun && !job.route->isIdempotent())
        return false;
    return now + job.state->processingTime.cached < job.deadline;
}

Awaitable<std::optional<ServerResponse>> Forwarder::attempt(
    Job& job, const ServerPointer& server, const CompletionEstimate& expected)
{
    const auto context = job.context;
    const unsigned loadAtSend = static_cast<unsigned>(outstandingRequests(*server, Clock::now()));
    const bool wasCold = isCold(*server, Clock::now());
    job.tried.push_back(server);
    ++server->inFlight;
    const auto leave = [](BackendServer* left) { --left->inFlight; };
    // Also when an exception ends the request.
    std::unique_ptr<BackendServer, decltype(leave)> inFlight(server.get(), leave);
    if (wasCold)
        server->lastColdSend = Clock::now();
    auto connection = this->connections.acquire(server, Clock::now());
    if (!connection) {
        connection = this->createConnection(server);
        context->onCancel = [connection] { connection->close(); };
        const Duration left = job.deadline - Clock::now();
        const TimePoint connectStart = Clock::now();
        const bool connected = co_await connection->connect(std::min(connectTimeout(*server), left));
        job.connecting += Clock::now() - connectStart;
        context->onCancel = {};
        // The server may have become unusable or cold during the connect, or have asked for a pause.
        const TimePoint connectedAt = Clock::now();
        const bool isStillEligible = isUsable(*server) && connectedAt >= server->pausedUntil
            && (wasCold || !isCold(*server, connectedAt)) && !this->isHeld(connectedAt)
            && isPermitValid(job, *server, connectedAt);
        if (!connected || context->isCancelled || context->isAborted || !isStillEligible) {
            connection->close();
            inFlight.reset();
            if (!connected && !context->isCancelled && !context->isAborted) {
                if (connection->wasRefused())
                    this->confirmCrash(server->entry.id, Clock::now());
                this->onConnectFailure(server, Clock::now());
            }
            if (connected)
                this->onServerConnected();
            job.attemptLog += fmt::format("{}:connect ", server->entry.id);
            co_return std::nullopt;
        }
        this->onServerConnected();
    }
    ++job.attemptsSent;
    job.lastServer = server;
    if (const auto spill = this->spills.find(job.service); spill != this->spills.end() && !job.spillRegion.empty())
        recordSpillUse(spill->second, job.spillRegion, server->region == job.spillRegion);
    const bool isCached = expected.cacheAffinity == CacheAffinity::Cached;
    this->counters.recordPlacement(isCached);
    ++(isCached                                             ? job.state->cachedPlacements
            : expected.cacheAffinity == CacheAffinity::Home ? job.state->homePlacements
                                                            : job.state->uncachedPlacements);
    const TimePoint sentAt = Clock::now();
    this->counters.recordSend(job.service, job.attemptsSent > 1);
    if (server->rateLimit.perSecond)
        ++server->sentWhileLimited;
    if (isCold(*server, sentAt))
        ++server->sentWhileCold;
    if (server->awaitingResponseSince == TimePoint {}) {
        server->awaitingResponseSince = sentAt;
        server->unresponsiveTimeout = unresponsiveAllowance + unresponsiveEstimateFactor * expected.completion;
    }
    if (job.object != 0)
        server->cachedObjects.record(job.object, sentAt);
    const std::uint64_t mark = this->tracker.recordSent(server->entry.id, { job.fingerprint, job.service, sentAt });
    context->onCancel = [connection] { connection->close(); };
    std::string head = encodeRequestHead(*job.request, this->settings.names, server->entry.id, job.deadline - sentAt);
    if (job.route->isIdempotent())
        this->repeatableExchanges.insert(connection);
    const ExchangeTerms terms { .deadline = job.deadline, .isIdempotent = job.route->isIdempotent() };
    ServerResponse response = co_await connection->exchange(
        job.request, std::move(head), this->settings.names, terms, *context->sink, context->memory);
    this->repeatableExchanges.erase(connection);
    context->onCancel = {};
    job.exchanging += Clock::now() - sentAt;
    inFlight.reset();
    if (response.isConnectionLost || response.isCutOff) {
        ++job.lostServers;
        this->onConnectionLost(server, mark, Clock::now());
    }
    if (response.isConnectionLost)
        this->reachability->recordFailure(server, Clock::now());
    this->tracker.recordEnded(server->entry.id, mark);
    this->recordAttemptResult(job, server, expected, response, loadAtSend, sentAt);
    this->connections.release(server, connection);
    this->requestQueues[job.service].wake(1);
    co_return response;
}

void Forwarder::recordAttemptResult(Job& job, const ServerPointer& server, const CompletionEstimate& expected,
    const ServerResponse& response, unsigned loadAtSend, TimePoint sentAt)
{
    const TimePoint now = Clock::now();
    job.attemptLog += fmt::format("{}:{} ", server->entry.id, attemptEndName(response.end));
    this->counters.recordServerAttempt(job.service, std::string(attemptEndName(response.end)));
    if (response.isMisdirected)
        server->backoffUntil = now + misdirectedBackoff;
    if (response.rateLimit && this->mergeServerLimit(server, *response.rateLimit, "response")
        && this->permitCoordinator) {
        if (const auto coordinator = this->permitCoordinator(*server))
            this->permits->report(*coordinator, server->entry.id, server->rateLimit);
    }
    if (response.load) {
        server->report = *response.load;
        server->report.localInFlight = server->inFlight + 1;
        server->report.at = now;
    }
    const bool hasWholeResponse = response.end == AttemptEnd::Answered || response.end == AttemptEnd::ShedByServer
        || response.end == AttemptEnd::RejectedUnproven;
    const bool hasResponded = hasWholeResponse || response.end == AttemptEnd::ResponseTruncated
        || response.end == AttemptEnd::ResponseInvalid;
    if (hasResponded)
        this->lastResponseAt = now;
    if (hasResponded || server->inFlight == 0)
        server->awaitingResponseSince = hasResponded && server->inFlight > 0 ? now : TimePoint {};
    if (response.end == AttemptEnd::TimedOut)
        this->connections.closeIdle(server);
    if (response.isExcessive) {
        recordExcessiveResponse(*server, now);
        logWarning("server_response_excessive",
            { { "server", server->entry.id }, { "service", server->entry.service }, { "why", response.detail } });
    }
    if (response.end != AttemptEnd::CancelledSent)
        recordAttempt(*server, !isServerFault(response));
    if (response.end == AttemptEnd::ShedByServer && job.object != 0)
        server->cachedObjects.remove(job.object);
    // Also a response that reports a mistake of the caller shows that the server survived the request.
    const bool isRun = response.end == AttemptEnd::Answered || response.end == AttemptEnd::RejectedUnproven;
    if (isRun && response.message.status < 500)
        this->recordHarmless(job.fingerprint, now);
    if (response.end != AttemptEnd::Answered || response.message.status >= 300)
        return;
    updateAverageBytes(job.state->averageRequestBytes, job.request->body.size());
    // The size of a streamed response is not known here, only that it reaches the buffer limit.
    updateAverageBytes(job.state->averageResponseBytes,
        response.wasStreamed ? ServerConnection::maximumBufferedBytes : response.message.body.size());
    if (loadAtSend >= server->entry.slots || (response.load && response.load->waiting > 0))
        return; // The measured time may include time in the server's queue.
    const Duration took = now - sentAt;
    Duration& serviceTime = this->processingTimeByService[job.service];
    serviceTime += scaled(took - serviceTime, serviceTime == Duration {} ? 1.0 : slowdownWeight);
    const Duration processingTime = std::max<Duration>(took - server->connectTime, milliseconds(1));
    const Duration usual = job.state->processingTime.of(expected.cacheAffinity);
    const double ratio = std::chrono::duration<double>(processingTime) / std::chrono::duration<double>(usual);
    server->slowdown += slowdownWeight * (std::clamp(ratio, minimumSlowdown, maximumSlowdown) - server->slowdown);
    if (!isCold(*server, now))
        recordProcessingTime(job.state->processingTime, expected.cacheAffinity, processingTime);
}

bool Forwarder::mergeServerLimit(const ServerPointer& server, const RateLimitState& limit, std::string_view source)
{
    const std::optional<double> before = server->rateLimit.perSecond;
    if (!mergeRateLimit(server->rateLimit, limit))
        return false;
    this->rateLimitedServers.insert(server->entry.id);
    // Changes of the value alone may come with each response.
    if (before.has_value() != limit.perSecond.has_value()) {
        logInfo(limit.perSecond ? "rate_limit_started" : "rate_limit_ended",
            { { "server", server->entry.id }, { "service", server->entry.service },
                { "per_second", limit.perSecond.value_or(*before) }, { "source", source } });
    }
    return true;
}

PermitReply Forwarder::decidePermit(BackendServer& server, Duration maximumDelay, TimePoint now)
{
    PermitReply reply;
    reply.limit = server.rateLimit;
    reply.nextAvailable = Duration {};
    if (!server.rateLimit.perSecond) {
        reply.isGranted = true;
        return reply;
    }
    const bool isHandedOver = now < this->configuredAt + permitHandoverTime;
    const PermitDecision decision
        = takePermit(server.permits, *server.rateLimit.perSecond, isHandedOver, maximumDelay, now);
    reply.isGranted = decision.isGranted;
    reply.delay = decision.delay;
    reply.nextAvailable = decision.nextAvailable;
    reply.retryAfter = std::max<Duration>(decision.nextAvailable - maximumDelay, Duration {});
    return reply;
}

PermitReply Forwarder::answerPermitRequest(const PermitRequest& request, TimePoint now)
{
    PermitReply reply;
    reply.number = request.number;
    reply.retryAfter = foreignPermitBackoff;
    reply.limit = request.limit;
    const ServerPointer server = this->catalog->find(request.server);
    if (!server)
        return reply;
    this->mergeServerLimit(server, request.limit, "instance");
    reply.limit = server->rateLimit;
    const bool isCoordinator = this->permitCoordinator && !this->permitCoordinator(*server);
    if (request.number == 0 || !isCoordinator)
        return reply;
    reply = this->decidePermit(*server, request.maximumDelay, now);
    reply.number = request.number;
    return reply;
}

void Forwarder::recordRateLimits(const std::map<std::string, RateLimitState>& limits)
{
    for (const auto& [id, limit] : limits) {
        if (const ServerPointer server = this->catalog->find(id))
            this->mergeServerLimit(server, limit, "heartbeat");
    }
}

std::map<std::string, RateLimitState> Forwarder::coordinatedRateLimits(TimePoint now)
{
    std::map<std::string, RateLimitState> result;
    std::erase_if(this->rateLimitedServers, [&](const std::string& id) {
        const ServerPointer server = this->catalog->find(id);
        const bool isOver
            = !server || (!server->rateLimit.perSecond && now - server->rateLimit.asOf > endedLimitRepeatTime);
        if (!isOver && this->permitCoordinator && !this->permitCoordinator(*server))
            result[id] = server->rateLimit;
        return isOver;
    });
    return result;
}

Awaitable<PermitReply> Forwarder::askForPermit(
    std::shared_ptr<RequestContext> context, ServerPointer server, Duration maximumDelay, TimePoint deadline)
{
    const auto self = this->shared_from_this();
    const std::optional<HostPort> coordinator
        = this->permitCoordinator ? this->permitCoordinator(*server) : std::nullopt;
    const TimePoint askedAt = Clock::now();
    if (!coordinator)
        co_return this->decidePermit(*server, maximumDelay, askedAt);
    const std::function<void(std::function<void()>)> setCancel
        = [context](std::function<void()> cancel) { context->onCancel = std::move(cancel); };
    const Duration timeout = std::min<Duration>(permitReplyAllowance + 2 * server->connectTime, deadline - askedAt);
    PermitRequest request {
        .number = 0, .server = server->entry.id, .maximumDelay = maximumDelay, .limit = server->rateLimit
    };
    const std::optional<PermitReply> received
        = co_await this->permits->ask(*coordinator, std::move(request), timeout, setCancel);
    if (received) {
        this->mergeServerLimit(server, received->limit, "coordinator");
        co_return *received;
    }
    PermitReply silence;
    silence.retryAfter = silentCoordinatorBackoff;
    co_return silence;
}

Awaitable<bool> Forwarder::obtainPermit(Job& job, const ServerPointer& server, const CompletionEstimate& expected)
{
    const auto self = this->shared_from_this();
    const auto context = job.context;
    const TimePoint askedAt = Clock::now();
    const PermitReply reply = co_await this->askForPermit(context, server, expected.maximumPermitDelay, job.deadline);
    this->counters.recordPermit(job.service, reply.isGranted);
    const TimePoint repliedAt = Clock::now();
    if (reply.nextAvailable)
        server->permitAvailableAt = repliedAt + *reply.nextAvailable;
    else if (!reply.isGranted)
        server->permitRetryAt = repliedAt + reply.retryAfter;
    if (!reply.isGranted)
        co_return false;
    job.permittedRate = reply.limit.perSecond.value_or(std::numeric_limits<double>::infinity());
    job.permitUntil = askedAt + reply.delay + permitLifetime;
    if (reply.delay > Duration {}) {
        auto timer = std::make_shared<asio::steady_timer>(this->executor, repliedAt + reply.delay);
        context->onCancel = [timer] { timer->cancel(); };
        co_await timer->async_wait(useTuple);
        context->onCancel = {};
        job.queued += Clock::now() - repliedAt;
    }
    // The server may have become unusable or cold during the wait, or have got another request while cold.
    const TimePoint now = Clock::now();
    co_return !context->isCancelled && !context->isAborted && now < job.deadline && mayReceive(*server, now)
        && this->mayUseCold(*server, now) && !this->isHeld(now) && isPermitValid(job, *server, now);
}

bool Forwarder::isPermitValid(const Job& job, const BackendServer& server, TimePoint now)
{
    // A permit that was reserved under a higher limit would come on top of those under the current one.
    if (!server.rateLimit.perSecond)
        return true;
    return now < job.permitUntil && *server.rateLimit.perSecond >= validLimitFraction * job.permittedRate;
}

std::shared_ptr<ServerConnection> Forwarder::createConnection(const ServerPointer& server)
{
    auto connection = std::make_shared<ServerConnection>(this->executor, server, this->settings.streaming);
    connection->onNotice = [weak = this->weak_from_this(), server](const ServerNotice& notice) {
        if (const auto self = weak.lock())
            self->applyNotice(server, notice, Clock::now());
    };
    return connection;
}

void Forwarder::applyNotice(const ServerPointer& sender, const ServerNotice& notice, TimePoint now)
{
    // The entry of the incarnation may have been removed and inserted anew since the connection was opened.
    const ServerPointer current = this->catalog->findIncarnation(sender->entry.id, sender->entry.startTimeMs);
    const ServerPointer& server = current ? current : sender;
    if (!notice.invalid.empty()) {
        logWarning("server_notice_invalid", { { "server", server->entry.id }, { "value", notice.invalid } });
    }
    if (notice.isLeaving && !server->isLeaving) {
        server->isLeaving = true;
        this->onServerLeaving(*server, "response");
    }
    if (notice.pause && now + *notice.pause > server->pausedUntil) {
        server->pausedUntil = now + *notice.pause;
        this->pausedServers.insert(server);
        this->counters.recordNotice(server->entry.service, "pause");
        logInfo("server_pause",
            { { "server", server->entry.id }, { "service", server->entry.service },
                { "ms", std::chrono::duration_cast<milliseconds>(*notice.pause).count() },
                { "in_flight", server->inFlight } });
    }
}

void Forwarder::onServerLeaving(const BackendServer& server, std::string_view source)
{
    this->counters.recordNotice(server.entry.service, "leaving");
    logInfo("server_leaving",
        { { "server", server.entry.id }, { "service", server.entry.service }, { "source", source },
            { "in_flight", server.inFlight } });
}

void Forwarder::onConnectFailure(const ServerPointer& server, TimePoint now)
{
    // A server that restarts under its old id is cold before its entry in the store reports it.
    const auto service = this->currentConfiguration->services.find(server->entry.service);
    if (service != this->currentConfiguration->services.end())
        assumeCold(*server, now + service->second.coldTime, this->coldAssumptions[server]);
    server->cachedObjects.clear();
    this->connections.closeIdle(server);
    this->reachability->recordFailure(server, now);
}

void Forwarder::onServerConnected()
{
    this->reachability->recordConnected();
    this->coldAssumptions.clear();
}

void Forwarder::onReachabilityChange()
{
    const TimePoint now = Clock::now();
    if (this->isStranded()) {
        // The failures were those of this instance's own links: no server is cold or in backoff because of them.
        for (const auto& [server, assumption] : this->coldAssumptions)
            takeBack(*server, assumption);
        // Connections may live on while new ones fail. Without any response since the first failure, they do not.
        const bool areConnectionsSilent = this->lastResponseAt < this->reachability->state().failingSince;
        if (areConnectionsSilent) {
            const auto exchanges = this->repeatableExchanges;
            logInfo("silent_exchanges_closed", { { "exchanges", exchanges.size() } });
            for (const auto& connection : exchanges)
                connection->close();
        }
    } else {
        this->peerEndpoints.clear();
        for (const ServerPointer& server : this->catalog->allServers()) {
            server->connectFailures = 0;
            server->backoffUntil = std::min(server->backoffUntil, now);
        }
    }
    this->coldAssumptions.clear();
    if (this->onReachabilityChanged)
        this->onReachabilityChanged();
}

bool Forwarder::shouldPassToPeer(const Job& job) const
{
    // A request of another instance is not passed on again, so that requests cannot circulate.
    if (!this->peers || job.request->serversAllowedByPeer || job.triedPeers.size() >= maximumPeers)
        return false;
    return this->isStranded() || job.connectFailures >= maximumConnectFailures;
}

ServerPointer Forwarder::peerEndpoint(const Peer& peer)
{
    ServerPointer& endpoint = this->peerEndpoints[peer.name];
    if (!endpoint || !(endpoint->entry.address == peer.address)) {
        if (endpoint)
            this->connections.closeIdle(endpoint);
        endpoint = std::make_shared<BackendServer>();
        endpoint->entry.id = peer.name;
        endpoint->entry.address = peer.address;
    }
    return endpoint;
}

Awaitable<std::shared_ptr<ServerConnection>> Forwarder::connectToPeer(Job& job, const ServerPointer& endpoint)
{
    const auto context = job.context;
    const TimePoint start = Clock::now();
    auto connection = this->connections.acquire(endpoint, start);
    if (connection)
        co_return connection;
    connection = std::make_shared<ServerConnection>(this->executor, endpoint, this->settings.streaming);
    context->onCancel = [connection] { connection->close(); };
    const Duration timeout = std::min<Duration>(connectTimeout(*endpoint), job.deadline - start);
    const bool isConnected = co_await connection->connect(timeout);
    context->onCancel = {};
    job.connecting += Clock::now() - start;
    co_return isConnected ? connection : nullptr;
}

Awaitable<std::optional<ServerResponse>> Forwarder::attemptThroughPeer(Job& job)
{
    const auto self = this->shared_from_this();
    const auto context = job.context;
    const std::vector<Peer> candidates = this->peers();
    while (job.triedPeers.size() < maximumPeers) {
        const auto chosen = choosePeer(
            candidates, this->settings.region, job.route->allowedRegions, job.triedPeers, job.object, this->random());
        if (!chosen) {
            // No further instance is tried.
            job.triedPeers.resize(maximumPeers);
            break;
        }
        const Peer& peer = candidates[*chosen];
        job.triedPeers.push_back(peer.name);
        const ServerPointer endpoint = this->peerEndpoint(peer);
        const auto connection = co_await this->connectToPeer(job, endpoint);
        if (context->isCancelled || context->isAborted || this->isHeld(Clock::now()))
            break;
        if (!connection) {
            job.attemptLog += fmt::format("{}:connect ", peer.name);
            continue;
        }
        const unsigned servers = serversForPeer(job.maximumServers - job.attemptsSent);
        const TimePoint sentAt = Clock::now();
        std::string head = encodePeerRequestHead(*job.request, this->settings.names, servers, job.deadline - sentAt);
        context->onCancel = [connection] { connection->close(); };
        PeerResponseSink sink(*context->sink);
        const ExchangeTerms terms { .deadline = job.deadline, .isIdempotent = job.route->isIdempotent() };
        ServerResponse response = co_await connection->exchange(
            job.request, std::move(head), this->settings.names, terms, sink, context->memory);
        context->onCancel = {};
        job.exchanging += Clock::now() - sentAt;
        applyPeerOutcome(response);
        if (response.wasStreamed)
            response.message.leavingServer = sink.leavingServer();
        if (const auto& leaving = response.message.leavingServer) {
            job.leavingServer = leaving;
            if (this->catalog->markLeaving(leaving->id, leaving->startTimeMs))
                this->onServerLeaving(*this->catalog->findIncarnation(leaving->id, leaving->startTimeMs), "instance");
        }
        // Without the number, the other instance may have sent the request to all of them, also when it was rejected.
        job.attemptsSent += response.message.serversTried.value_or(servers);
        job.attemptLog += fmt::format("{}:{} ", peer.name, attemptEndName(response.end));
        this->counters.recordServerAttempt(job.service, fmt::format("peer_{}", attemptEndName(response.end)));
        this->connections.release(endpoint, connection);
        co_return response;
    }
    co_return std::nullopt;
}

void Forwarder::onConnectionLost(const ServerPointer& server, std::uint64_t requestNumber, TimePoint now)
{
    const std::optional<requests::CrashMark> mark = this->tracker.recordLost(server->entry.id, requestNumber, now);
    if (!mark)
        return;
    const bool areSeveral = now - this->lastLossAt < commonCauseWindow && this->lastLostServer != server->entry.id;
    this->lastLossAt = now;
    this->lastLostServer = server->entry.id;
    logWarning("server_connection_lost",
        { { "server", server->entry.id }, { "in_flight", mark->inFlight }, { "several_servers", areSeveral },
            { "fingerprint", requests::formatFingerprint(mark->fingerprint) },
            { "ran_ms", (mark->run->lost - mark->run->sent).count() }, { "copies", mark->hasSurvivors } });
    this->mergeCrashMark(*mark, now);
    this->verifyCrash(server);
}

void Forwarder::mergeCrashMark(const requests::CrashMark& mark, TimePoint now)
{
    this->requestQuarantine.merge(mark, now);
    this->logQuarantine(mark.fingerprint, now);
}

void Forwarder::mergeClearing(const requests::MarkClearing& clearing, TimePoint now)
{
    this->requestQuarantine.merge(clearing, now);
    this->logQuarantine(clearing.fingerprint, now);
}

void Forwarder::logQuarantine(const requests::Fingerprint& fingerprint, TimePoint now)
{
    const bool isQuarantined = this->requestQuarantine.isQuarantined(fingerprint, now);
    if (isQuarantined == this->loggedQuarantines.contains(fingerprint))
        return;
    if (isQuarantined)
        this->loggedQuarantines.insert(fingerprint);
    else
        this->loggedQuarantines.erase(fingerprint);
    logWarning(isQuarantined ? "request_quarantined" : "quarantine_ended",
        { { "fingerprint", requests::formatFingerprint(fingerprint) } });
}

void Forwarder::verifyCrash(const ServerPointer& server)
{
    const std::string id = server->entry.id;
    if (this->verifyingCrashes.size() >= maximumCrashVerifications || !this->verifyingCrashes.insert(id).second)
        return;
    const auto self = this->shared_from_this();
    http::spawn(
        this->executor, "verify_crash", [self, server] { return self->connectToVerify(server); },
        [self, id] { self->verifyingCrashes.erase(id); });
}

Awaitable<void> Forwarder::connectToVerify(ServerPointer server)
{
    const auto self = this->shared_from_this();
    // A copy: a failure here is no news about the server's use.
    auto endpoint = std::make_shared<BackendServer>();
    endpoint->entry = server->entry;
    const auto connection = std::make_shared<ServerConnection>(this->executor, endpoint);
    const bool isConnected = co_await connection->connect(connectTimeout(*server));
    connection->close();
    logInfo("server_crash_verified",
        { { "server", server->entry.id }, { "connected", isConnected }, { "refused", connection->wasRefused() } });
    if (connection->wasRefused())
        this->confirmCrash(server->entry.id, Clock::now());
    this->verifyingCrashes.erase(server->entry.id);
}

void Forwarder::confirmCrash(const std::string& server, TimePoint now)
{
    for (const requests::Fingerprint& fingerprint :
        this->requestQuarantine.confirmCrash(this->tracker.reporter(), server, now - confirmedLossAge))
        this->logQuarantine(fingerprint, now);
}

bool Forwarder::isCrashBeingVerified(const Job& job) const
{
    return std::any_of(job.tried.begin(), job.tried.end(),
        [this](const ServerPointer& server) { return this->verifyingCrashes.contains(server->entry.id); });
}

void Forwarder::recordHarmless(const requests::Fingerprint& fingerprint, TimePoint now)
{
    std::optional<requests::MarkClearing> clearing = this->requestQuarantine.recordSuccess(fingerprint, now);
    if (!clearing)
        return;
    this->logQuarantine(fingerprint, now);
    this->ownClearings.push_back(std::move(*clearing));
    if (this->ownClearings.size() > maximumRepeatedClearings)
        this->ownClearings.pop_front();
}

bool Forwarder::takeTrial(const requests::Fingerprint& fingerprint, TimePoint now)
{
    if (now < this->requestQuarantine.nextTrial(fingerprint, now))
        return false;
    const std::vector<std::string> instances
        = this->instanceNames ? this->instanceNames() : std::vector<std::string> {};
    if (!requests::isTrialInstance(fingerprint, this->settings.instance, instances))
        return false;
    this->requestQuarantine.recordTrial(fingerprint, now);
    logInfo("quarantine_trial", { { "fingerprint", requests::formatFingerprint(fingerprint) } });
    return true;
}

Duration Forwarder::retryAfterQuarantine(const requests::Fingerprint& fingerprint, TimePoint now) const
{
    return std::max<Duration>(quarantineRetryAfter, this->requestQuarantine.nextTrial(fingerprint, now) - now);
}

std::vector<requests::CrashMark> Forwarder::crashMarksToReport(bool hasNewInstance, TimePoint now) const
{
    std::vector<requests::CrashMark> marks = this->requestQuarantine.marksToReport(
        this->tracker.reporter(), now - crashReportRepeatTime, maximumRepeatedCrashMarks, now);
    // An instance that has just started knows nothing of what was quarantined before.
    if (hasNewInstance && marks.empty())
        marks = this->requestQuarantine.marksToReport(std::nullopt, TimePoint {}, maximumRepeatedCrashMarks, now);
    return marks;
}

std::vector<requests::MarkClearing> Forwarder::clearingsToReport(TimePoint now)
{
    while (!this->ownClearings.empty() && now - this->ownClearings.front().at > crashReportRepeatTime)
        this->ownClearings.pop_front();
    return { this->ownClearings.begin(), this->ownClearings.end() };
}

Duration Forwarder::withJitter(Duration pause)
{
    const double factor = 0.5 + randomUnit(this->random);
    return scaled(pause, factor);
}

Forwarder::Outcome Forwarder::reject(Job& job, const Error& error, Duration retryAfter)
{
    Outcome outcome;
    outcome.response = responseForError(error, job.request->id, this->settings.names, retryAfter);
    return this->finish(job, std::move(outcome));
}

Forwarder::Outcome Forwarder::finish(Job& job, Outcome outcome)
{
    outcome.response.serversTried = job.attemptsSent;
    outcome.response.leavingServer = job.leavingServer;
    if (job.lastServer && job.lastServer->isLeaving)
        outcome.response.leavingServer = { job.lastServer->entry.id, job.lastServer->entry.startTimeMs };
    const Duration took = Clock::now() - job.request->receivedAt;
    const std::string routeName = job.route == nullptr ? "none" : job.route->name;
    this->counters.recordRequest(routeName, outcome.response.code, outcome.response.status, took);
    const bool isGood = outcome.response.status < 300 && !outcome.isTruncated;
    if (job.state && isGood) {
        StageTimes& times = job.state->stageTimes;
        ++times.requests;
        times.late += Clock::now() > job.target ? 1 : 0;
        times.queued += job.queued;
        times.connecting += job.connecting;
        times.exchanging += job.exchanging;
    }
    // Logs the requests that failed or needed more than one attempt.
    if (!isGood || job.attemptsSent > 1) {
        logInfo("request",
            { { "id", job.request->id }, { "route", routeName }, { "service", job.service },
                { "status", outcome.response.status }, { "code", number(outcome.response.code) },
                { "ms", std::chrono::duration_cast<milliseconds>(took).count() },
                { "left_ms", std::chrono::duration_cast<milliseconds>(job.deadline - Clock::now()).count() },
                { "config", job.configuration ? job.configuration->version : 0 },
                { "config_age_ms", this->configurationAge ? millisecondsText(this->configurationAge()) : "" },
                { "attempts", job.attemptLog }, { "cut", outcome.isTruncated },
                { "cancelled", job.context->isCancelled },
                { "why",
                    isGood ? std::string_view("retried") : std::string_view(outcome.response.body).substr(0, 160) } });
    }
    return outcome;
}

void Forwarder::recordNeighbourLoad(
    const std::string& instance, const std::map<std::string, unsigned>& inFlight, TimePoint now)
{
    auto& previous = this->neighbourLoads[instance];
    for (const auto& [id, count] : previous) {
        const ServerPointer server = this->catalog->find(id);
        if (server && !inFlight.contains(id))
            server->neighbourInFlight.erase(instance);
    }
    for (const auto& [id, count] : inFlight) {
        const ServerPointer server = this->catalog->find(id);
        if (server)
            server->neighbourInFlight[instance] = count;
    }
    previous = inFlight;
    this->neighbourReportedAt[instance] = now;
}

void Forwarder::recordRegionUtilization(
    const std::string& region, const std::map<std::string, double>& utilizationByService, TimePoint now)
{
    for (const auto& [service, utilization] : utilizationByService) {
        ReportedUtilization& reported = this->reportedUtilizations[{ region, service }];
        // The instances of a region see different parts of its load, so their reports are averaged.
        const bool isFresh = now - reported.reportedAt < regionUtilizationLifetime;
        reported.utilization
            = isFresh ? reported.utilization + utilizationWeight * (utilization - reported.utilization) : utilization;
        reported.reportedAt = now;
    }
}

std::map<std::string, double> Forwarder::regionUtilization() const
{
    std::map<std::string, double> result;
    for (const auto& [service, spill] : this->spills)
        result[service] = spill.localUtilization;
    return result;
}

void Forwarder::tick(TimePoint now)
{
    this->isHeld(now);
    for (auto& [instance, reportedAt] : this->neighbourReportedAt) {
        if (now - reportedAt > neighbourLoadLifetime && !this->neighbourLoads[instance].empty())
            this->recordNeighbourLoad(instance, {}, reportedAt);
    }
    this->connections.closeExpired(now);
    std::erase_if(this->pausedServers, [now](const ServerPointer& server) {
        if (now < server->pausedUntil)
            return false;
        logInfo("server_pause_ended", { { "server", server->entry.id }, { "service", server->entry.service } });
        return true;
    });
    this->reachability->verifyIfDue(now);
    this->requestQuarantine.expire(now);
    const std::set<requests::Fingerprint> logged = this->loggedQuarantines;
    for (const requests::Fingerprint& fingerprint : logged)
        this->logQuarantine(fingerprint, now);
    if (this->currentConfiguration)
        this->updateSpills(now);
    this->lastTick = now;
    if (now >= this->nextSummary) {
        this->nextSummary = now + summaryInterval;
        this->logSummaries(now);
    }
}

void Forwarder::logSummaries(TimePoint now)
{
    for (const auto& [name, state] : this->routeStates) {
        if (state->cachedPlacements + state->homePlacements + state->uncachedPlacements == 0)
            continue;
        logInfo("route_summary",
            { { "route", name }, { "recent", state->cachedPlacements }, { "home", state->homePlacements },
                { "fresh", state->uncachedPlacements },
                { "recent_ms", std::chrono::duration_cast<milliseconds>(state->processingTime.cached).count() },
                { "home_ms", std::chrono::duration_cast<milliseconds>(state->processingTime.home).count() },
                { "fresh_ms", std::chrono::duration_cast<milliseconds>(state->processingTime.uncached).count() },
                { "answered", state->stageTimes.requests }, { "late", state->stageTimes.late },
                { "queued_ms", meanMs(state->stageTimes.queued, state->stageTimes.requests) },
                { "connecting_ms", meanMs(state->stageTimes.connecting, state->stageTimes.requests) },
                { "exchanging_ms", meanMs(state->stageTimes.exchanging, state->stageTimes.requests) } });
        state->stageTimes = {};
        state->cachedPlacements = 0;
        state->homePlacements = 0;
        state->uncachedPlacements = 0;
    }
    for (const auto& [name, queue] : this->requestQueues) {
        double load = 0;
        double slots = 0;
        unsigned limitedServers = 0;
        double limitPerSecond = 0;
        unsigned sentWhileLimited = 0;
        unsigned coldServers = 0;
        unsigned sentWhileCold = 0;
        for (const ServerPointer& server : this->catalog->serversOf(name)) {
            limitedServers += server->rateLimit.perSecond ? 1 : 0;
            limitPerSecond += server->rateLimit.perSecond.value_or(0);
            sentWhileLimited += std::exchange(server->sentWhileLimited, 0);
            coldServers += isCold(*server, now) ? 1 : 0;
            sentWhileCold += std::exchange(server->sentWhileCold, 0);
            if (!isUsable(*server) || server->locality == Locality::OtherRegion)
                continue;
            load += outstandingRequests(*server, now);
            slots += server->entry.slots;
        }
        const RetryUse use = std::exchange(this->retryUses[name], {});
        logInfo("service_summary",
            { { "service", name }, { "waiting", queue.size() }, { "region_load", load }, { "region_slots", slots },
                { "limited_servers", limitedServers }, { "limit_per_second", fmt::format("{:.1f}", limitPerSecond) },
                { "sent_while_limited", sentWhileLimited }, { "cold_servers", coldServers },
                { "sent_while_cold", sentWhileCold }, { "retries", use.granted }, { "retries_denied", use.denied },
                { "retry_allowance", this->settings.retryAllowance },
                { "cold_sender_candidates", this->coldSenderCandidates.size() } });
    }
}

void Forwarder::updateSpills(TimePoint now)
{
    const Duration elapsed = this->lastTick == TimePoint {} ? Duration {} : now - this->lastTick;
    for (const auto& [name, service] : this->currentConfiguration->services) {
        updateAssumedLoads(this->catalog->serversOf(name), now);
        double localLoad = 0;
        std::map<std::string, RegionCapacity> regions;
        for (const auto& [region, live] : this->instancesByRegion)
            regions[region].instances = live;
        for (const ServerPointer& server : this->catalog->serversOf(name)) {
            if (!mayReceive(*server, now) || isCold(*server, now))
                continue;
            if (server->locality != Locality::OtherRegion)
                localLoad += outstandingRequests(*server, now);
            regions[server->region].slots
                += slotsWithinRateLimit(server->rateLimit, server->entry.slots, this->processingTimeByService[name]);
        }
        const double localSlots = regions[this->settings.region].slots;
        std::map<std::string, double> utilizationByRegion;
        for (const auto& [region, capacity] : regions) {
            if (region == this->settings.region || capacity.slots <= 0)
                continue;
            const auto reported = this->reportedUtilizations.find({ region, name });
            const bool isFresh = reported != this->reportedUtilizations.end()
                && now - reported->second.reportedAt < regionUtilizationLifetime;
            utilizationByRegion[region] = isFresh ? reported->second.utilization : 0.0;
        }
        if (localSlots <= 0)
            continue;
        RegionSpill& spill = this->spills[name];
        const double totalBefore = spill.totalShare();
        if (!this->budgets.contains(name)) {
            // No request for the service has arrived yet.
            spill.shares = initialSpillShares(regions, this->settings.region);
        } else {
            const auto queue = this->requestQueues.find(name);
            if (queue != this->requestQueues.end())
                localLoad += static_cast<double>(queue->second.size());
            updateSpill(spill, localLoad / localSlots, utilizationByRegion, elapsed);
        }
        // Logs when the total share crosses a multiple of this step.
        constexpr double loggedStep = 0.1;
        if (std::floor(totalBefore / loggedStep) != std::floor(spill.totalShare() / loggedStep)) {
            std::string sharesAndUtilization;
            for (const auto& [region, share] : spill.shares)
                sharesAndUtilization += fmt::format("{}:{:.2f}/{:.2f} ", region, share, utilizationByRegion[region]);
            logInfo("region_spill",
                { { "service", name }, { "share", fmt::format("{:.2f}", spill.totalShare()) },
                    { "own_use", fmt::format("{:.2f}", spill.localUtilization) }, { "own_slots", localSlots },
                    { "share_and_use", sharesAndUtilization } });
        }
    }
}

std::map<std::string, unsigned> Forwarder::inFlightByServer() const
{
    std::map<std::string, unsigned> result;
    if (!this->currentConfiguration)
        return result;
    for (const auto& [name, service] : this->currentConfiguration->services) {
        for (const ServerPointer& server : this->catalog->serversOf(name)) {
            if (server->inFlight > 0)
                result[server->entry.id] = server->inFlight;
        }
    }
    return result;
}

} // namespace clementinefall::forwarding
