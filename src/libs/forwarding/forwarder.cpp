#include "forwarding/forwarder.h"

#include "base/durations.h"
#include "base/log.h"

#include <algorithm>
#include <cmath>

namespace clementinefall::forwarding {

using requests::AttemptEnd;

namespace {

/// Time for a connect beyond a round trip; the rest of a second goes to another server.
constexpr milliseconds connectBase { 250 };
constexpr unsigned connectRoundTrips = 3;

/// Servers that may fail to accept a connection before a request is refused. Nothing was sent to them.
constexpr unsigned maximumConnectFailures = 3;

/// A caller is answered this long before its deadline, so that the answer still reaches it.
constexpr milliseconds answerMargin { 15 };

/// Advice to come back while the instance holds no configuration.
constexpr milliseconds startupRetryAfter { 500 };

/// Part of the fleet's retry budget that this design spends; the rest covers instances that count each other late.
constexpr double usedBudgetPart = 0.5;

/// Crashes of several servers within this time have a common cause, and not a request.
constexpr milliseconds massCrashTime { 1500 };

/// Time by which a server's answer may pass its forecast before its silence counts against it.
constexpr milliseconds silenceAllowance { 700 };
constexpr int silenceForecasts = 3;

/// A waiting request looks for room at least this often.
constexpr milliseconds waitingInterval { 60 };

/// A request waits for room for its route's target latency, or for this part of its time if that is longer. A caller
/// that is refused later than that can hardly be served elsewhere.
constexpr int longestWaitDivisor = 3;

/// An address that belongs to another server is not tried again before the store has had time to say so.
constexpr seconds misdirectedPause { 2 };

/// Advice to come back for requests that are held back because they crash servers.
constexpr seconds heldBackRetryAfter { 5 };

/// What a neighbour said of its requests is forgotten after four beats without a new one.
constexpr milliseconds neighbourLifetime { 1000 };

/// Between two lines that sum up the placements of each route.
constexpr seconds summaryInterval { 5 };

/// What a region said of its use counts for this long: a few beats.
constexpr milliseconds useLifetime { 3000 };

/// Weight of the newest sample in a server's slowness.
constexpr double slownessWeight = 0.12;
constexpr double leastSlowness = 0.4;
constexpr double mostSlowness = 8.0;

std::string_view endName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::ShedByServer:
        return "shed";
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

/// Weight of the newest size in a route's averages of request and answer bytes.
constexpr double bytesWeight = 0.1;

void recordBytes(double& average, std::size_t bytes)
{
    average += bytesWeight * (static_cast<double>(bytes) - average);
}

bool isServerFault(const ServerAnswer& answer)
{
    switch (answer.end) {
    case AttemptEnd::Answered:
        return answer.answer.status >= 500;
    case AttemptEnd::ShedByServer:
    case AttemptEnd::CancelledSent:
    case AttemptEnd::CancelledUnsent:
        return false;
    default:
        return true;
    }
}

} // namespace

struct Forwarder::Job {
    std::shared_ptr<RequestTicket> ticket;
    std::shared_ptr<const ForwardedRequest> request;
    std::shared_ptr<const Configuration> configuration;
    const Route* route = nullptr;
    std::string service;
    std::shared_ptr<RouteState> state; ///< Outlives a change of the configuration.
    TimePoint deadline {};
    TimePoint target {};
    std::uint64_t object = 0;
    std::uint64_t spillObject = 0; ///< As `object`, but random without affinity.
    requests::Fingerprint fingerprint;
    unsigned arrivals = 0; ///< Servers that the request was written to.
    unsigned connectFailures = 0;
    bool mayHaveRun = false;
    std::vector<ServerPointer> tried;
    std::vector<ServerPointer> servers; ///< List that the last placement chose from.
    Duration retryAfter
        = milliseconds(250); ///< Advice of the last placement that found no server; about one working time.
    std::string trail; ///< `server:end` of each attempt, for the log.
};

void RequestTicket::interrupt()
{
    if (!this->onCancel)
        return;
    const auto interruption = std::move(this->onCancel);
    this->onCancel = {};
    interruption();
}

void RequestTicket::cancel()
{
    this->isCancelled = true;
    this->interrupt();
}

void RequestTicket::end()
{
    this->mustEnd = true;
    this->interrupt();
}

Forwarder::Forwarder(asio::any_io_executor forwarderExecutor, ForwarderSettings forwarderSettings,
    std::shared_ptr<ServerCatalog> serverCatalog)
    : executor(std::move(forwarderExecutor))
    , settings(std::move(forwarderSettings))
    , catalog(std::move(serverCatalog))
    , tracker(systemSeededRandom()())
    , random(systemSeededRandom())
{
    this->catalog->onRemoved = [this](const ServerPointer& server) { this->connections.drop(server); };
}

bool Forwarder::configure(std::shared_ptr<const Configuration> newConfiguration)
{
    if (this->currentConfiguration && newConfiguration->version <= this->currentConfiguration->version)
        return false;
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
    return true;
}

std::shared_ptr<Forwarder::RouteState> Forwarder::stateOf(const Route& route)
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
    const double ratio = this->settings.retryRatio * usedBudgetPart;
    const double allowance = this->settings.retryAllowance * usedBudgetPart
        / static_cast<double>(std::max<std::size_t>(1, this->instanceCount));
    const requests::RetryBudgetLimits limits {
        .firstAttemptsPerExtra = ratio > 0 ? static_cast<unsigned>(std::lround(1.0 / ratio)) : 0,
        .allowance = static_cast<unsigned>(allowance),
    };
    return this->budgets.emplace(service, requests::RetryBudget(limits)).first->second;
}

void Forwarder::setInstances(std::vector<std::string> regionInstances, std::size_t zoneSize,
    std::map<std::string, std::size_t> liveCountByRegion)
{
    this->zoneInstanceCount = std::max<std::size_t>(1, zoneSize);
    this->instancesOfRegion = std::move(regionInstances);
    this->instancesByRegion = std::move(liveCountByRegion);
    std::size_t count = 0;
    for (const auto& [region, live] : this->instancesByRegion)
        count += live;
    count = std::max<std::size_t>(1, count);
    if (count == this->instanceCount)
        return;
    this->instanceCount = count;
    const double allowance = this->settings.retryAllowance * usedBudgetPart / static_cast<double>(count);
    for (auto& [service, budget] : this->budgets)
        budget.setAllowance(static_cast<unsigned>(allowance));
}

bool Forwarder::mayUseCold(const BackendServer& server, TimePoint now) const
{
    if (!isCold(server, now))
        return true;
    const auto service = this->currentConfiguration->services.find(server.entry.service);
    if (service == this->currentConfiguration->services.end())
        return false;
    // The senders are chosen from this region only, so servers of other regions are left to theirs.
    return server.locality != Locality::OtherRegion
        && isColdServerSender(server.entry.id, this->settings.instance, this->instancesOfRegion)
        && now - server.lastColdSend >= coldSendInterval(service->second.coldRequestsPerSecond);
}

Placement Forwarder::place(Job& job, TimePoint now)
{
    job.servers = this->catalog->serversOf(job.service);
    const auto& regions = job.route->allowedRegions;
    if (!regions.empty()) {
        std::erase_if(job.servers, [&regions](const ServerPointer& server) {
            return std::find(regions.begin(), regions.end(), server->region) == regions.end();
        });
    }
    std::vector<const BackendServer*> views;
    std::vector<char> cold;
    std::vector<std::size_t> excluded;
    views.reserve(job.servers.size());
    cold.reserve(job.servers.size());
    bool hasOwnRegion = false;
    for (std::size_t i = 0; i < job.servers.size(); ++i) {
        const BackendServer& server = *job.servers[i];
        views.push_back(&server);
        cold.push_back(this->mayUseCold(server, now) ? 1 : 0);
        if (std::find(job.tried.begin(), job.tried.end(), job.servers[i]) != job.tried.end())
            excluded.push_back(i);
        if (!isUsable(server))
            continue;
        hasOwnRegion = hasOwnRegion || server.locality != Locality::OtherRegion;
    }
    PlacementRequest request {
        .object = job.object,
        .bytes = job.request->body.size() + static_cast<std::size_t>(job.state->answerBytes),
        .hasZonalHome = usesZonalHomes(job.state->processingTime,
            static_cast<std::size_t>(job.state->requestBytes + job.state->answerBytes), this->settings.placement),
        .processingTime = job.state->processingTime,
        .timeLeft = job.deadline - now,
        .targetTimeLeft = job.target - now,
        .allowsOtherRegions = !hasOwnRegion,
        .isLowPriority = job.route->isLowPriority,
    };
    const auto spill = this->spills.find(job.service);
    const std::string region
        = hasOwnRegion && spill != this->spills.end() ? spillTarget(spill->second, job.spillObject) : std::string();
    if (!region.empty()) {
        std::vector<std::size_t> elsewhere = excluded;
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (views[i]->region != region)
                elsewhere.push_back(i);
        }
        request.allowsOtherRegions = true;
        const Placement remote = choosePlacement(views, cold, elsewhere, request, this->settings.placement, now);
        if (remote.server)
            return remote;
        request.allowsOtherRegions = false;
    }
    return choosePlacement(views, cold, excluded, request, this->settings.placement, now);
}

Awaitable<bool> Forwarder::waitForRoom(Job& job)
{
    const TimePoint now = Clock::now();
    WaitingRoom& room = this->waitingRooms[job.service];
    const WaitingRank rank { .priority = job.route->priority,
        .isLate = now + job.state->processingTime.cached > job.target,
        .target = job.target,
        .arrival = room.nextArrival() };
    double slots = 0;
    for (const ServerPointer& server : job.servers) {
        if (isUsable(*server) && server->locality != Locality::OtherRegion && now >= server->backoffUntil)
            slots += server->entry.slots;
    }
    // The neighbours' waiting requests compete for the same slots.
    const auto sharing = static_cast<double>(std::max<std::size_t>(1, this->zoneInstanceCount));
    const Duration processingTime = job.state->processingTime.cached;
    const Duration queueTime = slots <= 0
        ? Duration::max()
        : scaled(processingTime, (static_cast<double>(room.ahead(rank)) + 1) * sharing / slots);
    const TimePoint received = job.request->receivedAt;
    const Duration patience
        = std::max<Duration>(job.route->targetLatency, (job.deadline - received) / longestWaitDivisor);
    const TimePoint until = std::min(job.deadline - processingTime - answerMargin, received + patience);
    if (slots <= 0 || now + queueTime >= until)
        co_return false;
    const auto self = this->shared_from_this();
    const auto ticket = job.ticket;
    const std::function<void(std::function<void()>)> setCancel
        = [ticket](std::function<void()> cancel) { ticket->onCancel = std::move(cancel); };
    // Room that opens elsewhere, by another instance's requests ending, is noticed by looking again.
    const TimePoint lookAgain = std::min(until, now + waitingInterval);
    co_await room.wait(this->executor, rank, lookAgain, setCancel);
    co_return !ticket->isCancelled && Clock::now() < until;
}

Awaitable<Forwarder::Outcome> Forwarder::forward(std::shared_ptr<RequestTicket> ticket)
{
    const auto self = this->shared_from_this();
    this->active.insert(ticket.get());
    Outcome outcome = co_await this->carry(ticket);
    this->active.erase(ticket.get());
    co_return outcome;
}

void Forwarder::resolve(RequestTicket& ticket) const
{
    if (ticket.configuration == this->currentConfiguration)
        return;
    ticket.configuration = this->currentConfiguration;
    ticket.route = findRoute(*ticket.configuration, ticket.request->host, ticket.request->target);
}

void Forwarder::refuseWaiting()
{
    this->refusesWaiting = true;
    for (auto& [service, room] : this->waitingRooms)
        room.wake(room.size());
}

void Forwarder::endAll()
{
    const std::vector<RequestTicket*> tickets { this->active.begin(), this->active.end() };
    // Ending one request resumes others only through the event loop, so the tickets stay valid meanwhile.
    for (RequestTicket* ticket : tickets)
        ticket->end();
}

Awaitable<Forwarder::Outcome> Forwarder::carry(std::shared_ptr<RequestTicket> ticket)
{
    const auto self = this->shared_from_this();
    Job job;
    job.ticket = ticket;
    job.request = ticket->request;
    this->resolve(*ticket);
    job.configuration = ticket->configuration;
    if (!job.configuration)
        co_return this->refuse(
            job, makeError(ResultCode::NotRunNoBundle, "no configuration is known yet"), startupRetryAfter);
    job.route = ticket->route;
    if (job.route == nullptr) {
        co_return this->refuse(job,
            makeError(ResultCode::NotFound, "no route for {}{}", job.request->host, job.request->target), Duration {});
    }
    job.state = this->stateOf(*job.route);
    job.service = nextService(*job.route, job.state->rotation);
    const TimePoint start = job.request->receivedAt;
    job.deadline = start + job.route->timeout;
    if (job.request->timeLeft)
        job.deadline = std::min<TimePoint>(job.deadline, start + *job.request->timeLeft);
    job.deadline -= answerMargin;
    job.target = start + job.route->targetLatency;
    if (job.route->hasAffinity && !job.request->affinityKey.empty())
        job.object = hash64(job.request->affinityKey, hash64(job.route->name)) | 1U;
    job.spillObject = job.object != 0 ? job.object : this->random();
    StreamHash bodyHash;
    bodyHash.update(job.request->body);
    job.fingerprint = requests::fingerprintOf(
        job.service, job.request->method, job.request->host + job.request->target, bodyHash.digest());
    if (this->heldBack.isQuarantined(job.fingerprint, Clock::now())) {
        co_return this->refuse(
            job, makeError(ResultCode::NotRunHeldBack, "copies of it crashed backend servers"), heldBackRetryAfter);
    }
    this->budgetOf(job.service).recordFirstAttempt(Clock::now());

    Error last = makeError(ResultCode::NotRunNoServer, "no backend server of {} can take it", job.service);
    std::optional<ServerAnswer> failed; ///< A server's own failure, passed on when no retry does better.
    while (!ticket->isCancelled) {
        const TimePoint now = Clock::now();
        if (ticket->mustEnd) {
            last = job.mayHaveRun ? makeError(ResultCode::UnknownTimeout, "this instance stops before the answer came")
                                  : makeError(ResultCode::NotRunStopping, "this instance is stopping");
            break;
        }
        if (now >= job.deadline) {
            last = job.mayHaveRun ? makeError(ResultCode::UnknownTimeout, "no answer before the deadline")
                                  : makeError(ResultCode::NotRunDeadline, "the deadline passed before it was sent");
            break;
        }
        const Placement placement = this->place(job, now);
        if (!placement.server) {
            job.retryAfter = placement.retryAfter;
            if (job.mayHaveRun || failed)
                break;
            if (job.arrivals == 0 && !this->refusesWaiting && co_await this->waitForRoom(job))
                continue;
            if (this->refusesWaiting)
                last = makeError(ResultCode::NotRunStopping, "this instance is stopping");
            if (last.code == ResultCode::NotRunNoServer && placement.wouldMissDeadline)
                last = makeError(ResultCode::NotRunNoCapacity, "no server of {} would answer in time", job.service);
            break;
        }
        if (job.arrivals > 0 && !this->budgetOf(job.service).takeExtraAttempt(now)) {
            if (!job.mayHaveRun)
                last = makeError(ResultCode::NotRunRetryBudget, "the retry budget of {} is spent", job.service);
            break;
        }
        const ServerPointer server = job.servers[*placement.server];
        const std::optional<ServerAnswer> answer = co_await this->attempt(job, server, placement.estimate);
        if (!answer) {
            last = makeError(ResultCode::NotRunConnectRefused, "{} did not accept a connection", server->entry.id);
            if (++job.connectFailures >= maximumConnectFailures)
                break;
            continue;
        }
        if (ticket->isCancelled)
            break;
        if (answer->wasStreamed) {
            co_return this->finish(job,
                Outcome {
                    .answer = answer->answer, .wasStreamed = true, .isCut = answer->end != AttemptEnd::Answered });
        }
        if (answer->end == AttemptEnd::Answered) {
            const bool retry = answer->answer.status >= 500 && this->shouldRetry(job, *answer, Clock::now());
            if (!retry)
                co_return this->finish(job, Outcome { .answer = answer->answer });
            failed = answer;
            continue;
        }
        last = makeError(requests::codeOfAttempt(answer->end), "{}: {}", server->entry.id, answer->detail);
        if (!requests::isProvenNotRun(answer->end))
            job.mayHaveRun = true;
        if (!ticket->mustEnd && !this->shouldRetry(job, *answer, Clock::now()))
            break;
    }
    if (ticket->isCancelled)
        co_return this->finish(job,
            Outcome { .answer = answerForError(makeError(ResultCode::UnknownCancelled, "the caller left"),
                          job.request->id, this->settings.names, std::nullopt) });
    if (failed)
        co_return this->finish(job, Outcome { .answer = failed->answer });
    if (job.mayHaveRun && outcomeOf(last.code) == clementinefall::Outcome::NotRun)
        last = makeError(ResultCode::UnknownConnectionLost, "an earlier attempt may have run; then {}", last.message);
    co_return this->refuse(job, last, this->spread(job.retryAfter));
}

bool Forwarder::shouldRetry(const Job& job, const ServerAnswer& answer, TimePoint now)
{
    if (job.arrivals >= job.route->maximumServers || answer.wasStreamed)
        return false;
    const bool notRun = requests::isProvenNotRun(answer.end);
    if (!notRun && !job.route->isIdempotent())
        return false;
    return now + job.state->processingTime.cached < job.deadline;
}

Awaitable<std::optional<ServerAnswer>> Forwarder::attempt(
    Job& job, const ServerPointer& server, const CompletionEstimate& expected)
{
    const auto ticket = job.ticket;
    const unsigned loadAtSend = static_cast<unsigned>(outstandingRequests(*server, Clock::now()));
    const bool wasCold = isCold(*server, Clock::now());
    job.tried.push_back(server);
    ++server->inFlight;
    if (wasCold)
        server->lastColdSend = Clock::now();
    auto connection = this->connections.take(server, Clock::now());
    if (!connection) {
        connection = std::make_shared<ServerConnection>(this->executor, server);
        ticket->onCancel = [connection] { connection->close(); };
        const Duration timeout = connectBase + connectRoundTrips * server->connectTime;
        const Duration left = job.deadline - Clock::now();
        const bool connected = co_await connection->connect(std::min(timeout, left));
        ticket->onCancel = {};
        // The server may have left, or turned cold, while the connection was opened.
        const bool stillFits = isUsable(*server) && (wasCold || !isCold(*server, Clock::now()));
        if (!connected || ticket->isCancelled || ticket->mustEnd || !stillFits) {
            connection->close();
            --server->inFlight;
            if (!connected && !ticket->isCancelled && !ticket->mustEnd)
                this->noteConnectFailure(server, Clock::now());
            job.trail += fmt::format("{}:connect ", server->entry.id);
            co_return std::nullopt;
        }
    }
    ++job.arrivals;
    const bool isRecent = expected.cacheAffinity == CacheAffinity::Cached;
    this->counters.notePlacement(isRecent);
    ++(isRecent                                             ? job.state->recentPlacements
            : expected.cacheAffinity == CacheAffinity::Home ? job.state->homePlacements
                                                            : job.state->freshPlacements);
    const TimePoint sentAt = Clock::now();
    if (server->awaitingResponseSince == TimePoint {}) {
        server->awaitingResponseSince = sentAt;
        server->unresponsiveTimeout = silenceAllowance + silenceForecasts * expected.completion;
    }
    if (job.object != 0)
        server->cachedObjects.record(job.object, sentAt);
    const std::uint64_t mark = this->tracker.recordSent(server->entry.id, { job.fingerprint, job.service });
    ticket->onCancel = [connection] { connection->close(); };
    std::string head = encodeRequestHead(*job.request, this->settings.names, server->entry.id, job.deadline - sentAt);
    ServerAnswer answer = co_await connection->exchange(
        job.request, std::move(head), this->settings.names, job.deadline, *ticket->sink);
    ticket->onCancel = {};
    --server->inFlight;
    if (answer.closedByServer)
        this->recordCrash(server, Clock::now());
    this->tracker.recordEnded(server->entry.id, mark);
    this->recordEnd(job, server, expected, answer, loadAtSend, sentAt);
    this->connections.giveBack(server, connection);
    this->waitingRooms[job.service].wake(1);
    co_return answer;
}

void Forwarder::recordEnd(Job& job, const ServerPointer& server, const CompletionEstimate& expected,
    const ServerAnswer& answer, unsigned loadAtSend, TimePoint sentAt)
{
    const TimePoint now = Clock::now();
    job.trail += fmt::format("{}:{} ", server->entry.id, endName(answer.end));
    this->counters.noteAttempt(job.service, std::string(endName(answer.end)));
    if (answer.isMisdirected)
        server->backoffUntil = now + misdirectedPause;
    if (answer.load) {
        server->report = *answer.load;
        server->report.localInFlight = server->inFlight + 1;
        server->report.at = now;
    }
    const bool heardFrom = answer.end == AttemptEnd::Answered || answer.end == AttemptEnd::ShedByServer
        || answer.end == AttemptEnd::ResponseTruncated || answer.end == AttemptEnd::ResponseInvalid;
    if (heardFrom || server->inFlight == 0)
        server->awaitingResponseSince = heardFrom && server->inFlight > 0 ? now : TimePoint {};
    if (answer.end == AttemptEnd::TimedOut)
        this->connections.drop(server);
    if (answer.end != AttemptEnd::CancelledSent)
        recordAttempt(*server, !isServerFault(answer));
    if (answer.end == AttemptEnd::ShedByServer && job.object != 0)
        server->cachedObjects.remove(job.object);
    if (answer.end != AttemptEnd::Answered || answer.answer.status >= 300)
        return;
    this->heldBack.recordSuccess(job.fingerprint, now);
    recordBytes(job.state->requestBytes, job.request->body.size());
    // Of a longer answer only its least size is known here.
    recordBytes(
        job.state->answerBytes, answer.wasStreamed ? ServerConnection::heldAnswerBytes : answer.answer.body.size());
    if (loadAtSend >= server->entry.slots || (answer.load && answer.load->waiting > 0))
        return; // Part of the time may have been spent waiting.
    const Duration took = now - sentAt;
    const Duration processingTime = std::max<Duration>(took - server->connectTime, milliseconds(1));
    const Duration usual = job.state->processingTime.of(expected.cacheAffinity);
    const double ratio = std::chrono::duration<double>(processingTime) / std::chrono::duration<double>(usual);
    server->slowdown += slownessWeight * (std::clamp(ratio, leastSlowness, mostSlowness) - server->slowdown);
    if (!isCold(*server, now))
        recordProcessingTime(job.state->processingTime, expected.cacheAffinity, processingTime);
}

void Forwarder::noteConnectFailure(const ServerPointer& server, TimePoint now)
{
    // When it comes back under its id, it is cold before its entry says so.
    const auto service = this->currentConfiguration->services.find(server->entry.service);
    if (service != this->currentConfiguration->services.end())
        server->coldUntil = std::max(server->coldUntil, now + service->second.coldTime);
    server->cachedObjects.clear();
    this->connections.drop(server);
}

void Forwarder::recordCrash(const ServerPointer& server, TimePoint now)
{
    const std::vector<requests::CrashMark> marks = this->tracker.recordCrash(server->entry.id, now);
    const bool isMass = now - this->lastCrash < massCrashTime && this->lastCrashServer != server->entry.id;
    this->lastCrash = now;
    this->lastCrashServer = server->entry.id;
    logWarning("server_connection_lost",
        { { "server", server->entry.id }, { "in_flight", marks.size() }, { "several_servers", isMass } });
    if (isMass)
        return;
    for (const requests::CrashMark& mark : marks) {
        if (this->heldBack.merge(mark, now))
            this->freshMarks.push_back(mark);
    }
}

std::vector<requests::CrashMark> Forwarder::takeCrashMarks() { return std::exchange(this->freshMarks, {}); }

Duration Forwarder::spread(Duration pause)
{
    // Those who are refused together must not return together.
    const double factor = 0.5 + randomUnit(this->random);
    return scaled(pause, factor);
}

Forwarder::Outcome Forwarder::refuse(Job& job, const Error& error, Duration retryAfter)
{
    Outcome outcome;
    outcome.answer = answerForError(error, job.request->id, this->settings.names, retryAfter);
    return this->finish(job, std::move(outcome));
}

Forwarder::Outcome Forwarder::finish(Job& job, Outcome outcome)
{
    const Duration took = Clock::now() - job.request->receivedAt;
    const std::string routeName = job.route == nullptr ? "none" : job.route->name;
    this->counters.noteRequest(routeName, outcome.answer.code, outcome.answer.status, took);
    const bool isGood = outcome.answer.status < 300 && !outcome.isCut;
    // One line for each request that did not simply succeed, and for those that needed more than one attempt.
    if (!isGood || job.arrivals > 1) {
        logInfo("request",
            { { "id", job.request->id }, { "route", routeName }, { "service", job.service },
                { "status", outcome.answer.status }, { "code", number(outcome.answer.code) },
                { "ms", std::chrono::duration_cast<milliseconds>(took).count() },
                { "left_ms", std::chrono::duration_cast<milliseconds>(job.deadline - Clock::now()).count() },
                { "config", job.configuration ? job.configuration->version : 0 }, { "attempts", job.trail },
                { "cut", outcome.isCut }, { "cancelled", job.ticket->isCancelled },
                { "why",
                    isGood ? std::string_view("retried") : std::string_view(outcome.answer.body).substr(0, 160) } });
    }
    return outcome;
}

void Forwarder::noteNeighbour(
    const std::string& instance, const std::map<std::string, unsigned>& inFlight, TimePoint now)
{
    auto& before = this->neighbourLoads[instance];
    for (const auto& [id, count] : before) {
        const ServerPointer server = this->catalog->find(id);
        if (server && !inFlight.contains(id))
            server->neighbourInFlight.erase(instance);
    }
    for (const auto& [id, count] : inFlight) {
        const ServerPointer server = this->catalog->find(id);
        if (server)
            server->neighbourInFlight[instance] = count;
    }
    before = inFlight;
    this->neighbourHeardAt[instance] = now;
}

void Forwarder::noteRegionUse(
    const std::string& region, const std::map<std::string, double>& useByService, TimePoint now)
{
    for (const auto& [service, use] : useByService) {
        ReportedUse& reported = this->reportedUses[{ region, service }];
        // The instances of a region see different parts of its load; the mean of their reports is what counts.
        const bool isFresh = now - reported.at < useLifetime;
        reported.use = isFresh ? reported.use + utilizationWeight * (use - reported.use) : use;
        reported.at = now;
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
    for (auto& [instance, heardAt] : this->neighbourHeardAt) {
        if (now - heardAt > neighbourLifetime && !this->neighbourLoads[instance].empty())
            this->noteNeighbour(instance, {}, heardAt);
    }
    this->connections.closeExpired(now);
    this->heldBack.expire(now);
    if (this->currentConfiguration)
        this->updateSpills(now);
    this->lastTick = now;
    if (now >= this->nextSummary) {
        this->nextSummary = now + summaryInterval;
        this->logRoutes(now);
    }
}

void Forwarder::logRoutes(TimePoint now)
{
    for (const auto& [name, state] : this->routeStates) {
        if (state->recentPlacements + state->homePlacements + state->freshPlacements == 0)
            continue;
        logInfo("route_summary",
            { { "route", name }, { "recent", state->recentPlacements }, { "home", state->homePlacements },
                { "fresh", state->freshPlacements },
                { "recent_ms", std::chrono::duration_cast<milliseconds>(state->processingTime.cached).count() },
                { "home_ms", std::chrono::duration_cast<milliseconds>(state->processingTime.home).count() },
                { "fresh_ms", std::chrono::duration_cast<milliseconds>(state->processingTime.uncached).count() } });
        state->recentPlacements = 0;
        state->homePlacements = 0;
        state->freshPlacements = 0;
    }
    for (const auto& [name, room] : this->waitingRooms) {
        double load = 0;
        double slots = 0;
        for (const ServerPointer& server : this->catalog->serversOf(name)) {
            if (!isUsable(*server) || server->locality == Locality::OtherRegion)
                continue;
            load += outstandingRequests(*server, now);
            slots += server->entry.slots;
        }
        logInfo("service_summary",
            { { "service", name }, { "waiting", room.size() }, { "region_load", load }, { "region_slots", slots } });
    }
}

void Forwarder::updateSpills(TimePoint now)
{
    const Duration elapsed = this->lastTick == TimePoint {} ? Duration {} : now - this->lastTick;
    for (const auto& [name, service] : this->currentConfiguration->services) {
        double ownLoad = 0;
        std::map<std::string, RegionCapacity> regions;
        for (const auto& [region, live] : this->instancesByRegion)
            regions[region].instances = live;
        for (const ServerPointer& server : this->catalog->serversOf(name)) {
            if (!isUsable(*server) || now < server->backoffUntil || isCold(*server, now))
                continue;
            if (server->locality != Locality::OtherRegion)
                ownLoad += outstandingRequests(*server, now);
            regions[server->region].slots += server->entry.slots;
        }
        const double ownSlots = regions[this->settings.region].slots;
        std::map<std::string, double> useByRegion;
        for (const auto& [region, capacity] : regions) {
            if (region == this->settings.region || capacity.slots <= 0)
                continue;
            const auto reported = this->reportedUses.find({ region, name });
            const bool isKnown = reported != this->reportedUses.end() && now - reported->second.at < useLifetime;
            useByRegion[region] = isKnown ? reported->second.use : 0.0;
        }
        if (ownSlots <= 0)
            continue;
        RegionSpill& spill = this->spills[name];
        const double before = spill.totalShare();
        if (!this->budgets.contains(name)) {
            // No request of the service has come yet.
            spill.shares = initialSpillShares(regions, this->settings.region);
        } else {
            const auto room = this->waitingRooms.find(name);
            if (room != this->waitingRooms.end())
                ownLoad += static_cast<double>(room->second.size());
            updateSpill(spill, ownLoad / ownSlots, useByRegion, elapsed);
        }
        constexpr double loggedStep = 0.1;
        if (std::floor(before / loggedStep) != std::floor(spill.totalShare() / loggedStep)) {
            std::string parts;
            for (const auto& [region, share] : spill.shares)
                parts += fmt::format("{}:{:.2f}/{:.2f} ", region, share, useByRegion[region]);
            logInfo("region_spill",
                { { "service", name }, { "share", fmt::format("{:.2f}", spill.totalShare()) },
                    { "own_use", fmt::format("{:.2f}", spill.localUtilization) }, { "own_slots", ownSlots },
                    { "share_and_use", parts } });
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
