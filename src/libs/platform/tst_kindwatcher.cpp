#include "platform/kindwatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <new>
#include <optional>
#include <utility>

using namespace clementinefall;
using namespace clementinefall::platform;

namespace {

/// A source that returns prepared results; once they are used up, calls wait until the test ends.
class ScriptedSource : public ObjectSource {
public:
    explicit ScriptedSource(asio::io_context& sourceContext)
        : context(sourceContext)
        , neverExpires(sourceContext, TimePoint::max())
    {
    }

    Awaitable<Result<ObjectSet>> list(std::string, Freshness freshness) override
    {
        this->listFreshness.push_back(freshness);
        ++this->listCalls;
        if (this->lists.empty()) {
            co_await this->neverExpires.async_wait(useTuple);
            co_return makeError(ResultCode::PlatformUnreachable, "over");
        }
        const Result<ObjectSet> result = this->lists.front();
        this->lists.pop_front();
        co_return result;
    }

    Awaitable<Result<ChangeSet>> changes(
        std::string, StorePosition position, milliseconds wait, Freshness freshness) override
    {
        CHECK(freshness == Freshness::Latest);
        this->revisions.push_back(position.revision);
        if (this->watches.empty()) {
            co_await this->neverExpires.async_wait(useTuple);
            if (this->lateAnswer)
                co_return *std::exchange(this->lateAnswer, std::nullopt);
            co_return makeError(ResultCode::PlatformUnreachable, "over");
        }
        if (this->respondsLate) {
            asio::steady_timer timer(this->context, wait + milliseconds(30));
            co_await timer.async_wait(useTuple);
            this->respondsLate = false;
        }
        const Result<ChangeSet> result = this->watches.front();
        this->watches.pop_front();
        co_return result;
    }

    Awaitable<Result<ChangeSet>> changesNow(std::string, StorePosition position, milliseconds) override
    {
        this->verifiedRevisions.push_back(position.revision);
        REQUIRE_FALSE(this->verifications.empty());
        const Result<ChangeSet> result = this->verifications.front();
        this->verifications.pop_front();
        co_return result;
    }

    asio::io_context& context;
    asio::steady_timer neverExpires;
    std::optional<ChangeSet> lateAnswer; ///< Of the call that has waited longest, once `neverExpires` is cancelled.
    std::deque<Result<ChangeSet>> verifications;
    std::vector<std::uint64_t> verifiedRevisions;
    std::deque<Result<ObjectSet>> lists;
    std::deque<Result<ChangeSet>> watches;
    std::vector<std::uint64_t> revisions;
    std::vector<Freshness> listFreshness;
    unsigned listCalls = 0;
    bool respondsLate = false; ///< Delays the next watch beyond its wait.
};

ObjectSet emptySetAt(std::uint64_t revision, std::uint64_t era = 0)
{
    return { .era = era, .revision = revision, .objects = {} };
}

ChangeSet removalOf(const std::string& name, std::uint64_t revision)
{
    return { .era = 0,
        .revision = revision,
        .changes = { { .object = { .name = name, .revision = revision, .content = {} }, .isRemoved = true } } };
}

} // namespace

TEST_CASE("Watching the objects of one kind")
{
    asio::io_context context { 1 };
    const auto source = std::make_shared<ScriptedSource>(context);
    WatchOptions options;
    options.minimumInterval = milliseconds(1);
    options.maximumBackoff = milliseconds(1);
    options.wait = milliseconds(10);
    options.responseAllowance = milliseconds(20);
    const auto watcher = std::make_shared<KindWatcher>(context.get_executor(), source, "servers", options);
    std::vector<bool> listsAfterOutage;
    std::vector<bool> listsAfterRestore;
    std::vector<std::string> removedNames;
    watcher->onList = [&](const ObjectSet&, const ListCircumstances& circumstances) {
        listsAfterOutage.push_back(circumstances.isAfterOutage);
        listsAfterRestore.push_back(circumstances.isAfterRestore);
    };
    watcher->onChanges = [&](const ChangeSet& changes) {
        for (const ObjectChange& change : changes.changes)
            removedNames.push_back(change.object.name);
    };
    const auto runScript = [&] {
        watcher->start();
        const TimePoint limit = Clock::now() + seconds(5);
        while (Clock::now() < limit && !(source->watches.empty() && source->lists.empty()))
            context.run_one_for(milliseconds(20));
        context.run_for(milliseconds(5));
        watcher->stop();
        source->neverExpires.cancel();
        context.run_for(milliseconds(20));
    };

    SECTION("no change between the list and the watch is missed: watching starts at the revision of the list")
    {
        source->lists = { emptySetAt(7) };
        source->watches = { removalOf("a", 9), ChangeSet { .era = 0, .revision = 12, .changes = {} } };
        runScript();
        CHECK(listsAfterOutage == std::vector<bool> { false });
        CHECK(removedNames == std::vector<std::string> { "a" });
        REQUIRE(source->revisions.size() >= 3);
        CHECK(source->revisions[0] == 7);
        CHECK(source->revisions[1] == 9);
        CHECK(source->revisions[2] == 12);
    }

    SECTION("an exception while changes are applied neither ends the watch nor loses them: a new list follows")
    {
        source->lists = { emptySetAt(7), emptySetAt(9) };
        source->watches = { removalOf("a", 9), removalOf("b", 10) };
        const auto record = watcher->onChanges;
        bool hasFailed = false;
        watcher->onChanges = [&](const ChangeSet& changes) {
            if (!std::exchange(hasFailed, true))
                throw std::bad_alloc();
            record(changes);
        };
        runScript();
        CHECK(source->listCalls == 2);
        CHECK(removedNames == std::vector<std::string> { "b" });
    }

    SECTION("a partial list is used and followed, and the list is tried again later, until it is whole")
    {
        // Guards against an instance that serves nothing as long as one page of the list has no usable end.
        WatchOptions brief = options;
        brief.partialListInterval = milliseconds(60);
        std::vector<bool> partialLists;
        bool isCurrent = false;
        const auto briefWatcher = std::make_shared<KindWatcher>(context.get_executor(), source, "servers", brief);
        briefWatcher->onList = [&](const ObjectSet&, const ListCircumstances& circumstances) {
            partialLists.push_back(circumstances.isPartial);
        };
        briefWatcher->onChanges = [&](const ChangeSet& changes) {
            for (const ObjectChange& change : changes.changes)
                removedNames.push_back(change.object.name);
        };
        briefWatcher->onCaughtUp = [&] { isCurrent = true; };
        ObjectSet partial = emptySetAt(7);
        partial.isPartial = true;
        source->lists = { partial, partial, emptySetAt(9) };
        source->watches = { removalOf("a", 8) };
        for (int i = 0; i < 2000; ++i)
            source->watches.emplace_back(ChangeSet { .era = 0, .revision = 8, .changes = {} });
        const TimePoint start = Clock::now();
        briefWatcher->start();
        while (partialLists.size() < 3 && Clock::now() < start + seconds(5))
            context.run_one_for(milliseconds(20));
        CHECK(Clock::now() - start >= 2 * brief.partialListInterval);
        CHECK(partialLists == std::vector<bool> { true, true, false });
        CHECK(removedNames == std::vector<std::string> { "a" });
        CHECK(isCurrent);
        context.run_for(4 * brief.partialListInterval);
        CHECK(source->listCalls == 3);
        briefWatcher->stop();
        source->neverExpires.cancel();
        context.run_for(milliseconds(20));
    }

    SECTION("changes since a stale first list are read without waiting for the minimum interval")
    {
        WatchOptions slow = options;
        slow.minimumInterval = seconds(2);
        const auto slowWatcher = std::make_shared<KindWatcher>(context.get_executor(), source, "servers", slow);
        source->lists = { emptySetAt(7) };
        slowWatcher->start();
        context.run_for(milliseconds(200));
        CHECK(source->revisions.size() == 1);
        slowWatcher->stop();
        source->neverExpires.cancel();
        context.run_for(milliseconds(20));
    }

    SECTION("the objects are not current before the changes since a stale first list were read")
    {
        // A process that has just restarted would otherwise use a server that left before.
        std::vector<std::string> events;
        watcher->onList = [&](const ObjectSet&, const ListCircumstances&) { events.emplace_back("list"); };
        watcher->onChanges = [&](const ChangeSet&) { events.emplace_back("changes"); };
        watcher->onCaughtUp = [&] { events.emplace_back("current"); };
        source->lists = { emptySetAt(7) };
        SECTION("by a watch")
        {
            source->watches = { removalOf("a", 9), removalOf("b", 10) };
            runScript();
            CHECK(events == std::vector<std::string> { "list", "changes", "current", "changes" });
        }
        SECTION("or by another list, when the watch fails")
        {
            source->lists.push_back(emptySetAt(20));
            source->watches = { makeError(ResultCode::PlatformTimeout, "silence") };
            runScript();
            CHECK(events == std::vector<std::string> { "list", "list", "current" });
        }
    }

    SECTION("a list whose parts were read at different revisions is no state until the changes between are replayed")
    {
        // Guards against a removal between the revisions of two pages: nobody saw it, and the server stayed in use.
        std::vector<std::string> names;
        TimePoint asOf;
        bool isCurrent = false;
        watcher->onList = [&](const ObjectSet& set, const ListCircumstances&) {
            names.clear();
            for (const StoredObject& object : set.objects)
                names.push_back(fmt::format("{}@{}", object.name, object.revision));
            asOf = set.asOf;
        };
        watcher->onCaughtUp = [&] { isCurrent = true; };
        const TimePoint answeredAt = Clock::now();
        const auto change = [](const std::string& name, std::uint64_t revision, bool isRemoved = false) {
            return ObjectChange { { .name = name, .revision = revision, .content = {} }, isRemoved };
        };
        const auto answer = [&](std::uint64_t revision, std::vector<ObjectChange> changes) {
            return ChangeSet { .era = 0,
                .revision = revision,
                .changes = std::move(changes),
                .asOf = answeredAt,
                .source = ProofSource::Store };
        };
        ObjectSet stale { .era = 0, .revision = 90, .objects = {}, .newestRevision = 100 };
        for (const auto& [name, revision] : { std::pair { "a", 80U }, { "b", 95U }, { "left", 70U } })
            stale.objects.push_back({ .name = name, .revision = revision, .content = {} });
        source->lists = { stale };

        SECTION("by one call")
        {
            source->verifications
                = { answer(102, { change("b", 92), change("left", 93, true), change("b", 95), change("c", 101) }) };
            runScript();
            CHECK(names == std::vector<std::string> { "a@80", "b@95", "c@101" });
            CHECK(source->verifiedRevisions == std::vector<std::uint64_t> { 90 });
            REQUIRE_FALSE(source->revisions.empty());
            CHECK(source->revisions[0] == 102);
            CHECK(isCurrent);
            CHECK(asOf == answeredAt);
        }
        SECTION("an object that is removed, added again and changed in between has its newest state")
        {
            source->verifications = { answer(103,
                { change("a", 91, true), change("a", 94), change("a", 99), change("left", 96, true),
                    change("left", 98) }) };
            runScript();
            CHECK(names == std::vector<std::string> { "b@95", "a@99", "left@98" });
        }
        SECTION("by several calls, when the store returns the changes in parts")
        {
            source->verifications
                = { answer(93, { change("left", 93, true) }), answer(100, { change("a", 97, true) }) };
            runScript();
            CHECK(names == std::vector<std::string> { "b@95" });
            CHECK(source->verifiedRevisions == std::vector<std::uint64_t> { 90, 93 });
        }
        SECTION("or it is listed again from the current state, when the history between was discarded")
        {
            source->verifications = { makeError(ResultCode::PlatformHistoryLost, "410") };
            source->lists.push_back(emptySetAt(105));
            runScript();
            CHECK(names.empty());
            CHECK(source->listFreshness == std::vector<Freshness> { Freshness::AllowStale, Freshness::Latest });
            CHECK(source->revisions[0] == 105);
        }
        SECTION("or when the store was restored in between")
        {
            source->verifications = { ChangeSet { .era = 1, .revision = 95, .changes = {} } };
            source->lists.push_back(emptySetAt(96, 1));
            runScript();
            CHECK(names.empty());
            CHECK(source->listFreshness.back() == Freshness::Latest);
        }
        SECTION("or when the answers never reach the newest part")
        {
            for (int i = 0; i < 8; ++i)
                source->verifications.push_back(answer(95, {}));
            source->lists.push_back(emptySetAt(105));
            runScript();
            CHECK(source->listCalls == 2);
            CHECK(source->revisions[0] == 105);
        }
    }

    SECTION("only the first list may be stale: a later stale list could bring back removed servers")
    {
        source->lists = { emptySetAt(7), emptySetAt(20), emptySetAt(30) };
        source->watches
            = { makeError(ResultCode::PlatformHistoryLost, "410"), makeError(ResultCode::PlatformTimeout, "silence") };
        runScript();
        REQUIRE(source->listFreshness.size() >= 3);
        CHECK(source->listFreshness[0] == Freshness::AllowStale);
        CHECK(source->listFreshness[1] == Freshness::Latest);
        CHECK(source->listFreshness[2] == Freshness::Latest);
    }

    SECTION("a store that was restored from a copy is listed again, also when its revisions have passed the known one")
    {
        const ChangeSet ofNextEra { .era = 1, .revision = 30, .changes = {} };
        bool isRestoreReported = false;
        watcher->onRestored = [&] { isRestoreReported = true; };
        source->lists = { emptySetAt(20), emptySetAt(31, 1) };
        SECTION("as a watch shows")
        {
            source->watches = { removalOf("a", 21), ofNextEra };
            runScript();
            REQUIRE(source->revisions.size() == 3);
            CHECK(source->revisions[2] == 31);
        }
        SECTION("as the list after an outage shows")
        {
            source->watches = { makeError(ResultCode::PlatformTimeout, "silence") };
            runScript();
        }
        SECTION("as the list after a lost history shows")
        {
            source->watches = { makeError(ResultCode::PlatformHistoryLost, "410") };
            runScript();
        }
        SECTION("and again when it goes back twice")
        {
            source->lists.push_back(emptySetAt(25, 2));
            source->watches = { ofNextEra, ChangeSet { .era = 2, .revision = 24, .changes = {} } };
            runScript();
            REQUIRE(listsAfterRestore.size() == 3);
            CHECK(listsAfterRestore[2]);
        }
        CHECK(isRestoreReported);
        REQUIRE(listsAfterRestore.size() >= 2);
        CHECK(!listsAfterRestore[0]);
        CHECK(listsAfterRestore[1]);
        CHECK(listsAfterOutage[1]);
    }

    SECTION("a stale response from before a restore is not mistaken for another restore")
    {
        source->lists = { emptySetAt(20, 1) };
        source->watches = { ChangeSet { .era = 0, .revision = 25, .changes = {} },
            ChangeSet { .era = 1, .revision = 22, .changes = {} } };
        runScript();
        CHECK(source->listFreshness.size() == 1);
        REQUIRE(source->revisions.size() == 3);
        CHECK(source->revisions[1] == 20);
        CHECK(source->revisions[2] == 22);
    }

    SECTION("a stale list from before a restore is not listed again and again")
    {
        source->lists = { emptySetAt(20), emptySetAt(22, 1) };
        source->watches = { ChangeSet { .era = 1, .revision = 21, .changes = {} } };
        runScript();
        REQUIRE(source->listFreshness.size() >= 2);
        CHECK(source->listFreshness[1] == Freshness::Latest);
    }

    SECTION("a discarded history leads to a new list that is not marked as after an outage")
    {
        source->lists = { emptySetAt(7), emptySetAt(20) };
        source->watches = { makeError(ResultCode::PlatformHistoryLost, "410") };
        runScript();
        CHECK(listsAfterOutage == std::vector<bool> { false, false });
        CHECK(source->revisions.back() == 20);
    }

    SECTION("a list after failed calls is marked, so that entries that expired in the outage can return")
    {
        source->lists = { emptySetAt(7), makeError(ResultCode::PlatformUnreachable, "503"), emptySetAt(20) };
        source->watches = { makeError(ResultCode::PlatformTimeout, "silence") };
        runScript();
        CHECK(listsAfterOutage == std::vector<bool> { false, true });
    }

    SECTION("removals in a response that an outage delayed are ignored")
    {
        source->lists = { emptySetAt(7), emptySetAt(20) };
        source->watches = { removalOf("a", 9) };
        source->respondsLate = true;
        runScript();
        CHECK(removedNames.empty());
        CHECK(listsAfterOutage == std::vector<bool> { false, true });
    }

    SECTION("while a watch waits whose answer was lost")
    {
        source->lists = { emptySetAt(7) };
        source->watches = { ChangeSet { .era = 0, .revision = 8, .changes = {} } };
        watcher->start();
        context.run_for(milliseconds(50));
        REQUIRE(source->revisions.back() == 8);
        const std::size_t watchesBefore = source->revisions.size();
        const auto verify = [&](Result<ChangeSet> answer) {
            source->verifications.push_back(std::move(answer));
            std::optional<bool> succeeded;
            asio::co_spawn(
                context, [&]() -> Awaitable<void> { succeeded = co_await watcher->verify(milliseconds(100)); },
                asio::detached);
            context.run_for(milliseconds(50));
            REQUIRE(succeeded);
            return *succeeded;
        };

        SECTION("a verification finds the changes, and the watch begins anew after them")
        {
            CHECK(verify(removalOf("a", 9)));
            CHECK(removedNames == std::vector<std::string> { "a" });
            REQUIRE(source->revisions.size() == watchesBefore + 1);
            CHECK(source->revisions.back() == 9);
        }
        SECTION("a verification that finds none leaves the watch alone")
        {
            CHECK(verify(ChangeSet { .era = 0, .revision = 8, .changes = {} }));
            CHECK(source->revisions.size() == watchesBefore);
        }
        SECTION("a verification that fails changes nothing")
        {
            CHECK_FALSE(verify(makeError(ResultCode::PlatformTimeout, "silence")));
            CHECK(source->revisions.size() == watchesBefore);
            CHECK(source->listCalls == 1);
        }
        SECTION("a verification that finds the history discarded leads to a new list")
        {
            source->lists = { emptySetAt(20) };
            CHECK(watcher->isVerifiable());
            CHECK(verify(makeError(ResultCode::PlatformHistoryLost, "410")));
            CHECK(source->listCalls == 2);
            CHECK(source->revisions.back() == 20);
        }
        SECTION("a verification that finds the store restored leads to a new list")
        {
            source->lists = { emptySetAt(5, 1) };
            CHECK(verify(ChangeSet { .era = 1, .revision = 5, .changes = {} }));
            REQUIRE(listsAfterRestore.size() == 2);
            CHECK(listsAfterRestore.back());
        }
        SECTION("its late answer is not applied over what a verification has found")
        {
            CHECK(verify(removalOf("a", 9)));
            source->lateAnswer = removalOf("a, removed again", 9);
            source->neverExpires.cancel();
            context.run_for(milliseconds(50));
            CHECK_FALSE(source->lateAnswer);
            CHECK(removedNames == std::vector<std::string> { "a" });
        }
        watcher->stop();
        source->neverExpires.cancel();
        context.run_for(milliseconds(20));
    }

    SECTION("a store that is unreachable at the start is called until it responds")
    {
        source->lists = { makeError(ResultCode::PlatformUnreachable, "refused"),
            makeError(ResultCode::PlatformUnreachable, "refused"), emptySetAt(3) };
        runScript();
        CHECK(source->listCalls >= 3);
        CHECK(listsAfterOutage == std::vector<bool> { false });
    }
}
