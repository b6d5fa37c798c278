#include "platform/storerelay.h"
#include "platform/verification.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <vector>

using namespace clementinefall;
using namespace clementinefall::platform;

/// Plays all orders of a few changes and faults against instances that follow the store, in steps of time. The
/// decisions are those of the library; calls and connections are modelled.
namespace {

constexpr Duration bound = milliseconds(2500);
constexpr Duration step = milliseconds(125);
constexpr int boundSteps = bound / step;
constexpr int horizon = 40; ///< Steps of one play.
constexpr int lastEventStep = 12; ///< Changes and faults happen up to here.

const std::array<std::string, 2> kinds { "config", "servers" };
constexpr std::size_t config = 0;
constexpr std::size_t servers = 1;

enum class Event : std::uint8_t {
    None,
    ChangeConfig,
    ChangeServers,
    LoseAnswer, ///< The next answer that tells the watcher of a change is lost, and its connection is silent.
    LoseVerification, ///< The same for the next verification of any instance.
    SilenceConfig, ///< The watcher's connection that waits for the configuration.
    SilenceServers,
    SilenceRelay, ///< The follower's connection to the watcher.
    StopWatcher, ///< It ends and starts anew a second later; the second instance takes its part.
    Restore, ///< The store goes back by one change, which is written again.
    DiscardHistory,
};

enum class Defect : std::uint8_t {
    None,
    SharedAge, ///< The age of one kind stands for all, and nothing is verified.
    NoVerification,
    YoungReports, ///< Reports count from their arrival.
    AnswersOnlyForward, ///< An answer of another era is compared by its revision.
};

struct Store {
    std::uint64_t era = 1;
    std::uint64_t revision = 100;
    std::array<std::vector<std::uint64_t>, 2> changes; ///< Revisions by kind.
    std::array<std::vector<int>, 2> changedAt; ///< Steps; a change that is written again counts anew.
    std::uint64_t discarded = 0;
};

struct Watch {
    int startedAt = 0;
    int pauseUntil = 0;
    bool isWaiting = false;
    bool isSilent = false;
    std::uint64_t after = 0;
    std::uint64_t era = 0;
};

struct Instance {
    StoreCurrency currency;
    std::array<Watch, 2> watches;
    std::array<VerificationState, 2> verification;
    int verifyingUntil = -1; ///< End of a verification that was lost.
    std::size_t verifying = 0;
    std::array<std::size_t, 2> knownChanges {}; ///< Number of the store's changes that are known.
    int startsAt = 0;
    int disturbedAt = -1000; ///< Its process stopped.
};

struct Violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Play {
public:
    Play(const std::vector<std::pair<int, Event>>& playEvents, Defect plantedDefect)
        : events(playEvents)
        , defect(plantedDefect)
    {
    }

    void run()
    {
        for (this->now = 0; this->now < horizon; ++this->now) {
            for (const auto& [at, event] : this->events) {
                if (at == this->now)
                    this->apply(event);
            }
            for (Instance* instance : { &this->watcher, &this->other, &this->follower })
                this->advance(*instance);
            for (Instance* instance : { &this->watcher, &this->other, &this->follower })
                this->check(*instance);
        }
    }

private:
    TimePoint time() const { return TimePoint { seconds(1000) } + this->now * step; }
    int stepOf(TimePoint at) const { return static_cast<int>((at - TimePoint { seconds(1000) }) / step); }

    void change(std::size_t kind)
    {
        this->store.changes[kind].push_back(++this->store.revision);
        this->store.changedAt[kind].push_back(this->now);
    }

    void apply(Event event)
    {
        switch (event) {
        case Event::None:
            break;
        case Event::ChangeConfig:
            this->change(config);
            break;
        case Event::ChangeServers:
            this->change(servers);
            break;
        case Event::LoseAnswer:
            this->losesAnswer = true;
            break;
        case Event::LoseVerification:
            this->losesVerification = true;
            break;
        case Event::SilenceConfig:
            this->watcher.watches[config].isSilent = this->watcher.watches[config].isWaiting;
            break;
        case Event::SilenceServers:
            this->watcher.watches[servers].isSilent = this->watcher.watches[servers].isWaiting;
            break;
        case Event::SilenceRelay:
            for (Watch& watch : this->follower.watches)
                watch.isSilent = watch.isWaiting;
            break;
        case Event::StopWatcher:
            this->watcher = {};
            this->watcher.startsAt = this->now + static_cast<int>(seconds(1) / step);
            this->watcher.disturbedAt = this->now;
            break;
        case Event::Restore:
            this->restore();
            break;
        case Event::DiscardHistory:
            this->store.discarded = this->store.revision;
            break;
        }
    }

    /// The newest change is undone and written again at a new revision.
    void restore()
    {
        ++this->store.era;
        this->store.revision = 100;
        for (std::size_t kind = 0; kind < 2; ++kind) {
            for (std::size_t i = 0; i < this->store.changes[kind].size(); ++i) {
                this->store.changes[kind][i] = ++this->store.revision;
                this->store.changedAt[kind][i] = this->now;
            }
        }
    }

    bool isWatcherAlive() const { return this->now >= this->watcher.startsAt; }

    void list(Instance& instance, std::size_t kind)
    {
        ObjectSet set { .era = this->store.era, .revision = this->store.revision, .objects = {}, .asOf = this->time() };
        if (!this->store.changes[kind].empty())
            set.objects.push_back({ .name = "main", .revision = this->store.changes[kind].back(), .content = {} });
        recordList(instance.currency, kinds[kind], set);
        this->learn(instance, kind, this->store.changes[kind].size());
    }

    static void learn(Instance& instance, std::size_t kind, std::size_t count)
    {
        if (count < instance.knownChanges[kind])
            throw Violation("a known change was forgotten");
        instance.knownChanges[kind] = count;
    }

    KindCurrency& known(Instance& instance, std::size_t kind) { return instance.currency.kinds[kinds[kind]]; }

    /// What the store answers to a call for the changes after \a position.
    std::optional<ChangeSet> answer(std::size_t kind, StorePosition position, TimePoint asOf) const
    {
        if (position.era == this->store.era && position.revision < this->store.discarded)
            return std::nullopt;
        ChangeSet set { .era = this->store.era,
            .revision = this->store.revision,
            .changes = {},
            .asOf = asOf,
            .source = ProofSource::Store };
        for (const std::uint64_t revision : this->store.changes[kind]) {
            if (revision > position.revision && position.era == this->store.era)
                set.changes.push_back({ { .name = "main", .revision = revision, .content = {} }, false });
        }
        return set;
    }

    /// Applies an answer as KindWatcher does. Returns whether it told of a change.
    bool take(Instance& instance, std::size_t kind, StorePosition asked, const std::optional<ChangeSet>& set)
    {
        const bool isComparable = set && (set->era == asked.era || this->defect == Defect::AnswersOnlyForward);
        if (!isComparable) {
            this->list(instance, kind);
            return false;
        }
        recordChanges(instance.currency, kinds[kind], *set, asked.revision);
        recordStoreRevision(instance.currency, { set->era, set->revision }, set->asOf);
        if (!set->changes.empty())
            this->learn(instance, kind, this->store.changes[kind].size());
        return !set->changes.empty();
    }

    void advance(Instance& instance)
    {
        if (this->now < instance.startsAt)
            return;
        if (instance.currency.kinds.empty()) {
            for (std::size_t kind = 0; kind < 2; ++kind)
                this->list(instance, kind);
        }
        for (std::size_t kind = 0; kind < 2; ++kind) {
            if (&instance == &this->follower)
                this->askWatcher(instance, kind);
            else
                this->watchStore(instance, kind);
        }
        this->verify(instance);
        if (&instance != &this->follower)
            this->report(instance);
    }

    void startWatch(Instance& instance, Watch& watch, std::size_t kind)
    {
        const KindCurrency& known = this->known(instance, kind);
        watch = { .startedAt = this->now,
            .pauseUntil = 0,
            .isWaiting = true,
            .isSilent = false,
            .after = known.position.revision,
            .era = known.position.era };
    }

    void watchStore(Instance& instance, std::size_t kind)
    {
        Watch& watch = instance.watches[kind];
        if (!watch.isWaiting) {
            if (this->now >= watch.pauseUntil)
                this->startWatch(instance, watch, kind);
            return;
        }
        const int wait = static_cast<int>((kind == config ? Duration(seconds(20)) : this->timing.watcherWait) / step);
        const int allowance = static_cast<int>(Duration(milliseconds(700)) / step);
        const bool isOver = this->now - watch.startedAt >= wait;
        if (watch.isSilent) {
            if (this->now - watch.startedAt < wait + allowance)
                return;
            this->list(instance, kind);
            watch = { .startedAt = 0, .pauseUntil = this->now + this->pauseSteps(), .isWaiting = false };
            return;
        }
        const StorePosition asked { watch.era, watch.after };
        const TimePoint started = TimePoint { seconds(1000) } + watch.startedAt * step;
        auto set = this->answer(kind, asked, started);
        const bool hasEvents = !set || !set->changes.empty() || set->era != watch.era;
        if (!hasEvents && !isOver)
            return;
        if (hasEvents && &instance == &this->watcher && std::exchange(this->losesAnswer, false)) {
            watch.isSilent = true;
            return;
        }
        if (set && !hasEvents)
            set->asOf = started + wait * step;
        this->take(instance, kind, asked, set);
        watch = { .startedAt = 0, .pauseUntil = this->now + this->pauseSteps(), .isWaiting = false };
    }

    int pauseSteps() const { return static_cast<int>(bound / 4 / step); }

    /// The age that the watcher of the zone states.
    Duration statedAge(std::size_t kind) const
    {
        const std::size_t counted = this->defect == Defect::SharedAge ? servers : kind;
        return ageOf(this->watcher.currency, kinds[counted], this->time());
    }

    void askWatcher(Instance& instance, std::size_t kind)
    {
        Watch& watch = instance.watches[kind];
        if (!watch.isWaiting) {
            if (this->now >= watch.pauseUntil)
                this->startWatch(instance, watch, kind);
            return;
        }
        const int wait = static_cast<int>(this->timing.followerWait / step);
        const int allowance = static_cast<int>(this->timing.responseAllowance / step) + 1;
        const KindCurrency& own = this->known(instance, kind);
        const Watch ended { .startedAt = 0, .pauseUntil = this->now + this->pauseSteps(), .isWaiting = false };
        if (watch.isSilent && this->now - watch.startedAt < wait + allowance)
            return;
        const bool isAlive = this->isWatcherAlive() && !this->watcher.currency.kinds.empty();
        if (watch.isSilent || !isAlive || this->statedAge(kind) >= this->timing.freshness) {
            this->take(instance, kind, own.position, this->answer(kind, own.position, this->time()));
            watch = ended;
            return;
        }
        const KindCurrency& theirs = this->watcher.currency.kinds.at(kinds[kind]);
        if (theirs.position.era < own.position.era) {
            watch = ended;
            return;
        }
        const bool isNewer
            = theirs.position.era != own.position.era || this->watcher.knownChanges[kind] > instance.knownChanges[kind];
        if (!isNewer && this->now - watch.startedAt < wait)
            return;
        if (theirs.position.era != own.position.era) {
            this->list(instance, kind);
            watch = ended;
            return;
        }
        ChangeSet set { .era = theirs.position.era,
            .revision = std::max(theirs.position.revision, own.position.revision),
            .changes = {},
            .asOf = this->time() - this->statedAge(kind),
            .source = ProofSource::Watcher };
        for (std::size_t i = instance.knownChanges[kind]; i < this->watcher.knownChanges[kind]; ++i)
            set.changes.push_back(
                { { .name = "main", .revision = this->store.changes[kind][i], .content = {} }, false });
        const std::uint64_t before = own.position.revision;
        recordChanges(instance.currency, kinds[kind], set, before);
        this->learn(instance, kind, std::max(instance.knownChanges[kind], this->watcher.knownChanges[kind]));
        watch = ended;
    }

    void verify(Instance& instance)
    {
        if (this->defect == Defect::SharedAge || this->defect == Defect::NoVerification)
            return;
        const VerificationTiming timings
            = verificationTiming(bound, &instance == &this->other ? VerificationRank::First : VerificationRank::Other);
        if (instance.verifyingUntil >= 0) {
            if (this->now < instance.verifyingUntil)
                return;
            instance.verifyingUntil = -1;
            recordVerification(instance.verification[instance.verifying], timings, false, this->time());
        }
        for (const std::size_t kind : { instance.verifying, 1 - instance.verifying }) {
            const KindCurrency& known = this->known(instance, kind);
            const auto due = verificationDue(known, instance.verification[kind], timings,
                instance.currency.newestPosition, &instance == &this->watcher);
            if (!due || *due > this->time())
                continue;
            instance.verifying = kind;
            if (std::exchange(this->losesVerification, false)) {
                const Duration timeout = verificationTimeout(instance.verification[kind], timings);
                instance.verifyingUntil = this->now + static_cast<int>((timeout + step - step / 125) / step);
                return;
            }
            const StorePosition asked = known.position;
            const bool hasFound = this->take(instance, kind, asked, this->answer(kind, asked, this->time()));
            if (hasFound)
                instance.watches[kind] = {};
            recordVerification(instance.verification[kind], timings, true, this->time());
        }
    }

    /// Reports of one instance reach the others two steps later.
    void report(const Instance& sender)
    {
        constexpr int delay = 2;
        for (Instance* receiver : { &this->watcher, &this->other, &this->follower }) {
            if (receiver == &sender || this->now < receiver->startsAt || receiver->currency.kinds.empty())
                continue;
            for (const KindReport& report : reportsOf(sender.currency, this->time()))
                this->reports.push_back({ this->now + delay, receiver, report, this->time() - report.age });
        }
        for (const Report& sent : std::exchange(this->reports, {})) {
            if (sent.arrivesAt > this->now) {
                this->reports.push_back(sent);
                continue;
            }
            if (this->now < sent.receiver->startsAt || sent.receiver->currency.kinds.empty())
                continue;
            const TimePoint asOf = this->defect == Defect::YoungReports ? this->time() : sent.asOf;
            const std::size_t kind = sent.report.kind == kinds[config] ? config : servers;
            VerificationState& state = sent.receiver->verification[kind];
            const auto verdict = recordReport(sent.receiver->currency, sent.report, asOf);
            if (verdict == ReportVerdict::Behind) {
                recordBehind(state, this->known(*sent.receiver, kind),
                    { sent.report.position.era, sent.report.lastChangeFrom }, this->time());
            }
        }
    }

    void check(Instance& instance)
    {
        if (instance.currency.kinds.empty())
            return;
        for (std::size_t kind = 0; kind < 2; ++kind) {
            const TimePoint knownAt = this->known(instance, kind).knownAt;
            for (std::size_t i = instance.knownChanges[kind]; i < this->store.changes[kind].size(); ++i) {
                const int changedAt = this->store.changedAt[kind][i];
                if (knownAt != TimePoint {} && changedAt < this->stepOf(knownAt))
                    throw Violation("an age is understated");
                if (this->now - std::max(changedAt, instance.disturbedAt) > boundSteps)
                    throw Violation("a change is not known within the bound");
            }
        }
    }

    struct Report {
        int arrivesAt = 0;
        Instance* receiver = nullptr;
        KindReport report;
        TimePoint asOf {};
    };

    std::vector<std::pair<int, Event>> events;
    Defect defect;
    RelayTiming timing = relayTiming(bound);
    Store store;
    Instance watcher;
    Instance other; ///< In another zone, watches the store itself.
    Instance follower;
    std::vector<Report> reports;
    int now = 0;
    bool losesAnswer = false;
    bool losesVerification = false;
};

struct Exploration {
    std::size_t plays = 0;
    std::size_t steps = 0;
    std::string violation; ///< Of the first play that broke a rule.
};

/// All plays with a change and up to two further events at the steps below. Ends with the first violation.
Exploration explore(Defect defect)
{
    constexpr std::array<Event, 11> further { Event::None, Event::ChangeConfig, Event::ChangeServers, Event::LoseAnswer,
        Event::LoseVerification, Event::SilenceConfig, Event::SilenceServers, Event::SilenceRelay, Event::StopWatcher,
        Event::Restore, Event::DiscardHistory };
    Exploration result;
    const auto play = [&](const std::vector<std::pair<int, Event>>& events) {
        if (!result.violation.empty())
            return;
        ++result.plays;
        result.steps += horizon;
        try {
            Play(events, defect).run();
        } catch (const Violation& violation) {
            result.violation = violation.what();
            for (const auto& [at, event] : events)
                result.violation += fmt::format("; event {} at step {}", static_cast<int>(event), at);
        }
    };
    for (const Event change : { Event::ChangeConfig, Event::ChangeServers }) {
        for (int at = 1; at <= lastEventStep; at += 2) {
            for (const Event first : further) {
                for (int firstAt = 1; firstAt <= lastEventStep; ++firstAt) {
                    for (const Event second : further) {
                        for (int secondAt = firstAt; secondAt <= lastEventStep; secondAt += 3)
                            play({ { firstAt, first }, { secondAt, second }, { at, change } });
                    }
                }
            }
        }
    }
    return result;
}

} // namespace

TEST_CASE("Following the store in all orders of a change and two faults")
{
    SECTION("each instance knows of the change within the bound, forgets none and understates no age")
    {
        const Exploration result = explore(Defect::None);
        INFO(result.violation);
        CHECK(result.violation.empty());
        CHECK(result.plays > 30'000);
        INFO(result.plays << " plays, " << result.steps << " steps");
    }
    SECTION("finds an age of one kind that stands for all kinds, as before issue 43")
    {
        CHECK_FALSE(explore(Defect::SharedAge).violation.empty());
    }
    SECTION("finds that nothing is verified") { CHECK_FALSE(explore(Defect::NoVerification).violation.empty()); }
    SECTION("finds reports that get younger on their way")
    {
        CHECK_FALSE(explore(Defect::YoungReports).violation.empty());
    }
    SECTION("finds that revisions of different eras are compared")
    {
        CHECK_FALSE(explore(Defect::AnswersOnlyForward).violation.empty());
    }
}
