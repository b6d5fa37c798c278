#include "bundlewatcher.h"

#include "base/log.h"
#include "http/spawn.h"

#include <boost/asio/steady_timer.hpp>

namespace clementinefall::entry {

namespace {

/// Maximum duration of one watch call. Long calls are cheaper, as the platform counts every call.
constexpr milliseconds watchTimeout { 25'000 };

/// Interval at which an instance that does not watch the platform checks whether it should.
constexpr milliseconds watchConditionInterval { 1000 };

/// Rounds of reading referenced objects. A rollout view refers to at most two levels of objects.
constexpr unsigned maximumReadRounds = 4;

} // namespace

BundleWatcher::BundleWatcher(std::shared_ptr<platform::PlatformClient> platformClient,
    bundle::AdoptionSettings adoptionSettings, BundleChangeHandler onChange)
    : client(std::move(platformClient))
    , settings(std::move(adoptionSettings))
    , onBundleChanged(std::move(onChange))
{
}

void BundleWatcher::start(const asio::any_io_executor& executor)
{
    const auto self = this->shared_from_this();
    for (const char* kind : { "bundles", "rollouts" })
        http::spawnLoop(executor, "watch_bundles", [self, kind] { return self->watchKind(self, kind); });
}

Awaitable<void> BundleWatcher::watchKind(std::shared_ptr<BundleWatcher> self, std::string kind)
{
    std::uint64_t revision = 0;
    unsigned failures = 0;
    while (!self->isStopped) {
        if (!self->shouldWatch()) {
            asio::steady_timer pause(co_await asio::this_coro::executor, watchConditionInterval);
            co_await pause.async_wait(useTuple);
            continue;
        }
        const auto listed = co_await self->client->watch(kind, revision, watchTimeout);
        // No conditional expression: g++ 12 destroys its temporaries twice if it contains co_await.
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
        const std::set<std::string> requested = std::move(missing);
        missing.clear();
        for (const std::string& key : requested) {
            const Status read = co_await this->readObject(key, objects);
            if (!isOk(read))
                co_return errorOf(read);
        }
        Result<bundle::RolloutView> view = bundle::readRolloutView(
            objects[std::string(bundle::acceptedKey)], objects[std::string(bundle::rolloutKey)], reader);
        if (!isOk(view) || missing.empty())
            co_return view;
    }
    co_return makeError(ResultCode::PlatformBadAnswer, "the rollout objects have too many levels of references");
}

Awaitable<Status> BundleWatcher::refresh()
{
    Objects objects;
    Result<bundle::RolloutView> view = co_await this->readView(objects);
    if (!isOk(view))
        co_return errorOf(view);
    if (valueOf(view).accepted) {
        const Status status = co_await this->adopt(*valueOf(view).accepted, valueOf(view).policyChain, objects);
        if (!isOk(status))
            co_return status;
    }
    if (valueOf(view).staged)
        co_return co_await this->adopt(*valueOf(view).staged, valueOf(view).policyChain, objects);
    this->apply(bundle::endStaging(this->adoption, valueOf(view).rolloutRevision), nullptr);
    co_return okStatus();
}

Awaitable<Status> BundleWatcher::adopt(
    bundle::Candidate candidate, std::vector<std::uint64_t> policyChain, Objects& objects)
{
    bundle::AdoptionResult result = bundle::adoptBundle(this->adoption, candidate, this->settings);
    if (result.outcome == bundle::AdoptionOutcome::Rejected && !policyChain.empty()) {
        const Status read = co_await this->readPolicyChain(std::move(policyChain), candidate, objects);
        if (!isOk(read))
            co_return read;
        result = bundle::adoptBundle(this->adoption, candidate, this->settings);
    }
    this->apply(std::move(result), &candidate);
    co_return okStatus();
}

Status BundleWatcher::adoptFromPeer(const bundle::Candidate& candidate)
{
    bundle::AdoptionResult result = bundle::adoptBundle(this->adoption, candidate, this->settings);
    const bool isAdopted = result.outcome == bundle::AdoptionOutcome::Adopted;
    const std::optional<Error> error = result.error;
    this->apply(std::move(result), &candidate);
    if (isAdopted)
        return okStatus();
    return error.value_or(
        makeError(ResultCode::BundleVersionNotNewer, "version {}", candidate.content.bundle->version));
}

Awaitable<Status> BundleWatcher::readPolicyChain(
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

void BundleWatcher::apply(bundle::AdoptionResult result, const bundle::Candidate* candidate)
{
    if (result.error)
        logWarning("bundle_not_adopted", { { "error", result.error->text() } });
    if (candidate && result.state.acceptedVersion > this->adoption.acceptedVersion)
        this->signOffs = candidate->content.signOffs;
    const bool isChanged = result.state.inForce() != this->adoption.inForce();
    this->adoption = std::move(result.state);
    if (!isChanged || !this->adoption.inForce())
        return;
    logInfo("bundle_adopted",
        { { "version", this->adoption.inForce()->version }, { "accepted", this->adoption.acceptedVersion },
            { "staged", this->adoption.stagedVersion } });
    this->onBundleChanged(this->adoption.inForce());
}

} // namespace clementinefall::entry
