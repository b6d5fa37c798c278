#include "entryinstance.h"

#include "admin/platformstore.h"
#include "base/log.h"
#include "http/spawn.h"
#include "http/target.h"

#include <boost/asio/post.hpp>

namespace clementinefall::entry {

namespace {

constexpr milliseconds tickInterval { 1000 };

/// Used until the instance may use its slots. Shorter than tickInterval because requests that need a slot are rejected
/// until then.
constexpr milliseconds startTickInterval { 100 };

/// Interval of share queries while the newest version is settled. They serve only to detect restarts then; sent once a
/// second they would cost 8.7 KB/s in a zone of 20 instances.
constexpr seconds settledQueryInterval { 10 };
constexpr milliseconds stopPollInterval { 20 };

/// Short enough that a leaving backend server receives no new requests 3 s after the platform lists it as leaving.
constexpr milliseconds listReadInterval { 2000 };
constexpr double adminCallsPerSecond = 10.0;
constexpr double adminCallBurst = 60.0;

requests::InstanceIdentity identityFor(const EntrySettings& settings)
{
    Random random = systemSeededRandom();
    return { settings.name, settings.zone, random() };
}

} // namespace

EntryInstance::EntryInstance(EntrySettings instanceSettings)
    : settings(std::move(instanceSettings))
    , spans(this->settings.name, this->settings.traceTarget)
    , state(identityFor(this->settings), this->spans)
    , signals(this->control, SIGINT, SIGTERM)
{
}

EntryInstance::~EntryInstance()
{
    if (this->fleet)
        this->fleet->stop();
    this->fleet.reset();
    for (const auto& runner : this->runners) {
        runner->context.stop();
        if (runner->systemThread.joinable())
            runner->systemThread.join();
    }
}

Status EntryInstance::start()
{
    std::vector<asio::io_context*> contexts;
    for (unsigned i = 0; i < this->settings.trafficThreads; ++i) {
        auto runner = std::make_unique<TrafficRunner>();
        Random random = systemSeededRandom();
        runner->thread = std::unique_ptr<requests::TrafficThread>(new requests::TrafficThread { this->state,
            requests::ConnectionPool(runner->context.get_executor(), Random(random())), Random(random()) });
        contexts.push_back(&runner->context);
        this->runners.push_back(std::move(runner));
    }
    http::ServerLimits limits;
    limits.maximumConnections = this->settings.maximumConnections;
    limits.maximumConnectionsPerPeer = this->settings.maximumConnectionsPerPeer;
    const auto handleTraffic = [this](std::shared_ptr<http::Exchange> exchange) -> Awaitable<void> {
        for (const auto& runner : this->runners) {
            if (runner->context.get_executor() == exchange->executor())
                return requests::handleExchange(std::move(exchange), *runner->thread);
        }
        return requests::handleExchange(std::move(exchange), *this->runners.front()->thread);
    };
    this->trafficServer = std::make_shared<http::Server>(contexts, limits, handleTraffic);
    Status trafficListening = this->trafficServer->listen(this->settings.traffic);
    if (!isOk(trafficListening))
        return trafficListening;
    const std::vector<asio::io_context*> controlContexts { &this->control };
    this->adminServer = std::make_shared<http::Server>(controlContexts, http::ServerLimits {},
        [this](std::shared_ptr<http::Exchange> exchange) { return this->handleAdmin(std::move(exchange)); });
    Status adminListening = this->adminServer->listen(this->settings.admin);
    if (!isOk(adminListening))
        return adminListening;

    Status controlStarted = this->startControl();
    if (!isOk(controlStarted))
        return controlStarted;
    http::spawnLoop(this->control.get_executor(), "tick", [this] { return this->tick(); });
    this->signals.async_wait([this](beast::error_code error, int) {
        if (!error)
            this->beginStop();
    });
    for (const auto& runner : this->runners)
        runner->systemThread = std::thread([context = &runner->context] { http::runHandlers(*context); });
    logInfo("entry_started",
        { { "instance", this->settings.name }, { "zone", this->settings.zone },
            { "incarnation", fmt::format("{:016x}", this->state.self.incarnation) },
            { "traffic", this->settings.traffic.text() }, { "admin", this->settings.admin.text() } });
    return okStatus();
}

Status EntryInstance::startControl()
{
    const Result<membership::ClusterKey> clusterKey = membership::parseClusterKey(this->settings.clusterKey);
    if (!isOk(clusterKey))
        return errorOf(clusterKey);
    this->controlLoop = std::make_unique<peers::ControlLoop>(this->control);
    platform::ClientSettings clientSettings;
    clientSettings.address = this->settings.platform;
    this->platformClient = std::make_shared<platform::PlatformClient>(this->control.get_executor(), clientSettings);
    const bundle::AdoptionSettings adoptionSettings { this->settings.zone, this->settings.trustedRoots };
    this->watcher = std::make_shared<BundleWatcher>(this->platformClient, adoptionSettings,
        [this](const std::shared_ptr<const bundle::Bundle>& bundle) { this->adopt(bundle); });
    this->watcher->start(this->control.get_executor());
    // Operator commands come in bursts. A separate client keeps them from queueing behind the other platform calls of
    // the instance and from using up its call budget.
    clientSettings.callsPerSecond = adminCallsPerSecond;
    clientSettings.burst = adminCallBurst;
    const auto adminClient = std::make_shared<platform::PlatformClient>(this->control.get_executor(), clientSettings);
    const admin::AdminSettings adminSettings { this->settings.trustedRoots, this->settings.bootstrapTokenDigest };
    this->adminService = std::make_shared<admin::AdminService>(
        std::make_shared<admin::PlatformStore>(adminClient), adminSettings, this->adminHooks());

    FleetLinkHandlers handlers;
    handlers.onMembersChanged = [this] { this->publish(); };
    handlers.onSuperseded = [this] {
        logError("superseded", { { "instance", this->settings.name } });
        this->beginStop();
    };
    handlers.answerShareQuery
        = [this](const steering::ShareQuery& query) { return this->state.answerShareQuery(query); };
    handlers.onShareStatus
        = [this](const steering::ShareStatus& status) { this->state.recordShareStatus(status, Clock::now()); };
    const FleetLinkSettings linkSettings { this->settings.name, this->settings.zone, this->settings.peer,
        this->state.self.incarnation, valueOf(clusterKey) };
    this->fleet = std::make_unique<FleetLink>(this->control, this->watcher, linkSettings, std::move(handlers));
    this->watcher->setWatchCondition([this] { return this->fleet && this->fleet->shouldWatchPlatform(); });
    return this->fleet->start();
}

admin::InstanceHooks EntryInstance::adminHooks()
{
    admin::InstanceHooks hooks;
    hooks.acceptedBundle = [this] { return this->watcher->state().accepted; };
    hooks.status = [this] { return this->statusReport(); };
    hooks.quarantined = [] { return boost::json::array(); };
    hooks.release = [](const std::string&) { return false; };
    hooks.explain = [](const std::map<std::string, std::string>&) -> Result<boost::json::object> {
        return makeError(ResultCode::AdminNotFound, "explaining routing decisions is not implemented yet");
    };
    hooks.now = [] { return WallClock::now(); };
    return hooks;
}

boost::json::object EntryInstance::statusReport() const
{
    const requests::TrafficCounters& counters = this->state.counters;
    const bundle::AdoptionState& adoption = this->watcher->state();
    return {
        { "instance", this->settings.name },
        { "zone", this->settings.zone },
        { "incarnation", fmt::format("{:016x}", this->state.self.incarnation) },
        { "acceptedVersion", adoption.acceptedVersion },
        { "stagedVersion", adoption.stagedVersion },
        { "stopping", this->stopRequested },
        { "lookups", counters.lookups.load() },
        { "requests", counters.requests.load() },
        { "answered", counters.answered.load() },
        { "notRun", counters.notRun.load() },
        { "unknown", counters.unknown.load() },
        { "extraAttempts", counters.extraAttempts.load() },
        { "platformCalls", this->platformClient->callCount() },
    };
}

void EntryInstance::run() { this->controlLoop->run(); }

void EntryInstance::adopt(const std::shared_ptr<const bundle::Bundle>& bundle)
{
    this->snapshot = steering::buildSnapshot(*bundle, this->settings.name);
    if (this->snapshot->localZone)
        this->state.applyServers(*this->snapshot, *this->snapshot->localZone, Clock::now());
    this->fleet->onBundleChanged(*bundle);
    this->publish();
}

steering::MemberState EntryInstance::memberStateOf(const steering::InstanceRoute& instance) const
{
    if (instance.name == this->settings.name)
        return this->stopRequested ? steering::MemberState::Leaving : steering::MemberState::Live;
    const membership::Member* member = membership::findMemberByName(this->fleet->table(), instance.name);
    // An instance without a membership record may not have been started yet. It is ranked last.
    if (!member)
        return steering::MemberState::Suspect;
    switch (member->record.state) {
    case membership::MemberState::Live:
        return steering::MemberState::Live;
    case membership::MemberState::Suspect:
        return steering::MemberState::Suspect;
    case membership::MemberState::Leaving:
        return steering::MemberState::Leaving;
    case membership::MemberState::Dead:
        break;
    }
    return steering::MemberState::Dead;
}

void EntryInstance::publish()
{
    if (!this->snapshot)
        return;
    auto routing = std::make_shared<requests::PublishedRouting>();
    routing->snapshot = this->snapshot;
    routing->view = steering::makeFleetView(*this->snapshot, steering::MemberState::Live);
    routing->incarnations.assign(this->snapshot->instances.size(), 0);
    for (std::size_t i = 0; i < this->snapshot->instances.size(); ++i) {
        const steering::InstanceRoute& instance = this->snapshot->instances[i];
        routing->view.members[i] = this->memberStateOf(instance);
        if (const membership::Member* member = membership::findMemberByName(this->fleet->table(), instance.name))
            routing->incarnations[i] = member->record.incarnation;
    }
    if (this->snapshot->localInstance)
        routing->incarnations[*this->snapshot->localInstance] = this->state.self.incarnation;
    this->state.publish(std::move(routing));
}

void EntryInstance::queryZoneIfDue(const steering::ShareQuery& query, TimePoint now)
{
    const bool isSettled = this->state.settledSlotVersion() == this->snapshot->version;
    if (isSettled && now < this->nextSettledQuery)
        return;
    this->nextSettledQuery = now + settledQueryInterval;
    this->fleet->queryZone(query);
}

Awaitable<void> EntryInstance::updatePlatformDrains()
{
    const Result<platform::InstanceList> list = co_await this->platformClient->instances();
    if (!isOk(list))
        co_return;
    const TimePoint now = Clock::now();
    for (const platform::ListedInstance& server : valueOf(list).backendServers) {
        const bool isLeaving = server.state == platform::InstanceState::Leaving;
        this->state.recordPlatformDrain(server.name, isLeaving, now);
    }
}

Awaitable<void> EntryInstance::tick()
{
    asio::steady_timer timer(this->control);
    while (!this->stopRequested) {
        timer.expires_after(this->state.hasUsableSlots() ? tickInterval : startTickInterval);
        co_await timer.async_wait(useTuple);
        const TimePoint now = Clock::now();
        this->fleet->tick();
        if (this->snapshot && this->snapshot->localZone)
            this->queryZoneIfDue(this->state.tickServers(now), now);
        if (now >= this->nextPlatformListRead) {
            this->nextPlatformListRead = now + listReadInterval;
            http::spawn(
                this->control.get_executor(), "platform_drains", [this] { return this->updatePlatformDrains(); });
        }
        {
            const std::scoped_lock lock(this->state.executionMutex);
            this->state.executions.expire(now);
        }
        for (const auto& runner : this->runners)
            asio::post(runner->context, [thread = runner->thread.get(), now] { thread->pool.sweep(now); });
    }
}

void EntryInstance::beginStop()
{
    if (this->stopRequested)
        return;
    this->stopRequested = true;
    this->state.stopRequested = true;
    this->fleet->leave();
    this->publish();
    logInfo("stop_requested", { { "instance", this->settings.name } });
    http::spawnLoop(this->control.get_executor(), "stop", [this] { return this->stopGracefully(); });
}

Awaitable<void> EntryInstance::stopGracefully()
{
    const TimePoint deadline = Clock::now() + this->settings.stopTimeout;
    // Callers may use a cached lookup for its time to live and send requests with identities of this instance until
    // then.
    const milliseconds lookupTtl = this->snapshot ? this->snapshot->lookupTtl : milliseconds(0);
    asio::steady_timer timer(this->control, lookupTtl + this->settings.stopGrace);
    co_await timer.async_wait(useTuple);
    this->state.isStopping = true;
    this->trafficServer->drain();
    while (this->trafficServer->activeExchanges() > 0 && Clock::now() < deadline) {
        timer.expires_after(stopPollInterval);
        co_await timer.async_wait(useTuple);
    }
    logInfo("stopped", { { "requests_in_flight", this->trafficServer->activeExchanges() } });
    this->watcher->stop();
    this->adminServer->close();
    this->controlLoop->stop();
}

Awaitable<void> EntryInstance::handleAdmin(std::shared_ptr<http::Exchange> exchange)
{
    const auto target = http::parseTarget(exchange->header().target());
    const auto routing = this->state.routing();
    if (target && target->path.starts_with("/v1/admin")) {
        co_await admin::serveAdmin(this->adminService, std::move(exchange));
        co_return;
    }
    http::Response response;
    if (target && target->path == "/healthz")
        response = http::jsonResponse(200, "{\"healthy\":true}\n");
    else if (target && target->path == "/readyz" && routing && this->state.hasUsableSlots() && !this->stopRequested)
        response = http::jsonResponse(
            200, fmt::format("{{\"ready\":true,\"bundleVersion\":{}}}\n", routing->snapshot->version));
    else if (target && target->path == "/readyz")
        response = http::errorResponse(
            makeError(this->stopRequested ? ResultCode::NotRunStopping : ResultCode::NotRunNoBundle, "not ready"));
    else
        response = http::errorResponse(makeError(ResultCode::NotFound, "there is no such resource"));
    co_await exchange->respond(std::move(response));
}

} // namespace clementinefall::entry
