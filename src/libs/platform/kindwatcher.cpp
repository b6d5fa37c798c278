#include "platform/kindwatcher.h"

#include "base/log.h"
#include "http/spawn.h"
#include "platform/calllimiter.h"

#include <algorithm>
#include <utility>

namespace clementinefall::platform {

namespace {

/// Long-poll time of the first watch, which only reads the changes since a list that may be stale.
constexpr milliseconds catchUpWait { 1 };

/// Timeout of a call that completes a list.
constexpr milliseconds completionTimeout { 1500 };

/// Calls that complete one list. The store may return the changes in several parts.
constexpr unsigned maximumCompletionCalls = 8;

} // namespace

void applyChanges(ObjectSet& set, const ChangeSet& changes)
{
    for (const ObjectChange& change : changes.changes) {
        std::erase_if(set.objects, [&change](const StoredObject& object) { return object.name == change.object.name; });
        if (!change.isRemoved)
            set.objects.push_back(change.object);
    }
    set.revision = std::max(set.revision, changes.revision);
}

Awaitable<Result<ChangeSet>> ObjectSource::changesKnownElsewhere(std::string, StorePosition)
{
    co_return makeError(ResultCode::PlatformUnreachable, "nobody else is asked for changes");
}

KindWatcher::KindWatcher(asio::any_io_executor watcherExecutor, std::shared_ptr<ObjectSource> objectSource,
    std::string objectKind, WatchOptions watchOptions)
    : executor(std::move(watcherExecutor))
    , source(std::move(objectSource))
    , kind(std::move(objectKind))
    , options(watchOptions)
    , delayTimer(this->executor)
    , random(systemSeededRandom())
{
}

void KindWatcher::start()
{
    const auto self = this->shared_from_this();
    http::spawnLoop(this->executor, "watch", [self] { return self->run(); });
}

void KindWatcher::stop()
{
    this->isStopped = true;
    this->delayTimer.cancel();
    this->abandonCall();
}

void KindWatcher::recordFailure(const Error& error)
{
    if (this->failures++ == 0) {
        logWarning("dependency_lost",
            { { "dependency", "store" }, { "kind", this->kind }, { "revision", this->position.revision },
                { "why", error.text() } });
    }
    if (this->onCall)
        this->onCall(false);
}

void KindWatcher::recordSuccess()
{
    if (this->failures > 0) {
        logInfo("dependency_regained",
            { { "dependency", "store" }, { "kind", this->kind }, { "failures", this->failures } });
    }
    this->failures = 0;
    this->lastSuccessAt = Clock::now();
    if (this->onCall)
        this->onCall(true);
}

void KindWatcher::recordCaughtUp()
{
    if (std::exchange(this->hasCaughtUp, true))
        return;
    logInfo("store_caught_up", { { "kind", this->kind }, { "revision", this->position.revision } });
    if (this->onCaughtUp)
        this->onCaughtUp();
}

bool KindWatcher::detectRestore(std::uint64_t era)
{
    // A stale response may still be of an earlier era.
    if (!this->hasListed || era <= this->position.era)
        return false;
    if (!std::exchange(this->sinceLastList.isAfterRestore, true)) {
        logWarning("store_restored",
            { { "kind", this->kind }, { "era", era }, { "before", this->position.era },
                { "revision", this->position.revision } });
        if (this->onRestored)
            this->onRestored();
    }
    this->sinceLastList.isAfterOutage = true;
    this->needsList = true;
    this->isResumable = false;
    return true;
}

Awaitable<bool> KindWatcher::listOnce()
{
    // The first list may be stale, as the changes since its revision are read at once. A later stale list could bring
    // back objects whose removal was already seen.
    const bool isFirst = !this->hasListed;
    Freshness freshness = isFirst ? Freshness::AllowStale : this->options.freshness;
    // A stale list could be from before the restore, and the store would be found restored again.
    if (this->sinceLastList.isAfterRestore || this->mustListLatest)
        freshness = Freshness::Latest;
    Result<ObjectSet> set = co_await this->source->list(this->kind, freshness);
    const bool isInParts = isOk(set) && valueOf(set).newestRevision > valueOf(set).revision;
    if (isInParts) {
        const Status completed = co_await this->completeList(valueOf(set));
        this->mustListLatest = !isOk(completed);
        if (!isOk(completed) && errorOf(completed).code == ResultCode::PlatformHistoryLost) {
            logInfo("store_history_lost", { { "kind", this->kind }, { "revision", valueOf(set).revision } });
            co_return false;
        }
        if (!isOk(completed))
            set = errorOf(completed);
    }
    if (!isOk(set)) {
        this->recordFailure(errorOf(set));
        this->sinceLastList.isAfterOutage = this->sinceLastList.isAfterOutage || this->hasListed;
        co_return false;
    }
    this->recordSuccess();
    this->detectRestore(valueOf(set).era);
    this->position = { valueOf(set).era, valueOf(set).revision };
    this->sinceLastList.isPartial = valueOf(set).isPartial;
    // Without a usable end of the list, what is known is better than nothing, and changes add to it meanwhile.
    this->relistAt
        = valueOf(set).isPartial ? std::optional(Clock::now() + this->options.partialListInterval) : std::nullopt;
    if (this->onList)
        this->onList(valueOf(set), this->sinceLastList);
    this->needsList = false;
    this->isResumable = false;
    this->mustListLatest = false;
    this->hasListed = true;
    this->sinceLastList = {};
    const bool isCurrent = freshness == Freshness::Latest || isInParts;
    this->mustWatchAtOnce = isFirst && !isCurrent;
    if (isCurrent)
        this->recordCaughtUp();
    co_return true;
}

Awaitable<Status> KindWatcher::completeList(ObjectSet& set)
{
    const std::uint64_t oldest = set.revision;
    unsigned calls = 0;
    while (set.revision < set.newestRevision) {
        if (++calls > maximumCompletionCalls)
            co_return makeError(ResultCode::PlatformBadAnswer, "the changes end at revision {}, and the list at {}",
                set.revision, set.newestRevision);
        const StorePosition from { set.era, set.revision };
        const Result<ChangeSet> changes = co_await this->source->changesNow(this->kind, from, completionTimeout);
        if (!isOk(changes))
            co_return errorOf(changes);
        if (valueOf(changes).era != set.era)
            co_return makeError(ResultCode::PlatformUnreachable, "the store was restored after a list");
        platform::applyChanges(set, valueOf(changes));
        set.asOf = valueOf(changes).asOf;
    }
    logInfo("store_list_completed",
        { { "kind", this->kind }, { "oldest", oldest }, { "newest", set.newestRevision }, { "revision", set.revision },
            { "calls", calls } });
    co_return okStatus();
}

Awaitable<bool> KindWatcher::watchOnce()
{
    const TimePoint start = Clock::now();
    const milliseconds wait = this->hasCaughtUp ? this->options.wait : catchUpWait;
    const auto call = std::make_shared<PendingCall>(this->executor);
    this->pending = call;
    http::spawn(
        this->executor, "watch_call",
        [call, source = this->source, kind = this->kind, position = this->position, wait,
            freshness = this->options.freshness] {
            return KindWatcher::callSource(source, call, kind, position, wait, freshness);
        },
        [call] { call->end(); });
    co_await call->done.async_wait(useTuple);
    if (this->pending != call)
        co_return true;
    this->pending.reset();
    const Result<ChangeSet> result
        = call->result ? *call->result : makeError(ResultCode::PlatformUnreachable, "the call ended without a result");
    if (!isOk(result)) {
        this->needsList = true;
        if (errorOf(result).code == ResultCode::PlatformHistoryLost) {
            logInfo("store_history_lost", { { "kind", this->kind }, { "revision", this->position.revision } });
            co_return true;
        }
        this->sinceLastList.isAfterOutage = true;
        this->isResumable = this->hasCaughtUp && !this->relistAt;
        this->recordFailure(errorOf(result));
        co_return false;
    }
    this->recordSuccess();
    const ChangeSet& changes = valueOf(result);
    if (this->detectRestore(changes.era) || changes.era < this->position.era)
        co_return true;
    // A response of the store later than this was delayed by an outage. Objects that it reports as removed may only
    // have expired during the outage. Others answer only while they reach the store.
    const bool isLate = Clock::now() - start > this->options.wait + this->options.responseAllowance / 2;
    if (isLate && changes.source != ProofSource::Watcher) {
        this->needsList = true;
        this->sinceLastList.isAfterOutage = true;
        co_return true;
    }
    this->applyChanges(changes);
    this->recordCaughtUp();
    co_return true;
}

Awaitable<bool> KindWatcher::resumeOnce()
{
    const StorePosition before = this->position;
    const Result<ChangeSet> result = co_await this->source->changesKnownElsewhere(this->kind, before);
    if (this->isStopped || !isOk(result) || !this->isResumable || this->position != before)
        co_return false;
    const ChangeSet& changes = valueOf(result);
    if (this->detectRestore(changes.era) || changes.era < before.era)
        co_return false;
    logInfo("store_followed_elsewhere",
        { { "kind", this->kind }, { "revision", changes.revision }, { "before", before.revision } });
    this->isResumable = false;
    this->sinceLastList = {};
    this->recordSuccess();
    this->applyChanges(changes);
    co_return true;
}

void KindWatcher::applyChanges(const ChangeSet& changes)
{
    const std::uint64_t knownBefore = this->position.revision;
    this->position.revision = std::max(knownBefore, changes.revision);
    // Stays set when an exception ends the handler: what was not applied is in the next list.
    this->needsList = true;
    if (!changes.changes.empty() && this->onChanges)
        this->onChanges(changes);
    this->needsList = false;
    if (this->onAnswer)
        this->onAnswer(changes, knownBefore);
}

Awaitable<void> KindWatcher::callSource(std::shared_ptr<ObjectSource> source, std::shared_ptr<PendingCall> call,
    std::string kind, StorePosition position, milliseconds wait, Freshness freshness)
{
    call->result = co_await source->changes(std::move(kind), position, wait, freshness);
    call->end();
}

void KindWatcher::abandonCall()
{
    const auto call = std::exchange(this->pending, nullptr);
    if (call)
        call->end();
}

Awaitable<bool> KindWatcher::verify(milliseconds timeout)
{
    const auto self = this->shared_from_this();
    if (!this->isVerifiable())
        co_return true;
    const StorePosition before = this->position;
    const Result<ChangeSet> result = co_await this->source->changesNow(this->kind, before, timeout);
    if (this->isStopped || this->needsList || this->position != before)
        co_return isOk(result); // The objects were listed, or changes arrived, meanwhile.
    if (!isOk(result)) {
        if (errorOf(result).code != ResultCode::PlatformHistoryLost)
            co_return false;
        logInfo("store_history_lost", { { "kind", this->kind }, { "revision", before.revision } });
        this->needsList = true;
        this->abandonCall();
        co_return true;
    }
    const ChangeSet& changes = valueOf(result);
    if (this->detectRestore(changes.era)) {
        this->abandonCall();
        co_return true;
    }
    if (changes.era < before.era)
        co_return false;
    if (!changes.changes.empty()) {
        logInfo("missed_changes_found",
            { { "kind", this->kind }, { "revision", changes.revision }, { "before", before.revision },
                { "changes", changes.changes.size() } });
        this->abandonCall();
    }
    this->applyChanges(changes);
    co_return true;
}

Awaitable<void> KindWatcher::run()
{
    const auto self = this->shared_from_this();
    while (!this->isStopped) {
        this->needsList = this->needsList || (this->relistAt && Clock::now() >= *this->relistAt);
        bool succeeded = this->needsList ? co_await this->listOnce() : co_await this->watchOnce();
        if (!succeeded && this->needsList && this->isResumable && !this->isStopped)
            succeeded = co_await this->resumeOnce();
        Duration delay = this->options.minimumInterval;
        if (this->isStopped)
            break;
        if (!succeeded)
            delay = std::min<Duration>(backoffDelay(this->failures, this->random), this->options.maximumBackoff);
        else if (this->needsList || std::exchange(this->mustWatchAtOnce, false))
            continue;
        this->delayTimer.expires_after(delay);
        co_await this->delayTimer.async_wait(useTuple);
    }
}

} // namespace clementinefall::platform
