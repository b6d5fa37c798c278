#include "platform/kindwatcher.h"

#include "base/log.h"
#include "platform/calllimiter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace clementinefall::platform {

KindWatcher::KindWatcher(asio::any_io_executor watcherExecutor, std::shared_ptr<ObjectSource> objectSource,
    std::string objectKind, WatchTiming watchTiming)
    : executor(std::move(watcherExecutor))
    , source(std::move(objectSource))
    , kind(std::move(objectKind))
    , timing(watchTiming)
    , pause(this->executor)
    , random(systemSeededRandom())
{
}

void KindWatcher::start()
{
    const auto self = this->shared_from_this();
    asio::co_spawn(
        this->executor, [self]() -> Awaitable<void> { return self->run(); }, asio::detached);
}

void KindWatcher::stop()
{
    this->stopped = true;
    this->pause.cancel();
}

void KindWatcher::noteFailure(const Error& error)
{
    if (this->failures++ == 0) {
        logWarning("dependency_lost",
            { { "dependency", "store" }, { "kind", this->kind }, { "revision", this->revision },
                { "why", error.text() } });
    }
    if (this->onCall)
        this->onCall(false);
}

void KindWatcher::noteSuccess()
{
    if (this->failures > 0) {
        logInfo("dependency_regained",
            { { "dependency", "store" }, { "kind", this->kind }, { "failures", this->failures } });
    }
    this->failures = 0;
    this->contactAt = Clock::now();
    if (this->onCall)
        this->onCall(true);
}

Awaitable<bool> KindWatcher::listOnce()
{
    // The first list may be old: changes since its revision follow at once. A later one could bring back what is known
    // to be gone.
    const bool isFirst = !this->hasListed;
    const Freshness freshness = isFirst ? Freshness::MayBeOld : this->timing.freshness;
    const Result<ObjectSet> set = co_await this->source->list(this->kind, freshness);
    if (!isOk(set)) {
        this->noteFailure(errorOf(set));
        this->wasAway = this->wasAway || this->hasListed;
        co_return false;
    }
    this->noteSuccess();
    this->revision = valueOf(set).revision;
    this->needsList = false;
    if (this->onList)
        this->onList(valueOf(set), this->wasAway);
    this->hasListed = true;
    this->wasAway = false;
    this->mustCatchUp = isFirst;
    co_return true;
}

Awaitable<bool> KindWatcher::watchOnce()
{
    const TimePoint start = Clock::now();
    const Result<ChangeSet> result
        = co_await this->source->changes(this->kind, this->revision, this->timing.wait, this->timing.freshness);
    if (!isOk(result)) {
        this->needsList = true;
        if (errorOf(result).code == ResultCode::PlatformHistoryLost) {
            logInfo("store_history_lost", { { "kind", this->kind }, { "revision", this->revision } });
            co_return true;
        }
        this->wasAway = true;
        this->noteFailure(errorOf(result));
        co_return false;
    }
    this->noteSuccess();
    const ChangeSet& changes = valueOf(result);
    // An answer that is older than the wait allows was held up while the store was away; what it says was removed may
    // only have lapsed.
    if (Clock::now() - start > this->timing.wait + this->timing.answerAllowance / 2) {
        this->needsList = true;
        this->wasAway = true;
        co_return true;
    }
    this->revision = std::max(this->revision, changes.revision);
    if (!changes.changes.empty() && this->onChanges)
        this->onChanges(changes);
    co_return true;
}

Awaitable<void> KindWatcher::run()
{
    const auto self = this->shared_from_this();
    while (!this->stopped) {
        const bool succeeded = this->needsList ? co_await this->listOnce() : co_await this->watchOnce();
        Duration delay = this->timing.pace;
        if (!succeeded)
            delay = std::min<Duration>(backoffDelay(this->failures, this->random), this->timing.longestBackoff);
        else if (this->needsList || std::exchange(this->mustCatchUp, false))
            continue;
        this->pause.expires_after(delay);
        co_await this->pause.async_wait(useTuple);
    }
}

} // namespace clementinefall::platform
