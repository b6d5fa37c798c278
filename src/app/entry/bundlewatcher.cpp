#include "bundlewatcher.h"

#include "base/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace clementinefall::entry {

namespace {

/// Length of one watch call. The platform counts each call, so a longer watch is cheaper.
constexpr milliseconds watchWait { 25'000 };

/// How often an instance that does not watch the platform asks whether it should.
constexpr milliseconds watchConditionInterval { 1000 };

/// Rounds of reading the objects that a view names; a view names at most two levels of objects.
constexpr unsigned maximumReadRounds = 4;

} // namespace

BundleWatcher::BundleWatcher(std::shared_ptr<platform::PlatformClient> platformClient,
    bundle::AdoptionSettings adoptionSettings, InForceChanged onChange)
    : client(std::move(platformClient))
    , settings(std::move(adoptionSettings))
    , changed(std::move(onChange))
{
}

void BundleWatcher::start(const asio::any_io_executor& executor)
{
    for (const char* kind : { "bundles", "rollouts" })
        asio::co_spawn(executor, this->follow(this->shared_from_this(), kind), asio::detached);
}

Awaitable<void> BundleWatcher::follow(std::shared_ptr<BundleWatcher> self, std::string kind)
{
    std::uint64_t revision = 0;
    unsigned failures = 0;
    while (!self->stopped) {
        if (!self->shouldWatch()) {
            asio::steady_timer pause(co_await asio::this_coro::executor, watchConditionInterval);
            co_await pause.async_wait(useTuple);
            continue;
        }
        const auto listed = co_await self->client->watch(kind, revision, watchWait);
        // g++ 12 frees temporaries twice when a conditional expression contains co_await.
        Status refreshed = okStatus();
        if (!isOk(listed))
            refreshed = errorOf(listed);
        else if (valueOf(listed).revision != revision)
            refreshed = co_await self->refresh();
        if (isOk(refreshed)) {
            revision = valueOf(listed).revision;
            failures = 0;
            continue;
        }
        ++failures;
        logWarning("platform_call_failed", { { "error", errorOf(refreshed).text() }, { "failures", failures } });
        asio::steady_timer timer(co_await asio::this_coro::executor, platform::backoffDelay(failures, self->random));
        co_await timer.async_wait(useTuple);
    }
}

Awaitable<Status> BundleWatcher::readObject(std::string key, Objects& objects)
{
    const auto slash = key.find('/');
    const auto read = co_await this->client->read(key.substr(0, slash), key.substr(slash + 1));
    if (isOk(read)) {
        objects[key] = bundle::StoredObject { key, valueOf(read).version, valueOf(read).value };
        co_return okStatus();
    }
    if (errorOf(read).code != ResultCode::PlatformNotFound)
        co_return errorOf(read);
    objects[key] = bundle::StoredObject { key, 0, {} };
    co_return okStatus();
}

Awaitable<Result<bundle::RolloutView>> BundleWatcher::readView(Objects& objects)
{
    std::set<std::string> missing { std::string(bundle::acceptedKey), std::string(bundle::rolloutKey) };
    const bundle::ObjectReader reader = [&objects, &missing](const std::string& key) {
        const auto found = objects.find(key);
        if (found != objects.end())
            return found->second;
        missing.insert(key);
        return bundle::StoredObject { key, 0, {} };
    };
    for (unsigned round = 0; round < maximumReadRounds; ++round) {
        const std::set<std::string> wanted = std::move(missing);
        missing.clear();
        for (const std::string& key : wanted) {
            const Status read = co_await this->readObject(key, objects);
            if (!isOk(read))
                co_return errorOf(read);
        }
        Result<bundle::RolloutView> view = bundle::readRolloutView(
            objects[std::string(bundle::acceptedKey)], objects[std::string(bundle::rolloutKey)], reader);
        if (!isOk(view) || missing.empty())
            co_return view;
    }
    co_return makeError(ResultCode::PlatformBadAnswer, "the rollout objects name too many others");
}

Awaitable<Status> BundleWatcher::refresh()
{
    Objects objects;
    Result<bundle::RolloutView> view = co_await this->readView(objects);
    if (!isOk(view))
        co_return errorOf(view);
    if (valueOf(view).accepted) {
        const Status offered = co_await this->offer(*valueOf(view).accepted, valueOf(view).policyChain, objects);
        if (!isOk(offered))
            co_return offered;
    }
    if (valueOf(view).staged)
        co_return co_await this->offer(*valueOf(view).staged, valueOf(view).policyChain, objects);
    this->apply(bundle::endStaging(this->adoption, valueOf(view).rolloutRevision), nullptr);
    co_return okStatus();
}

Awaitable<Status> BundleWatcher::offer(
    bundle::Candidate candidate, std::vector<std::uint64_t> policyChain, Objects& objects)
{
    bundle::AdoptionResult step = bundle::adoptBundle(this->adoption, candidate, this->settings);
    if (step.outcome == bundle::AdoptionOutcome::Rejected && !policyChain.empty()) {
        const Status read = co_await this->readTrail(std::move(policyChain), candidate, objects);
        if (!isOk(read))
            co_return read;
        step = bundle::adoptBundle(this->adoption, candidate, this->settings);
    }
    this->apply(std::move(step), &candidate);
    co_return okStatus();
}

Status BundleWatcher::offerFromPeer(const bundle::Candidate& candidate)
{
    bundle::AdoptionResult step = bundle::adoptBundle(this->adoption, candidate, this->settings);
    const bool isAdopted = step.outcome == bundle::AdoptionOutcome::Adopted;
    const std::optional<Error> error = step.error;
    this->apply(std::move(step), &candidate);
    if (isAdopted)
        return okStatus();
    return error.value_or(
        makeError(ResultCode::BundleVersionNotNewer, "version {}", candidate.content.bundle->version));
}

Awaitable<Status> BundleWatcher::readTrail(
    std::vector<std::uint64_t> versions, bundle::Candidate& candidate, Objects& objects)
{
    bundle::RolloutView view;
    view.accepted = candidate;
    for (const std::uint64_t version : versions) {
        if (version <= this->adoption.acceptedVersion || version >= candidate.content.bundle->version)
            continue;
        view.policyChain.push_back(version);
        for (const std::string& key : { bundle::bundleKey(version), bundle::signOffsKey(version) }) {
            const Status read = co_await this->readObject(key, objects);
            if (!isOk(read))
                co_return read;
        }
    }
    const bundle::ObjectReader reader = [&objects](const std::string& key) { return objects[key]; };
    Status added = bundle::addPolicyChain(view, this->adoption.acceptedVersion, reader);
    candidate.policyChain = view.accepted->policyChain;
    co_return added;
}

void BundleWatcher::apply(bundle::AdoptionResult step, const bundle::Candidate* candidate)
{
    if (step.error)
        logWarning("bundle_not_adopted", { { "error", step.error->text() } });
    if (candidate && step.state.acceptedVersion > this->adoption.acceptedVersion)
        this->signOffs = candidate->content.signOffs;
    const bool isChanged = step.state.inForce() != this->adoption.inForce();
    this->adoption = std::move(step.state);
    if (!isChanged || !this->adoption.inForce())
        return;
    logInfo("bundle_adopted",
        { { "version", this->adoption.inForce()->version }, { "accepted", this->adoption.acceptedVersion },
            { "staged", this->adoption.stagedVersion } });
    this->changed(this->adoption.inForce());
}

} // namespace clementinefall::entry
