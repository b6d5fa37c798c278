#include "platform/storerelay.h"

#include "base/durations.h"
#include "base/hash.h"
#include "base/log.h"
#include "http/target.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace clementinefall::platform {

namespace json = boost::json;

namespace {

/// Fractions of the bound for changes, see RelayTiming. The pause between two calls is a quarter of the bound.
constexpr double watcherWaitFraction = 0.15;
constexpr double followerWaitFraction = 0.2;
constexpr double responseAllowanceFraction = 0.12;
constexpr double freshnessFraction = 0.55;
constexpr double outageToleranceFraction = 0.6;

/// Time within which the instances of a fleet register that starts as a whole.
constexpr milliseconds registrationSpread { 300 };

/// Time after the start after which an instance that knows no other one counts itself as the only one.
constexpr milliseconds instancesLearnTime { 3500 };

/// Interval at which an instance that has just started checks whether it knows the instances of its zone.
constexpr milliseconds startCheckInterval { 100 };

/// Interval of the calls to watchers that have lost the store.
constexpr milliseconds outageCheckInterval { 100 };

/// Rate of the calls to one watcher. Calls beyond it come from an error and not from changes.
constexpr double watcherCallsPerSecond = 50;
constexpr double watcherBurstCalls = 100;

/// Other instances that one call asks at most.
constexpr std::size_t maximumOthersAsked = 3;

constexpr std::string_view pathPrefix = "/changes/";

std::optional<std::uint64_t> numberOf(const std::string& text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

http::Response textResponse(unsigned status, std::string_view text)
{
    http::Response response { static_cast<beast::http::status>(status), 11 };
    response.body() = text;
    return response;
}

/// The age is rounded up and the wait down, so that the knowledge never appears younger than it is.
std::string encodeChanges(std::uint64_t era, const LoggedChanges& changes, Duration age, Duration waited)
{
    return fmt::format(R"({{"era":{},"revision":{},"age_ms":{},"waited_ms":{},"changes":[{}]}})", era, changes.revision,
        std::chrono::ceil<milliseconds>(age).count(), std::chrono::floor<milliseconds>(waited).count(),
        fmt::join(changes.changes, ","));
}

} // namespace

RelayAssignment assignRelay(std::string_view zone, const std::string& self, std::vector<std::string> instances)
{
    RelayAssignment result;
    if (instances.size() <= maximumInstancesWithoutRelay) {
        result.role = RelayRole::Alone;
        return result;
    }
    const std::uint64_t seed = hash64(zone);
    std::sort(instances.begin(), instances.end(), [seed](const std::string& left, const std::string& right) {
        return std::pair(hash64(left, seed), left) < std::pair(hash64(right, seed), right);
    });
    result.role = instances[0] == self ? RelayRole::Watcher : RelayRole::Follower;
    for (std::size_t i = 0; i < 2 && instances[i] != self; ++i)
        result.watcherNames.push_back(instances[i]);
    return result;
}

bool isZoneKnown(const ZoneKnowledge& knowledge, TimePoint now)
{
    if (knowledge.othersInZone > 0)
        return true;
    const bool isFleetKnown
        = knowledge.fleetKnownAt != TimePoint {} && now - knowledge.fleetKnownAt >= registrationSpread;
    return isFleetKnown || now - knowledge.startedAt >= instancesLearnTime;
}

RelayTiming relayTiming(Duration changeBound)
{
    RelayTiming timing;
    timing.watcherWait = scaled(changeBound, watcherWaitFraction);
    timing.followerWait = scaled(changeBound, followerWaitFraction);
    timing.responseAllowance = scaled(changeBound, responseAllowanceFraction);
    timing.freshness = scaled(changeBound, freshnessFraction);
    timing.outageTolerance = scaled(changeBound, outageToleranceFraction);
    return timing;
}

StoreRelay::StoreRelay(asio::any_io_executor relayExecutor, std::string kind, RelayTiming relayTiming,
    std::shared_ptr<const StoreCurrency> storeCurrency)
    : executor(std::move(relayExecutor))
    , leadingKind(std::move(kind))
    , timing(relayTiming)
    , currency(std::move(storeCurrency))
{
}

void StoreRelay::restart(const std::string& kind, StorePosition position, bool afterOutage)
{
    restartChangeLog(this->kinds[kind].log, position, afterOutage);
    this->wake();
}

void StoreRelay::append(const std::string& kind, const ChangeSet& changes)
{
    appendChanges(this->kinds[kind].log, changes);
    this->wake();
}

void StoreRelay::setInSync(const std::string& kind, bool isInSync)
{
    this->kinds[kind].isInSync = isInSync;
    if (!isInSync)
        this->wake();
}

void StoreRelay::wake()
{
    for (const auto& weak : std::exchange(this->waiting, {})) {
        if (const auto timer = weak.lock())
            timer->cancel();
    }
}

bool StoreRelay::isFresh(const Call& call) const
{
    return call.kind->isInSync && call.kind->log.revision > 0 && this->age(call) < this->timing.freshness;
}

http::Response StoreRelay::response(const Call& call, Duration waited) const
{
    const Kind& kind = *call.kind;
    const StorePosition& after = call.after;
    if (!this->isFresh(call))
        return textResponse(503, "not in sync with the store");
    if (after.era > kind.log.era)
        return textResponse(503, "the restore of the store has not been seen here yet");
    const Duration age = this->age(call);
    if (after.era < kind.log.era)
        return http::jsonResponse(200, encodeChanges(kind.log.era, { kind.log.revision, {} }, age, waited));
    if (const std::optional<LoggedChanges> changes = changesAfter(kind.log, after.revision))
        return http::jsonResponse(200, encodeChanges(kind.log.era, *changes, age, waited));
    // Objects that are missing after an outage may still come back, which a follower must be told.
    return kind.log.restartedAfterOutage ? textResponse(503, "the changes were lost in an outage of the store")
                                         : textResponse(410, "the changes are no longer known");
}

Awaitable<void> StoreRelay::handle(std::shared_ptr<http::Exchange> exchange)
{
    const auto self = this->shared_from_this();
    const std::optional<Call> call = this->parseCall(std::string_view(exchange->header().target()));
    if (!call) {
        logWarning("relay_call_rejected",
            { { "target", std::string(exchange->header().target()) }, { "peer", exchange->peerAddress() } });
        http::Response malformed = textResponse(400, "unknown path or kind, or after or wait_ms is no number");
        co_await exchange->respond(std::move(malformed));
        co_return;
    }
    const Kind& kind = *call->kind;
    const TimePoint arrival = Clock::now();
    const TimePoint until = arrival + call->wait;
    while (Clock::now() < until) {
        if (!this->isFresh(*call) || kind.log.era != call->after.era || kind.log.revision > call->after.revision)
            break;
        // Not longer than this instance stays fresh, so that its followers learn in time that it has lost the store.
        const TimePoint freshUntil = Clock::now() + this->timing.freshness - this->age(*call);
        auto timer = std::make_shared<asio::steady_timer>(this->executor, std::min(until, freshUntil));
        std::erase_if(this->waiting, [](const auto& weak) { return weak.expired(); });
        this->waiting.push_back(timer);
        co_await timer->async_wait(useTuple);
    }
    http::Response response = this->response(*call, Clock::now() - arrival);
    co_await exchange->respond(std::move(response));
}

std::optional<StoreRelay::Call> StoreRelay::parseCall(std::string_view text) const
{
    const auto target = http::parseTarget(text);
    if (!target || !target->path.starts_with(pathPrefix))
        return std::nullopt;
    const auto kind = this->kinds.find(std::string_view(target->path).substr(pathPrefix.size()));
    const std::optional<std::uint64_t> after = numberOf(target->parameter("after"));
    const std::optional<std::uint64_t> waitMs = numberOf(target->parameter("wait_ms"));
    if (kind == this->kinds.end() || !after || !waitMs)
        return std::nullopt;
    // Instances of an older release send no era.
    const std::string eraText = target->parameter("era");
    const std::optional<std::uint64_t> era = eraText.empty() ? kind->second.log.era : numberOf(eraText);
    if (!era)
        return std::nullopt;
    const auto longest
        = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(this->timing.followerWait).count());
    return Call { .name = kind->first,
        .kind = &kind->second,
        .after = { *era, *after },
        .wait = milliseconds(std::min(*waitMs, longest)) };
}

RelayedSource::RelayedSource(asio::any_io_executor sourceExecutor, std::shared_ptr<ObjectSource> objectStore,
    std::shared_ptr<StoreRelay> storeRelay, RelayTiming relayTiming)
    : executor(std::move(sourceExecutor))
    , store(std::move(objectStore))
    , relay(std::move(storeRelay))
    , timing(relayTiming)
    , startedAt(Clock::now())
{
}

Awaitable<Result<ObjectSet>> RelayedSource::list(std::string kind, Freshness freshness)
{
    return this->store->list(std::move(kind), freshness);
}

void RelayedSource::dropConnections()
{
    for (const Watchers* known : { &this->watchers, &this->others }) {
        for (const auto& [address, watcher] : *known)
            watcher.transport->dropConnections();
    }
}

void RelayedSource::keepOnly(Watchers& known, const std::vector<HostPort>& addresses)
{
    std::erase_if(known, [&addresses](const auto& entry) {
        return std::none_of(addresses.begin(), addresses.end(),
            [&entry](const HostPort& address) { return address.text() == entry.first; });
    });
}

RelayedSource::Watcher& RelayedSource::watcherAt(Watchers& known, const HostPort& address)
{
    Watcher& watcher = known[address.text()];
    if (!watcher.transport) {
        watcher.transport = std::make_shared<Transport>(
            this->executor, TransportSettings { address, watcherCallsPerSecond, watcherBurstCalls });
    }
    return watcher;
}

Awaitable<Result<ChangeSet>> RelayedSource::changes(
    std::string kind, StorePosition position, milliseconds wait, Freshness freshness)
{
    const auto self = this->shared_from_this();
    RelayAssignment assigned = this->assignment();
    while (assigned.role == RelayRole::Unknown && Clock::now() - this->startedAt < this->timing.startDelay) {
        asio::steady_timer timer(this->executor, startCheckInterval);
        co_await timer.async_wait(useTuple);
        assigned = this->assignment();
    }
    if (assigned.role != RelayRole::Follower) {
        // Short calls for one kind are enough to know whether the store can be reached.
        const bool hasDependents
            = assigned.role == RelayRole::Watcher || (this->provesForOthers && this->provesForOthers());
        const bool mustStayFresh = hasDependents && this->relay->isLeading(kind);
        const milliseconds watcherWait = std::chrono::duration_cast<milliseconds>(this->timing.watcherWait);
        co_return co_await this->askStoreOrOthers(
            kind, position, mustStayFresh ? std::min(wait, watcherWait) : wait, freshness);
    }
    const milliseconds followerWait = std::chrono::duration_cast<milliseconds>(this->timing.followerWait);
    const TimePoint giveUpAt = Clock::now() + this->timing.outageTolerance;
    while (true) {
        // The assignment may have changed during the waits.
        assigned = this->assignment();
        const Result<ChangeSet> relayed = co_await this->askWatchers(assigned.watchers, kind, position);
        if (isOk(relayed) || errorOf(relayed).code == ResultCode::PlatformHistoryLost)
            co_return relayed;
        const bool isOutage = errorOf(relayed).code == ResultCode::PlatformBadAnswer;
        std::optional<Error> lastOwn;
        if (!isOutage || !this->hasStoreJustFailed()) {
            const Result<ChangeSet> own
                = co_await this->askStore(kind, position, std::min(wait, followerWait), freshness);
            if (isOk(own) || errorOf(own).code == ResultCode::PlatformHistoryLost)
                co_return own;
            lastOwn = errorOf(own);
        }
        const Result<ChangeSet> known = co_await this->changesKnownElsewhere(kind, position);
        if (isOk(known))
            co_return known;
        if (lastOwn && !isOutage)
            co_return *lastOwn;
        // The store may serve another instance of the zone, which needs a moment to notice that the watcher is lost.
        if (Clock::now() >= giveUpAt)
            co_return makeError(
                ResultCode::PlatformUnreachable, "neither this instance nor a watcher reaches the store");
        asio::steady_timer timer(this->executor, outageCheckInterval);
        co_await timer.async_wait(useTuple);
    }
}

Awaitable<Result<ChangeSet>> RelayedSource::changesNow(std::string kind, StorePosition position, milliseconds timeout)
{
    const auto self = this->shared_from_this();
    if (this->hasStoreJustFailed()) {
        const Result<ChangeSet> known = co_await this->changesKnownElsewhere(kind, position);
        if (isOk(known))
            co_return known;
    }
    const Result<ChangeSet> own = co_await this->store->changesNow(kind, position, timeout);
    if (isOk(own) || errorOf(own).code == ResultCode::PlatformHistoryLost)
        co_return own;
    // One answer may be lost while the store serves this instance, so the next calls go to the store all the same.
    const Result<ChangeSet> known = co_await this->changesKnownElsewhere(kind, position);
    co_return isOk(known) ? known : own;
}

Awaitable<Result<ChangeSet>> RelayedSource::askStoreOrOthers(
    std::string kind, StorePosition position, milliseconds wait, Freshness freshness)
{
    // What others know is never stale, so it cannot take the place of a list that may be.
    const bool mayAskOthers = freshness == Freshness::Latest;
    const bool asksOthersFirst = mayAskOthers && this->hasStoreJustFailed();
    if (asksOthersFirst) {
        const Result<ChangeSet> known = co_await this->changesKnownElsewhere(kind, position);
        if (isOk(known))
            co_return known;
    }
    const Result<ChangeSet> own = co_await this->askStore(kind, position, wait, freshness);
    if (isOk(own) || !mayAskOthers || asksOthersFirst || errorOf(own).code == ResultCode::PlatformHistoryLost)
        co_return own;
    const Result<ChangeSet> known = co_await this->changesKnownElsewhere(kind, position);
    co_return isOk(known) ? known : own;
}

Awaitable<Result<ChangeSet>> RelayedSource::changesKnownElsewhere(std::string kind, StorePosition position)
{
    const auto self = this->shared_from_this();
    std::vector<HostPort> addresses = this->otherInstances ? this->otherInstances() : std::vector<HostPort> {};
    addresses.resize(std::min(addresses.size(), maximumOthersAsked));
    keepOnly(this->others, addresses);
    for (const HostPort& address : addresses) {
        if (Clock::now() < this->watcherAt(this->others, address).backoffUntil)
            continue;
        const std::shared_ptr<Transport> transport = this->watcherAt(this->others, address).transport;
        const Result<RelayedChanges> relayed = co_await this->askWatcher(transport, kind, position);
        const bool isUsed = isOk(relayed) && valueOf(relayed).age < this->timing.freshness
            && valueOf(relayed).changes.source == ProofSource::Watcher;
        if (this->onWatcherCall)
            this->onWatcherCall(isUsed);
        if (isUsed)
            co_return valueOf(relayed).changes;
        // One that is not in sync, or no longer knows the changes, says so at once. A silent one has taken its time.
        const bool isSilent = !isOk(relayed) && errorOf(relayed).code != ResultCode::PlatformBadAnswer
            && errorOf(relayed).code != ResultCode::PlatformHistoryLost;
        if (isSilent) {
            logInfo("instance_lost",
                { { "kind", kind }, { "address", address.text() }, { "why", errorOf(relayed).text() } });
            this->watcherAt(this->others, address).backoffUntil = Clock::now() + this->timing.watcherBackoff;
        }
    }
    co_return makeError(ResultCode::PlatformUnreachable, "no other instance knows the changes");
}

Awaitable<Result<ChangeSet>> RelayedSource::askWatchers(
    std::vector<HostPort> addresses, std::string kind, StorePosition position)
{
    Error last = makeError(ResultCode::PlatformUnreachable, "no watcher of the zone responds");
    keepOnly(this->watchers, addresses);
    for (const HostPort& address : addresses) {
        if (Clock::now() < this->watcherAt(this->watchers, address).backoffUntil)
            continue;
        const std::shared_ptr<Transport> transport = this->watcherAt(this->watchers, address).transport;
        const Result<RelayedChanges> relayed = co_await this->askWatcher(transport, kind, position);
        const bool isUsed = isOk(relayed) && valueOf(relayed).age < this->timing.freshness;
        if (this->onWatcherCall)
            this->onWatcherCall(isUsed);
        if (isUsed)
            co_return valueOf(relayed).changes;
        last = isOk(relayed) ? makeError(ResultCode::PlatformBadAnswer, "the watcher has lost the store")
                             : errorOf(relayed);
        if (last.code == ResultCode::PlatformHistoryLost)
            co_return last;
        // A watcher that has lost the store says so at once, and the store may serve the next instance. A silent
        // watcher has taken the time that was left.
        if (last.code != ResultCode::PlatformBadAnswer) {
            logInfo("watcher_lost", { { "kind", kind }, { "why", last.text() } });
            this->watcherAt(this->watchers, address).backoffUntil = Clock::now() + this->timing.watcherBackoff;
            break;
        }
    }
    co_return last;
}

Awaitable<Result<ChangeSet>> RelayedSource::askStore(
    std::string kind, StorePosition position, milliseconds wait, Freshness freshness)
{
    const Result<ChangeSet> result = co_await this->store->changes(kind, position, wait, freshness);
    const TimePoint now = Clock::now();
    if (!isOk(result) && errorOf(result).code != ResultCode::PlatformHistoryLost)
        this->storeFailedAt = now;
    co_return result;
}

Awaitable<Result<RelayedSource::RelayedChanges>> RelayedSource::askWatcher(
    std::shared_ptr<Transport> transport, std::string kind, StorePosition position)
{
    const milliseconds wait = std::chrono::duration_cast<milliseconds>(this->timing.followerWait);
    const milliseconds allowance = std::chrono::duration_cast<milliseconds>(this->timing.responseAllowance);
    const std::string target = fmt::format(
        "{}{}?after={}&era={}&wait_ms={}", pathPrefix, kind, position.revision, position.era, wait.count());
    http::Request request { http::Verb::get, target, 11 };
    const TimePoint start = Clock::now();
    const Result<http::Response> response = co_await transport->call(std::move(request), wait + allowance);
    if (!isOk(response))
        co_return errorOf(response);
    const unsigned status = valueOf(response).result_int();
    if (status == 410)
        co_return makeError(ResultCode::PlatformHistoryLost, "the watcher no longer knows the changes");
    if (status != 200)
        co_return makeError(ResultCode::PlatformBadAnswer, "watcher: {}", valueOf(response).body());
    try {
        // Objects as deep as the store's may be stand a few levels deeper here.
        json::parse_options options;
        options.max_depth = 2 * options.max_depth;
        const json::value document = json::parse(valueOf(response).body(), {}, options);
        RelayedChanges result;
        result.age = milliseconds(document.at("age_ms").to_number<std::uint32_t>());
        const json::value* era = document.as_object().if_contains("era");
        result.changes.era = era == nullptr ? position.era : era->to_number<std::uint64_t>();
        result.changes.revision = document.at("revision").to_number<std::uint64_t>();
        for (const json::value& change : document.at("changes").as_array())
            result.changes.changes.push_back(decodeChange(change));
        // An older release states the age of another kind, which proves nothing of this one.
        if (const json::value* waited = document.as_object().if_contains("waited_ms")) {
            result.changes.asOf = start + milliseconds(waited->to_number<std::uint32_t>()) - result.age;
            result.changes.source = ProofSource::Watcher;
        }
        co_return result;
    } catch (const std::exception& error) {
        co_return makeError(ResultCode::PlatformUnreachable, "malformed changes of a watcher: {}", error.what());
    }
}

} // namespace clementinefall::platform
