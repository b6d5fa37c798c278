#include "http/server.h"
#include "platform/storerelay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace clementinefall;
using namespace clementinefall::platform;

namespace {

constexpr milliseconds changeBound { 1000 };
const std::string kind = "servers";

/// The store as one instance reaches it. All instances share its objects, but each can be cut off from it.
struct FakeStore {
    ChangeLog log;
    std::vector<std::weak_ptr<asio::steady_timer>> waiting;

    FakeStore() { restartChangeLog(this->log, { 0, 10 }, false); }

    /// Goes back to a copy: the revisions are given out again.
    void restore(std::uint64_t revision)
    {
        restartChangeLog(this->log, { this->log.era + 1, revision }, false);
        this->wake();
    }

    void remove(const std::string& name)
    {
        StoredObject object { .name = name, .revision = this->log.revision + 1, .content = {} };
        appendChanges(this->log,
            { .era = this->log.era,
                .revision = object.revision,
                .changes = { { .object = std::move(object), .isRemoved = true } } });
        this->wake();
    }

    void wake()
    {
        for (const auto& weak : std::exchange(this->waiting, {})) {
            if (const auto timer = weak.lock())
                timer->cancel();
        }
    }
};

class StoreAccess : public ObjectSource {
public:
    StoreAccess(asio::io_context& accessContext, FakeStore& fakeStore)
        : context(accessContext)
        , store(fakeStore)
    {
    }

    Awaitable<Result<ObjectSet>> list(std::string, Freshness) override
    {
        ++this->lists;
        if (this->isCut)
            co_return makeError(ResultCode::PlatformUnreachable, "cut off");
        co_return ObjectSet {
            .era = this->store.log.era, .revision = this->store.log.revision, .objects = {}, .asOf = Clock::now()
        };
    }

    Awaitable<Result<ChangeSet>> changes(std::string, StorePosition position, milliseconds wait, Freshness) override
    {
        ++this->watches;
        this->lastWait = wait;
        const TimePoint until = Clock::now() + wait;
        if (!this->isCut && this->store.log.era == position.era && this->store.log.revision <= position.revision) {
            auto timer = std::make_shared<asio::steady_timer>(this->context, until);
            this->store.waiting.push_back(timer);
            co_await timer->async_wait(useTuple);
        }
        if (this->isCut)
            co_return makeError(ResultCode::PlatformUnreachable, "cut off");
        if (this->store.log.era != position.era)
            co_return ChangeSet { .era = this->store.log.era, .revision = this->store.log.revision, .changes = {} };
        const auto result = changesAfter(this->store.log, position.revision);
        if (!result)
            co_return makeError(ResultCode::PlatformHistoryLost, "history lost");
        ChangeSet set { .era = position.era,
            .revision = result->revision,
            .changes = {},
            .asOf = Clock::now(),
            .source = ProofSource::Store };
        for (const std::string& text : result->changes)
            set.changes.push_back(decodeChange(boost::json::parse(text)));
        co_return set;
    }

    Awaitable<Result<ChangeSet>> changesNow(std::string kindName, StorePosition position, milliseconds) override
    {
        return this->changes(std::move(kindName), position, milliseconds(1), Freshness::Latest);
    }

    asio::io_context& context;
    FakeStore& store;
    bool isCut = false;
    unsigned lists = 0;
    unsigned watches = 0;
    milliseconds lastWait {};
};

/// An entry instance: follows the store by its assignment and serves its followers.
class Instance {
public:
    Instance(asio::io_context& context, FakeStore& store, RelayRole role, std::vector<HostPort> watchers = {})
        : access(std::make_shared<StoreAccess>(context, store))
        , currency(std::make_shared<StoreCurrency>())
        , relay(std::make_shared<StoreRelay>(context.get_executor(), kind, relayTiming(changeBound), this->currency))
        , source(std::make_shared<RelayedSource>(
              context.get_executor(), this->access, this->relay, relayTiming(changeBound)))
        , assignment { role, {}, std::move(watchers) }
    {
        this->server
            = std::make_shared<http::Server>(std::vector<asio::io_context*> { &context }, http::ServerLimits {},
                [this](std::shared_ptr<http::Exchange> exchange) { return this->handle(std::move(exchange)); });
        REQUIRE(isOk(this->server->listen({ "127.0.0.1", 0 })));
        this->source->assignment = [this] { return this->assignment; };
        WatchOptions options;
        options.minimumInterval = changeBound / 4;
        this->watcher = std::make_shared<KindWatcher>(context.get_executor(), this->source, kind, options);
        this->watcher->onList = [this](const ObjectSet& set, const ListCircumstances& circumstances) {
            this->listsAfterOutage += circumstances.isAfterOutage ? 1 : 0;
            this->revision = set.revision;
            this->listedAt = { set.era, set.revision };
            recordList(*this->currency, kind, set);
            this->relay->restart(kind, { set.era, set.revision }, circumstances.isAfterOutage);
        };
        this->watcher->onChanges = [this](const ChangeSet& changes) {
            CHECK(changes.revision > this->revision);
            this->revision = changes.revision;
            for (const ObjectChange& change : changes.changes)
                this->removed.insert(change.object.name);
            this->relay->append(kind, changes);
        };
        this->watcher->onAnswer = [this](const ChangeSet& changes, std::uint64_t knownBefore) {
            recordChanges(*this->currency, kind, changes, knownBefore);
        };
        this->watcher->onCall = [this](bool succeeded) { this->relay->setInSync(kind, succeeded); };
        this->watcher->start();
    }

    HostPort address() const { return { "127.0.0.1", this->server->port() }; }

    void forgetProofs()
    {
        platform::forgetProofs(*this->currency);
        this->relay->wake();
    }

    std::shared_ptr<StoreAccess> access;
    std::shared_ptr<StoreCurrency> currency;
    std::shared_ptr<StoreRelay> relay;
    std::shared_ptr<RelayedSource> source;
    std::shared_ptr<KindWatcher> watcher;
    std::shared_ptr<http::Server> server;
    RelayAssignment assignment;
    std::set<std::string> removed; ///< By changes; a list after the removal shows it, too.
    StorePosition listedAt;
    std::uint64_t revision = 0;
    unsigned listsAfterOutage = 0;
    bool isFrozen = false; ///< Accepts calls and never responds; calls under way still end.
    unsigned callsUnderWay = 0;

private:
    Awaitable<void> handle(std::shared_ptr<http::Exchange> exchange)
    {
        if (this->isFrozen) {
            asio::steady_timer timer(exchange->executor(), seconds(60));
            co_await timer.async_wait(useTuple);
            co_return;
        }
        ++this->callsUnderWay;
        co_await this->relay->handle(exchange);
        --this->callsUnderWay;
    }
};

} // namespace

TEST_CASE("The watcher of a zone")
{
    std::vector<std::string> names;
    names.reserve(20);
    for (int i = 0; i < 20; ++i)
        names.push_back("instance-" + std::to_string(i));
    std::vector<std::string> watchers;
    for (const std::string& name : names) {
        if (assignRelay("zone-a", name, names).role == RelayRole::Watcher)
            watchers.push_back(name);
    }
    REQUIRE(watchers.size() == 1);

    SECTION("is asked first by all the others, and the second instance asks only the watcher")
    {
        unsigned askOnlyWatcher = 0;
        for (const std::string& name : names) {
            const RelayAssignment assignment = assignRelay("zone-a", name, names);
            if (name == watchers[0]) {
                CHECK(assignment.watcherNames.empty());
                continue;
            }
            REQUIRE_FALSE(assignment.watcherNames.empty());
            CHECK(assignment.watcherNames[0] == watchers[0]);
            askOnlyWatcher += assignment.watcherNames.size() == 1 ? 1 : 0;
        }
        CHECK(askOnlyWatcher == 1);
    }
    SECTION("is the same whatever order the instances are known in")
    {
        std::reverse(names.begin(), names.end());
        CHECK(assignRelay("zone-a", watchers[0], names).role == RelayRole::Watcher);
    }
    SECTION("stays when another instance leaves")
    {
        std::erase_if(names, [&](const auto& name) { return name != watchers[0] && name.ends_with("3"); });
        CHECK(assignRelay("zone-a", watchers[0], names).role == RelayRole::Watcher);
    }
    SECTION("is missing in a small zone, where each instance watches the store itself")
    {
        names.resize(2);
        CHECK(assignRelay("zone-a", names[0], names).role == RelayRole::Alone);
        CHECK(assignRelay("zone-a", names[1], names).role == RelayRole::Alone);
    }
}

TEST_CASE("An instance that has just started chooses its part")
{
    const TimePoint start { seconds(1000) };
    ZoneKnowledge knowledge { .startedAt = start };

    SECTION("soon after a restart when it is the only one of its zone, so that its callers do not wait")
    {
        knowledge.fleetKnownAt = start + milliseconds(200);
        CHECK_FALSE(isZoneKnown(knowledge, start + milliseconds(300)));
        CHECK(isZoneKnown(knowledge, start + milliseconds(500)));
    }
    SECTION("at once when it knows another instance of its zone")
    {
        knowledge.othersInZone = 1;
        CHECK(isZoneKnown(knowledge, start));
    }
    SECTION("after a few seconds when it is the only one of the fleet")
    {
        CHECK_FALSE(isZoneKnown(knowledge, start + seconds(2)));
        CHECK(isZoneKnown(knowledge, start + seconds(4)));
    }
}

TEST_CASE("Following the store through the watchers of the zone")
{
    // The time bounds are those of the platform, scaled down: a server must be known to have left within changeBound.
    asio::io_context context { 1 };
    FakeStore store;
    Instance first(context, store, RelayRole::Watcher);
    Instance second(context, store, RelayRole::Follower, { first.address() });
    Instance follower(context, store, RelayRole::Follower, { first.address(), second.address() });
    context.run_for(changeBound);
    REQUIRE(follower.revision == 10);
    const unsigned watchesBefore = follower.access->watches;
    unsigned usedResponses = 0;
    follower.source->onWatcherCall = [&](bool isUsed) { usedResponses += isUsed ? 1 : 0; };

    const auto knowsRemovalInTime = [&] {
        store.remove("server-1");
        const StorePosition removal { store.log.era, store.log.revision };
        const auto isKnown = [&] {
            return follower.removed.contains("server-1")
                || (follower.listedAt.era == removal.era && follower.listedAt.revision >= removal.revision);
        };
        const TimePoint start = Clock::now();
        while (Clock::now() - start < changeBound && !isKnown())
            context.run_one_for(milliseconds(10));
        return isKnown();
    };

    SECTION("a follower knows of a change in time, without a call to the store")
    {
        CHECK(knowsRemovalInTime());
        CHECK(follower.access->watches == watchesBefore);
        CHECK(second.access->watches <= 1);
    }
    SECTION("the watcher asks with short calls for one kind only, which shows whether it reaches the store")
    {
        context.run_for(milliseconds(200));
        CHECK(first.access->lastWait <= changeBound / 5);
        const milliseconds longWait { 20'000 };
        asio::co_spawn(
            context,
            [&first, longWait]() -> Awaitable<void> {
                const auto source = first.source;
                co_await source->changes("configurations", { 0, 10 }, longWait, Freshness::Latest);
            },
            asio::detached);
        context.poll();
        CHECK(first.access->lastWait == longWait);
        store.remove("server-9");
        context.run_for(milliseconds(10));
    }
    SECTION("also when its watcher has just been killed")
    {
        first.server->close();
        first.access->isCut = true;
        CHECK(knowsRemovalInTime());
    }
    SECTION("also when its watcher has just been frozen")
    {
        first.isFrozen = true;
        CHECK(knowsRemovalInTime());
    }
    SECTION("also when the first two instances have just been frozen")
    {
        // A call under way would still be answered, and the store would not be needed.
        while (first.callsUnderWay + second.callsUnderWay > 0)
            context.run_one();
        first.isFrozen = true;
        second.isFrozen = true;
        CHECK(knowsRemovalInTime());
        CHECK(follower.access->watches > watchesBefore);
    }
    SECTION("a store that was restored from a copy")
    {
        for (unsigned i = 1; i <= 8; ++i)
            store.remove("before-" + std::to_string(i));
        context.run_for(changeBound);
        REQUIRE(follower.revision == 18);
        store.restore(12);

        SECTION("hides no change from a follower that was ahead of its watcher")
        {
            context.run_for(changeBound);
            CHECK(knowsRemovalInTime());
            CHECK(follower.listsAfterOutage == 1);
            CHECK(second.listsAfterOutage == 1);
        }
        SECTION("and hides none when the new revisions pass the old ones before anyone asks")
        {
            for (unsigned i = 1; i <= 9; ++i)
                store.remove("after-" + std::to_string(i));
            CHECK(knowsRemovalInTime());
            CHECK(follower.listsAfterOutage == 1);
        }
        SECTION("and makes no instance serve what it knew before as current")
        {
            for (Instance* instance : { &first, &second, &follower })
                instance->watcher->stop();
            context.run_for(2 * changeBound);
            const unsigned responses = usedResponses;
            const auto ask = [&](Instance& instance, StorePosition position) {
                asio::co_spawn(
                    context,
                    [source = instance.source, position]() -> Awaitable<void> {
                        co_await source->changes(kind, position, milliseconds(1), Freshness::Latest);
                    },
                    asio::detached);
                context.run_for(milliseconds(100));
            };
            store.restore(11);
            second.assignment = { RelayRole::Alone, {}, {} };
            ask(second, second.listedAt);
            follower.assignment.watchers = { second.address() };
            ask(follower, second.listedAt);
            CHECK(usedResponses == responses);
        }
        SECTION("and goes back again, while the watcher is cut off")
        {
            context.run_for(changeBound);
            first.access->isCut = true;
            store.restore(11);
            CHECK(knowsRemovalInTime());
            CHECK(follower.listsAfterOutage >= 2);
        }
    }
    SECTION("a watcher that was paused is not used before it has asked the store anew")
    {
        const unsigned responses = usedResponses;
        first.forgetProofs();
        second.forgetProofs();
        first.access->isCut = true;
        second.access->isCut = true;
        CHECK(knowsRemovalInTime());
        CHECK(usedResponses == responses);
    }
    SECTION("also when its watcher has just lost the store")
    {
        first.access->isCut = true;
        CHECK(knowsRemovalInTime());
    }
    SECTION("also when it is itself cut off from the store, as long as the watcher is not")
    {
        follower.access->isCut = true;
        CHECK(knowsRemovalInTime());
        CHECK(follower.listsAfterOutage == 0);
    }
    SECTION("also when the store turns away both the watcher and the follower, but not the second instance")
    {
        first.access->isCut = true;
        follower.access->isCut = true;
        context.run_for(2 * changeBound);
        CHECK(knowsRemovalInTime());
    }
    SECTION("an outage of the store is an outage for followers, so that missing objects may still come back")
    {
        for (Instance* instance : { &first, &second, &follower })
            instance->access->isCut = true;
        context.run_for(2 * changeBound);
        const unsigned callsDuringOutage = follower.access->watches + follower.access->lists;
        for (Instance* instance : { &first, &second, &follower })
            instance->access->isCut = false;
        context.run_for(2 * changeBound);
        CHECK(follower.listsAfterOutage == 1);
        CHECK(callsDuringOutage > 0);
        CHECK(knowsRemovalInTime());
    }
    SECTION("a follower that knows more than its watcher never goes back")
    {
        store.remove("server-0");
        context.run_for(changeBound);
        const std::uint64_t known = follower.revision;
        REQUIRE(known > 10);
        // onChanges checks that revisions rise.
        first.relay->restart(kind, { 0, 5 }, false);
        context.run_for(changeBound / 2);
        CHECK(follower.revision == known);
        CHECK(knowsRemovalInTime());
    }
}

TEST_CASE("An instance that the store turns away, while it serves others")
{
    // Guards against requests to servers of zones that are evacuated or taken back meanwhile: what the store tells the
    // others must reach this instance too.
    asio::io_context context { 1 };
    FakeStore store;
    Instance reaching(context, store, RelayRole::Watcher);
    Instance another(context, store, RelayRole::Watcher);
    Instance turnedAway(context, store, RelayRole::Alone);
    std::vector<HostPort> known { reaching.address(), another.address() };
    turnedAway.source->otherInstances = [&known] { return known; };
    context.run_for(changeBound);
    REQUIRE(turnedAway.revision == 10);
    const auto knowsRemovalInTime = [&](const std::string& name) {
        store.remove(name);
        const TimePoint start = Clock::now();
        while (Clock::now() - start < changeBound && !turnedAway.removed.contains(name))
            context.run_one_for(milliseconds(10));
        return turnedAway.removed.contains(name);
    };
    turnedAway.access->isCut = true;
    store.wake();

    SECTION("knows of changes in time, and of all of them when the store serves it again")
    {
        const unsigned watchesBefore = turnedAway.access->watches;
        const TimePoint start = Clock::now();
        for (int i = 0; i < 5; ++i) {
            CHECK(knowsRemovalInTime("server-" + std::to_string(i)));
            context.run_for(changeBound / 2);
        }
        const auto retries = static_cast<unsigned>((Clock::now() - start) / relayTiming(changeBound).outageRetryDelay);
        CHECK(turnedAway.access->watches - watchesBefore <= retries + 2);
        turnedAway.access->isCut = false;
        const unsigned watchesUntilReturn = turnedAway.access->watches;
        context.run_for(2 * changeBound);
        known.clear();
        CHECK(knowsRemovalInTime("server-9"));
        CHECK(turnedAway.access->watches > watchesUntilReturn);
        CHECK(turnedAway.listsAfterOutage == 0);
    }
    SECTION("also when it has found nobody at first, and tries to list the objects")
    {
        known.clear();
        context.run_for(2 * changeBound);
        REQUIRE(turnedAway.access->lists > 1);
        store.remove("server-0");
        known = { reaching.address() };
        context.run_for(changeBound);
        CHECK(turnedAway.removed.contains("server-0"));
        CHECK(knowsRemovalInTime("server-1"));
        CHECK(turnedAway.listsAfterOutage == 0);
    }
    SECTION("also when the first one that it asks has lost the store")
    {
        reaching.access->isCut = true;
        store.wake();
        context.run_for(changeBound);
        CHECK(knowsRemovalInTime("server-0"));
    }
    SECTION("also when the first one that it asks has just been frozen")
    {
        while (reaching.callsUnderWay > 0)
            context.run_one();
        reaching.isFrozen = true;
        CHECK(knowsRemovalInTime("server-0"));
    }
    SECTION("takes the loss of the store by all for an outage, so that missing objects may still come back")
    {
        reaching.access->isCut = true;
        another.access->isCut = true;
        store.wake();
        context.run_for(2 * changeBound);
        for (Instance* instance : { &reaching, &another, &turnedAway })
            instance->access->isCut = false;
        context.run_for(2 * changeBound);
        CHECK(turnedAway.listsAfterOutage == 1);
        CHECK(knowsRemovalInTime("server-0"));
    }
    SECTION("lists the objects anew when the store was restored meanwhile")
    {
        store.remove("server-0");
        context.run_for(changeBound);
        store.restore(10);
        context.run_for(2 * changeBound);
        turnedAway.access->isCut = false;
        context.run_for(2 * changeBound);
        CHECK(turnedAway.listedAt.era == store.log.era);
        CHECK(knowsRemovalInTime("server-1"));
    }
}

TEST_CASE("A watcher whose knowledge of one kind is old")
{
    asio::io_context context { 1 };
    const auto currency = std::make_shared<StoreCurrency>();
    const auto relay = std::make_shared<StoreRelay>(context.get_executor(), kind, relayTiming(changeBound), currency);
    const auto server
        = std::make_shared<http::Server>(std::vector<asio::io_context*> { &context }, http::ServerLimits {},
            [relay](std::shared_ptr<http::Exchange> exchange) { return relay->handle(std::move(exchange)); });
    REQUIRE(isOk(server->listen({ "127.0.0.1", 0 })));
    const TimePoint start = Clock::now();
    for (const char* name : { "servers", "config" }) {
        relay->setInSync(name, true);
        relay->restart(name, { 1, 10 }, false);
    }
    recordList(*currency, "servers", { .era = 1, .revision = 10, .objects = {}, .asOf = start });
    recordList(*currency, "config", { .era = 1, .revision = 10, .objects = {}, .asOf = start - changeBound });

    const auto transport = std::make_shared<Transport>(
        context.get_executor(), TransportSettings { { "127.0.0.1", server->port() }, 100, 100 });
    const auto statusOf = [&](const std::string& target) {
        unsigned status = 0;
        std::string body;
        asio::co_spawn(
            context,
            [&]() -> Awaitable<void> {
                http::Request request { http::Verb::get, target, 11 };
                const auto response = co_await transport->call(std::move(request), seconds(2));
                REQUIRE(isOk(response));
                status = valueOf(response).result_int();
                body = valueOf(response).body();
            },
            asio::detached);
        const TimePoint limit = Clock::now() + seconds(3);
        while (status == 0 && Clock::now() < limit)
            context.run_one_for(milliseconds(10));
        return std::pair(status, body);
    };

    SECTION("says that it is not in sync for this kind, although its calls for another kind succeed")
    {
        CHECK(statusOf("/changes/config?after=10&era=1&wait_ms=1").first == 503);
        CHECK(statusOf("/changes/servers?after=10&era=1&wait_ms=1").first == 200);
    }
    SECTION("states the age of the kind that was asked for")
    {
        recordStoreRevision(*currency, { 1, 10 }, start - changeBound / 4);
        const auto [status, body] = statusOf("/changes/config?after=10&era=1&wait_ms=1");
        REQUIRE(status == 200);
        CHECK(boost::json::parse(body).at("age_ms").to_number<unsigned>() >= 250);
    }
    server->close();
    context.run_for(milliseconds(20));
}
