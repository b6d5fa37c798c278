#include "requests/keyrange.h"

#include <catch2/catch.hpp>

#include <map>

using namespace clementinefall;
using namespace clementinefall::requests;

namespace {

const TimePoint start = TimePoint {} + std::chrono::hours(1);
constexpr std::int64_t wall = 1'000'000'000;
constexpr std::int64_t aheadMs = 120'000;

/// Object of the platform that supports conditional updates.
struct Object {
    StoredKeyRange stored;

    bool write(const KeyRangeWrite& wanted)
    {
        if (wanted.expectedVersion != this->stored.version)
            return false;
        this->stored = { this->stored.version + 1, wanted.range };
        return true;
    }
};

void acquire(KeyRangeHolder& holder, Object& object, std::int64_t wallNow)
{
    holder.read(object.stored);
    const auto wanted = holder.requiredWrite(wallNow);
    REQUIRE(wanted.has_value());
    REQUIRE(object.write(*wanted));
    holder.onWriteConfirmed(*wanted, object.stored.version);
}

} // namespace

TEST_CASE("Homes of idempotency keys")
{
    const std::vector<std::string> names { "e1", "e2", "e3", "e4" };
    const std::vector<std::string> fewer { "e4", "e1", "e2" };
    std::map<std::string, unsigned> share;
    for (unsigned i = 0; i < 4000; ++i) {
        const std::string key = fmt::format("key-{}", i);
        const std::string home(homeOfKey(key, names));
        ++share[home];
        // Only the keys of the removed instance change their home, and the order of names does not matter.
        if (home != "e3")
            REQUIRE(homeOfKey(key, fewer) == home);
    }
    for (const auto& [name, count] : share)
        CHECK(count > 850);
    CHECK(homeOfKey("key", {}).empty());
    CHECK_FALSE(isOk(checkKey("")));
    CHECK_FALSE(isOk(checkKey("a b")));
    CHECK_FALSE(isOk(checkKey(std::string(129, 'k'))));
    CHECK(isOk(checkKey("order-17/3")));
}

TEST_CASE("Key ranges")
{
    Object object;
    KeyRangeHolder first(1);
    KeyRangeHolder second(2);
    CHECK_FALSE(first.requiredWrite(wall).has_value());
    acquire(first, object, wall);
    CHECK(first.floor() == wall);
    CHECK(first.ceiling() == wall + aheadMs);

    SECTION("the ceiling is extended before the reservation ends, and only by a confirmed write")
    {
        CHECK_FALSE(first.requiredWrite(wall + 59'000).has_value());
        const auto wanted = first.requiredWrite(wall + 61'000);
        REQUIRE(wanted.has_value());
        CHECK(wanted->range == KeyRange { 1, wall, wall + 61'000 + aheadMs });
        CHECK(first.ceiling() == wall + aheadMs);
    }

    SECTION("the ranges of a paused holder and its replacement do not overlap")
    {
        const auto delayed = first.requiredWrite(wall + 61'000);
        acquire(second, object, wall + 61'000);
        CHECK(second.floor() == first.ceiling());
        CHECK_FALSE(object.write(*delayed));
        first.onWriteFailed();
        CHECK(first.needsRead());
        first.read(object.stored);
        CHECK(first.isReplaced());
        CHECK_FALSE(first.requiredWrite(wall + 200'000).has_value());
        CHECK(first.ceiling() == second.floor());
    }

    SECTION("a write whose response was lost takes effect only after the object is read back")
    {
        const auto wanted = first.requiredWrite(wall + 61'000);
        REQUIRE(object.write(*wanted));
        first.onWriteFailed();
        CHECK(first.ceiling() == wall + aheadMs);
        first.read(object.stored);
        CHECK(first.ceiling() == wall + 61'000 + aheadMs);
        CHECK_FALSE(first.isReplaced());
    }

    SECTION("after a planned stop the replacement runs higher labels at once")
    {
        first.recordStarted(wall + 10);
        const auto closing = first.close();
        REQUIRE(closing.has_value());
        CHECK(first.ceiling() == wall + 10);
        REQUIRE(object.write(*closing));
        acquire(second, object, wall + 20);
        CHECK(second.floor() == wall + 10);
    }

    SECTION("a holder whose wall clock is far behind gets an empty range, not an overlapping one")
    {
        acquire(second, object, wall - 1'000'000);
        CHECK(second.floor() == wall + aheadMs);
        CHECK(second.ceiling() == wall + aheadMs);
    }
}

TEST_CASE("Keys at their home")
{
    Object object;
    KeyRangeHolder range(1);
    acquire(range, object, wall);
    ExecutionTable table;
    KeyTable keys(3);
    const auto find = [&](std::string_view key, std::int64_t label, TimePoint now = start) {
        return keys.find(key, label, range, table, now);
    };

    SECTION("a key keeps its sequence; another label, or a label out of range, gets none")
    {
        const auto first = find("a", wall + 1);
        REQUIRE(std::holds_alternative<KeySequence>(first));
        CHECK(std::get<KeySequence>(find("a", wall + 1)).sequence == std::get<KeySequence>(first).sequence);
        CHECK(std::holds_alternative<KeyLabelMismatch>(find("a", wall + 2)));
        CHECK(codeOfKeyLookup(find("b", wall)) == ResultCode::UnknownIdentityExpired);
        CHECK(codeOfKeyLookup(find("b", wall + aheadMs + 1)) == ResultCode::UnknownNotDecided);
    }

    SECTION("a discarded key and lower labels are rejected instead of run again")
    {
        find("a", wall + 5);
        const TimePoint late = start + identityLifetime;
        CHECK(std::holds_alternative<KeyExpired>(find("a", wall + 5, late)));
        CHECK(std::holds_alternative<KeyExpired>(find("b", wall + 4, late)));
        CHECK(std::holds_alternative<KeySequence>(find("c", wall + 6, late)));
    }

    SECTION("the number of keys is bounded, and a rejection that is not recorded is not reported as not run")
    {
        for (const char* key : { "a", "b", "c" })
            REQUIRE(std::holds_alternative<KeySequence>(find(key, wall + 1)));
        CHECK(outcomeOf(codeOfKeyLookup(find("d", wall + 1))) == Outcome::Unknown);
    }
}
