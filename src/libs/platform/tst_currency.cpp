#include "platform/currency.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::platform;

namespace {

constexpr Duration bound = milliseconds(2500);

ObjectSet listAt(std::uint64_t revision, TimePoint asOf, std::uint64_t newestObject = 0, std::uint64_t era = 1)
{
    ObjectSet set { .era = era, .revision = revision, .objects = {}, .asOf = asOf };
    if (newestObject > 0)
        set.objects.push_back({ .name = "main", .revision = newestObject, .content = {} });
    return set;
}

ChangeSet answerAt(std::uint64_t revision, TimePoint asOf, const std::vector<std::uint64_t>& changes = {})
{
    ChangeSet set { .era = 1, .revision = revision, .changes = {}, .asOf = asOf, .source = ProofSource::Store };
    for (const std::uint64_t change : changes) {
        StoredObject object { .name = "main", .revision = change, .content = {} };
        set.changes.push_back({ .object = std::move(object), .isRemoved = false });
    }
    return set;
}

} // namespace

TEST_CASE("The age of what is known of one kind of objects")
{
    const TimePoint start { seconds(1000) };
    StoreCurrency currency;

    SECTION("is unknown before an answer of the store proves it")
    {
        CHECK(ageOf(currency, "config", start) == Duration::max());
        recordList(currency, "config", listAt(100, {}));
        CHECK(ageOf(currency, "config", start) == Duration::max());
    }

    SECTION("after a list and answers for several kinds")
    {
        recordList(currency, "config", listAt(100, start, 90));
        recordList(currency, "servers", listAt(100, start, 95));

        SECTION("counts from its own last proof, and never from an older one that arrives later")
        {
            recordChanges(currency, "config", answerAt(100, start + seconds(2)), 100);
            recordChanges(currency, "config", answerAt(100, start + seconds(1)), 100);
            CHECK(ageOf(currency, "config", start + seconds(3)) == seconds(1));
        }
        SECTION("stays as it was when an answer for another kind arrives after a change that is not known")
        {
            recordChanges(currency, "servers", answerAt(101, start + seconds(4)), 100);
            recordStoreRevision(currency, { 1, 101 }, start + seconds(4));
            CHECK(ageOf(currency, "servers", start + seconds(4)) == Duration {});
            CHECK(ageOf(currency, "config", start + seconds(4)) == seconds(4));
        }
        SECTION("is that of an answer for another kind when the store has no further change")
        {
            recordStoreRevision(currency, { 1, 100 }, start + seconds(4));
            CHECK(ageOf(currency, "config", start + seconds(4)) == Duration {});
            CHECK(currency.kinds.at("config").source == ProofSource::StoreRevision);
        }
        SECTION("is that of an answer for another kind when all further changes were of that kind")
        {
            recordChanges(currency, "servers", answerAt(102, start + seconds(4), { 101, 102 }), 100);
            recordStoreRevision(currency, { 1, 102 }, start + seconds(4));
            CHECK(ageOf(currency, "config", start + seconds(4)) == Duration {});
        }
        SECTION("is not that of an answer for another kind when one change in between is of an unknown kind")
        {
            recordChanges(currency, "servers", answerAt(103, start + seconds(4), { 101, 103 }), 100);
            recordStoreRevision(currency, { 1, 103 }, start + seconds(4));
            CHECK(ageOf(currency, "config", start + seconds(4)) == seconds(4));
        }
        SECTION("is not proved by an answer of another era of the store")
        {
            recordStoreRevision(currency, { 2, 100 }, start + seconds(4));
            ChangeSet restored = answerAt(100, start + seconds(4));
            restored.era = 2;
            recordChanges(currency, "config", restored, 100);
            CHECK(ageOf(currency, "config", start + seconds(4)) == seconds(4));
        }
        SECTION("is unknown after a pause of the process")
        {
            forgetProofs(currency);
            CHECK(ageOf(currency, "config", start + seconds(4)) == Duration::max());
            CHECK(reportsOf(currency, start + seconds(4)).empty());
        }
        SECTION("is late from half of the bound on, once, until it is proved again")
        {
            KindCurrency& config = currency.kinds.at("config");
            CHECK_FALSE(updateLateness(config, bound, start + seconds(1)));
            CHECK(updateLateness(config, bound, start + milliseconds(1300)));
            CHECK_FALSE(updateLateness(config, bound, start + seconds(2)));
            recordStoreRevision(currency, { 1, 100 }, start + seconds(2));
            CHECK(updateLateness(config, bound, start + seconds(2)));
            CHECK_FALSE(config.isLate);
        }
    }
}

TEST_CASE("A report of another instance")
{
    const TimePoint start { seconds(1000) };
    StoreCurrency currency;
    recordList(currency, "config", listAt(100, start, 90));
    KindReport report {
        .kind = "config", .position = { 1, 120 }, .lastChangeFrom = 90, .lastChangeUntil = 90, .age = {}
    };

    SECTION("proves the own knowledge as of the same time when the newest change of the kind is known here")
    {
        CHECK(recordReport(currency, report, start + seconds(1)) == ReportVerdict::Proof);
        CHECK(ageOf(currency, "config", start + seconds(1)) == Duration {});

        SECTION("and moves the position, so that later answers for other kinds prove it, too")
        {
            recordStoreRevision(currency, { 1, 120 }, start + seconds(2));
            CHECK(ageOf(currency, "config", start + seconds(2)) == Duration {});
        }
    }
    SECTION("shows that this instance is behind when it tells of a later change")
    {
        report.lastChangeFrom = report.lastChangeUntil = 110;
        CHECK(recordReport(currency, report, start + seconds(1)) == ReportVerdict::Behind);
        CHECK(ageOf(currency, "config", start + seconds(1)) == seconds(1));
    }
    SECTION("shows that this instance is behind when it tells of a restore of the store")
    {
        report.position.era = 2;
        CHECK(recordReport(currency, report, start + seconds(1)) == ReportVerdict::Behind);
    }
    SECTION("proves nothing when a list leaves open whether the newest change is a removal after the own position")
    {
        report.lastChangeUntil = 120;
        CHECK(recordReport(currency, report, start + seconds(1)) == ReportVerdict::Nothing);
        CHECK(ageOf(currency, "config", start + seconds(1)) == seconds(1));
    }
    SECTION("proves nothing when its time is not known, or it is of an earlier era or of an unknown kind")
    {
        CHECK(recordReport(currency, report, std::nullopt) == ReportVerdict::Nothing);
        report.position.era = 0;
        CHECK(recordReport(currency, report, start + seconds(1)) == ReportVerdict::Nothing);
        report.kind = "unheard";
        CHECK(recordReport(currency, report, start + seconds(1)) == ReportVerdict::Nothing);
        CHECK(ageOf(currency, "config", start + seconds(1)) == seconds(1));
    }
}
