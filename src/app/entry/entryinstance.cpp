#include "entryinstance.h"

#include "base/log.h"
#include "http/target.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace clementinefall::entry {

namespace {

constexpr milliseconds tickInterval { 1000 };
constexpr milliseconds stopPollInterval { 20 };

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
    for (const auto& runner : this->runners) {
        runner->context.stop();
        if (runner->runner.joinable())
            runner->runner.join();
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
    const auto onTraffic = [this](std::shared_ptr<http::Exchange> exchange) -> Awaitable<void> {
        for (const auto& runner : this->runners) {
            if (runner->context.get_executor() == exchange->executor())
                return requests::handleCaller(std::move(exchange), *runner->thread);
        }
        return requests::handleCaller(std::move(exchange), *this->runners.front()->thread);
    };
    this->trafficServer = std::make_shared<http::Server>(contexts, limits, onTraffic);
    const Status traffic = this->trafficServer->listen(this->settings.traffic);
    if (!isOk(traffic))
        return traffic;
    const std::vector<asio::io_context*> controlContexts { &this->control };
    this->adminServer = std::make_shared<http::Server>(controlContexts, http::ServerLimits {},
        [this](std::shared_ptr<http::Exchange> exchange) { return this->handleAdmin(std::move(exchange)); });
    const Status admin = this->adminServer->listen(this->settings.admin);
    if (!isOk(admin))
        return admin;

    platform::ClientSettings clientSettings;
    clientSettings.address = this->settings.platform;
    this->platformClient = std::make_shared<platform::PlatformClient>(this->control.get_executor(), clientSettings);
    this->watcher = std::make_shared<BundleWatcher>(
        this->platformClient, [this](std::shared_ptr<const bundle::Bundle> bundle) { this->adopt(std::move(bundle)); });
    this->watcher->start(this->control.get_executor());
    asio::co_spawn(this->control, this->tick(), asio::detached);
    this->signals.async_wait([this](beast::error_code error, int) {
        if (!error)
            this->beginStop();
    });
    for (const auto& runner : this->runners)
        runner->runner = std::thread([context = &runner->context] { context->run(); });
    logInfo("entry_started",
        { { "instance", this->settings.name }, { "zone", this->settings.zone },
            { "incarnation", fmt::format("{:016x}", this->state.self.incarnation) },
            { "traffic", this->settings.traffic.text() }, { "admin", this->settings.admin.text() } });
    return okStatus();
}

void EntryInstance::run() { this->control.run(); }

void EntryInstance::adopt(std::shared_ptr<const bundle::Bundle> bundle)
{
    auto routing = std::make_shared<requests::PublishedRouting>();
    routing->snapshot = steering::buildSnapshot(*bundle, this->settings.name);
    routing->view = steering::makeFleetView(*routing->snapshot, steering::MemberState::Live);
    routing->incarnations.assign(routing->snapshot->instances.size(), 0);
    if (routing->snapshot->ownInstance)
        routing->incarnations[*routing->snapshot->ownInstance] = this->state.self.incarnation;
    this->state.publish(std::move(routing));
    logInfo("bundle_adopted", { { "version", bundle->version } });
}

Awaitable<void> EntryInstance::tick()
{
    asio::steady_timer timer(this->control);
    while (!this->stopRequested) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(useTuple);
        const TimePoint now = Clock::now();
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
    logInfo("stop_requested", { { "instance", this->settings.name } });
    asio::co_spawn(this->control, this->stopGracefully(), asio::detached);
}

Awaitable<void> EntryInstance::stopGracefully()
{
    const TimePoint end = Clock::now() + this->settings.stopTimeout;
    asio::steady_timer timer(this->control, this->settings.stopGrace);
    co_await timer.async_wait(useTuple);
    this->state.stopping = true;
    this->trafficServer->drain();
    while (this->trafficServer->activeExchanges() > 0 && Clock::now() < end) {
        timer.expires_after(stopPollInterval);
        co_await timer.async_wait(useTuple);
    }
    logInfo("stopped", { { "requests_in_flight", this->trafficServer->activeExchanges() } });
    this->watcher->stop();
    this->adminServer->close();
    this->control.stop();
}

Awaitable<void> EntryInstance::handleAdmin(std::shared_ptr<http::Exchange> exchange)
{
    const auto target = http::parseTarget(exchange->header().target());
    const auto routing = this->state.routing();
    http::Response response;
    if (target && target->path == "/healthz")
        response = http::jsonResponse(200, "{\"healthy\":true}\n");
    else if (target && target->path == "/readyz" && routing && !this->stopRequested)
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
