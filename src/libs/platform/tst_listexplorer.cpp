#include "base/log.h"
#include "platform/kindwatcher.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <optional>
#include <vector>

using namespace clementinefall;
using namespace clementinefall::platform;

/// Plays all short histories of a store whose lists come in pages, with each page read at any point of the history,
/// against an instance that follows it.
namespace {

constexpr std::size_t pages = 3; ///< With one object each.
constexpr std::uint64_t historyLength = 3;
const std::array<std::string, pages> names { "a", "b", "c" };

struct Step {
    std::size_t object = 0;
    bool isRemoval = false;
};
using History = std::array<Step, historyLength>;
using State = std::map<std::string, std::uint64_t>; ///< Revision by name.

enum class Defect : std::uint8_t {
    None,
    FirstPagePosition, ///< The revision of the first page stands for the whole list.
    NewestPagePosition,
};

struct Case {
    History history {};
    std::array<std::uint64_t, pages> readAt {}; ///< Revision at which each page is read.
    std::uint64_t discarded = 0; ///< Changes up to this revision are gone.
    bool answersInParts = false; ///< One change an answer.
    Defect defect = Defect::None;
};

/// Removing what does not exist changes nothing, and is no event.
State stateAt(const History& history, std::uint64_t revision)
{
    State state { { "a", 0 }, { "b", 0 }, { "c", 0 } };
    for (std::uint64_t i = 0; i < revision; ++i) {
        if (history[i].isRemoval)
            state.erase(names[history[i].object]);
        else
            state[names[history[i].object]] = i + 1;
    }
    return state;
}

class PagedSource : public ObjectSource {
public:
    PagedSource(asio::io_context& sourceContext, Case playedCase)
        : play(playedCase)
        , neverExpires(sourceContext, TimePoint::max())
    {
    }

    Awaitable<Result<ObjectSet>> list(std::string, Freshness freshness) override
    {
        const bool isStale = freshness == Freshness::AllowStale;
        ObjectSet set { .revision = historyLength, .objects = {} };
        for (std::size_t page = 0; page < pages; ++page) {
            const std::uint64_t readAt = isStale ? this->play.readAt[page] : historyLength;
            const State state = stateAt(this->play.history, readAt);
            if (const auto found = state.find(names[page]); found != state.end())
                set.objects.push_back({ .name = found->first, .revision = found->second, .content = {} });
            set.revision = std::min(set.revision, readAt);
            set.newestRevision = std::max(set.newestRevision, readAt);
        }
        if (isStale && this->play.defect != Defect::None) {
            set.revision
                = this->play.defect == Defect::NewestPagePosition ? set.newestRevision : this->play.readAt.front();
            set.newestRevision = set.revision;
        }
        co_return set;
    }

    Awaitable<Result<ChangeSet>> changes(std::string, StorePosition position, milliseconds, Freshness) override
    {
        if (position.revision >= historyLength) {
            this->isAtRest = true;
            co_await this->neverExpires.async_wait(useTuple);
        }
        co_return this->changesAfter(position.revision);
    }

    Awaitable<Result<ChangeSet>> changesNow(std::string, StorePosition position, milliseconds) override
    {
        co_return this->changesAfter(position.revision);
    }

    void end() { this->neverExpires.cancel(); }

    bool isAtRest = false; ///< A call waits for changes, and there are no more.

private:
    Result<ChangeSet> changesAfter(std::uint64_t revision) const
    {
        if (revision < this->play.discarded)
            return makeError(ResultCode::PlatformHistoryLost, "410");
        ChangeSet set { .revision = historyLength, .changes = {} };
        for (std::uint64_t i = revision; i < historyLength; ++i) {
            const Step& step = this->play.history[i];
            set.changes.push_back({ { .name = names[step.object], .revision = i + 1, .content = {} }, step.isRemoval });
            if (this->play.answersInParts) {
                set.revision = i + 1;
                break;
            }
        }
        return set;
    }

    Case play;
    asio::steady_timer neverExpires;
};

/// What is wrong in one play, if anything.
std::optional<std::string> playCase(const Case& play)
{
    asio::io_context context { 1 };
    const auto source = std::make_shared<PagedSource>(context, play);
    WatchOptions options;
    options.minimumInterval = milliseconds(0);
    const auto watcher = std::make_shared<KindWatcher>(context.get_executor(), source, "servers", options);
    ObjectSet known;
    std::optional<std::string> fault;
    const auto knownState = [&known] {
        State state;
        for (const StoredObject& object : known.objects)
            state[object.name] = object.revision;
        return state;
    };
    watcher->onList = [&](const ObjectSet& set, const ListCircumstances&) {
        known = set;
        if (knownState() != stateAt(play.history, set.revision) && !fault)
            fault = "the list is no state that the store ever had";
    };
    watcher->onChanges = [&](const ChangeSet& changes) { applyChanges(known, changes); };
    watcher->start();
    // A play that goes on forever must not keep the test.
    constexpr unsigned maximumHandlers = 1000;
    // A timer that is due may be reported a moment later, so that poll_one() would find nothing to do.
    constexpr milliseconds longestPause { 1000 };
    unsigned handlers = 0;
    while (!source->isAtRest && handlers < maximumHandlers && context.run_one_for(longestPause) > 0)
        ++handlers;
    if (handlers == maximumHandlers && !fault)
        fault = "the calls never come to rest";
    if (knownState() != stateAt(play.history, historyLength) && !fault)
        fault = "a change is never seen";
    watcher->stop();
    source->end();
    context.poll();
    return fault;
}

struct Exploration {
    std::size_t plays = 0;
    std::string fault; ///< Of the first play that has one.
};

Exploration explore(Defect defect)
{
    Exploration result;
    constexpr std::size_t stepKinds = 2 * pages;
    for (std::size_t histories = 0; histories < stepKinds * stepKinds * stepKinds; ++histories) {
        Case play { .defect = defect };
        std::size_t rest = histories;
        for (Step& step : play.history) {
            step = { .object = rest % pages, .isRemoval = rest / pages % 2 == 1 };
            rest /= stepKinds;
        }
        constexpr std::uint64_t points = historyLength + 1;
        for (std::uint64_t reads = 0; reads < points * points * points; ++reads) {
            play.readAt = { reads % points, reads / points % points, reads / points / points };
            for (std::uint64_t discarded = 0; discarded <= historyLength; ++discarded) {
                play.discarded = discarded;
                play.answersInParts = (histories + reads) % 2 == 1;
                ++result.plays;
                if (const auto fault = playCase(play)) {
                    result.fault = fmt::format("{}; history {}, pages read at {} {} {}, discarded {}", *fault,
                        histories, play.readAt[0], play.readAt[1], play.readAt[2], discarded);
                    return result;
                }
            }
        }
    }
    return result;
}

} // namespace

TEST_CASE("Following a store whose lists come in pages of any age, in all short histories")
{
    setLogLevel(LogLevel::Error);
    SECTION("each list that is used is a state of the store, and each change is seen")
    {
        const Exploration result = explore(Defect::None);
        INFO(result.fault);
        CHECK(result.fault.empty());
        CHECK(result.plays == 55'296);
    }
    SECTION("finds a position that is that of the first page")
    {
        CHECK_FALSE(explore(Defect::FirstPagePosition).fault.empty());
    }
    SECTION("finds a position that is that of the newest page")
    {
        CHECK_FALSE(explore(Defect::NewestPagePosition).fault.empty());
    }
    setLogLevel(LogLevel::Info);
}
