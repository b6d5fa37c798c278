#include "platform/changelog.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace clementinefall::platform;

namespace {

ChangeSet setOf(std::uint64_t revision, std::initializer_list<const char*> names)
{
    ChangeSet set { .era = 0, .revision = revision, .changes = {} };
    for (const char* name : names)
        set.changes.push_back({ StoredObject { .name = name, .revision = revision, .content = {} }, false });
    return set;
}

} // namespace

TEST_CASE("A log of the store's changes")
{
    ChangeLog log;

    SECTION("knows nothing before the first list") { CHECK_FALSE(changesAfter(log, 0)); }

    SECTION("returns the changes after a revision, in their order")
    {
        restartChangeLog(log, { 0, 10 }, false);
        appendChanges(log, setOf(12, { "a" }));
        appendChanges(log, setOf(15, { "b", "c" }));
        const auto all = changesAfter(log, 10);
        REQUIRE(all);
        CHECK(all->revision == 15);
        REQUIRE(all->changes.size() == 3);
        CHECK(decodeChange(boost::json::parse(all->changes[0])).object.name == "a");
        CHECK(changesAfter(log, 12)->changes.size() == 2);
        CHECK(changesAfter(log, 15)->changes.empty());

        SECTION("also to a follower that is ahead, whose revision never goes back")
        {
            const auto ahead = changesAfter(log, 20);
            REQUIRE(ahead);
            CHECK(ahead->revision == 20);
            CHECK(ahead->changes.empty());
        }
        SECTION("but not from before its beginning") { CHECK_FALSE(changesAfter(log, 9)); }
        SECTION("and ignores a set that is not newer")
        {
            appendChanges(log, setOf(15, { "late" }));
            appendChanges(log, setOf(13, { "later" }));
            CHECK(changesAfter(log, 10)->changes.size() == 3);
        }
        SECTION("and begins anew after a list")
        {
            restartChangeLog(log, { 0, 30 }, true);
            CHECK_FALSE(changesAfter(log, 15));
            CHECK(log.restartedAfterOutage);
        }
    }

    SECTION("discards the oldest changes beyond its capacity, whole sets at a time")
    {
        restartChangeLog(log, { 0, 1 }, true);
        for (std::uint64_t revision = 2; log.entries.size() < ChangeLog::capacity; ++revision)
            appendChanges(log, setOf(revision, { "x", "y" }));
        appendChanges(log, setOf(100'000, { "z" }));
        CHECK(log.floor == 2);
        CHECK_FALSE(changesAfter(log, 1));
        REQUIRE(changesAfter(log, 2));
        CHECK(changesAfter(log, 2)->changes.size() == ChangeLog::capacity - 1);
        // What is missing now was discarded, not lost in an outage.
        CHECK_FALSE(log.restartedAfterOutage);
    }
}
