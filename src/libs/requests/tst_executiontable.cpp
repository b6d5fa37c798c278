#include "requests/executiontable.h"

#include "base/random.h"

#include <catch2/catch.hpp>

#include <map>

using namespace clementinefall;
using namespace clementinefall::requests;

namespace {

const TimePoint start = TimePoint {} + std::chrono::hours(1);
const Hash128 hashA { 1, 1 };

StoredResult resultWith(ResultCode code, std::size_t bytes = 0)
{
    StoredResult result;
    result.code = code;
    result.body = std::string(bytes, 'x');
    return result;
}

/// Reference implementation without limits: one map, nothing is evicted before its sequence expires.
class ReferenceTable {
public:
    explicit ReferenceTable(IdentityIssuer referenceIssuer)
        : issuer(std::move(referenceIssuer))
    {
    }

    std::size_t begin(std::uint64_t sequence, const Hash128& hash, TimePoint now, bool isFull)
    {
        this->issuer.expire(now);
        if (sequence < this->issuer.floor())
            return BeginResult(ExpiredIdentity {}).index();
        if (sequence >= this->issuer.next())
            return BeginResult(UnissuedSequence {}).index();
        const auto found = this->entries.find(sequence);
        if (found == this->entries.end()) {
            this->entries[sequence] = { hash, std::nullopt, isFull, 0 };
            return isFull ? BeginResult(TableFull {}).index() : BeginResult(NewExecution {}).index();
        }
        Entry& entry = found->second;
        if (entry.isRejected)
            return BeginResult(TableFull {}).index();
        if (!(entry.hash == hash))
            return BeginResult(RequestMismatch {}).index();
        if (entry.code)
            return BeginResult(FinishedExecution {}).index();
        ++entry.waiting;
        return BeginResult(PendingExecution {}).index();
    }

    struct Entry {
        Hash128 hash;
        std::optional<ResultCode> code;
        bool isRejected = false;
        std::size_t waiting = 0;
    };
    IdentityIssuer issuer;
    std::map<std::uint64_t, Entry> entries;
};

} // namespace

TEST_CASE("The execution table agrees with a reference map on random schedules")
{
    // Guards against records that are lost, so that a started, finished or rejected sequence could run again.
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U);
    Random random(seed);
    ExecutionLimits limits;
    limits.records = seed % 2 == 0 ? 40 : 100000;
    limits.keptBytes = 4000;
    limits.bodyBytes = 1000;
    limits.waitersPerRecord = 1000;
    const IdentityIssuer issuer(seconds(60), 200);
    ExecutionTable table(limits, issuer);
    ReferenceTable reference(issuer);
    TimePoint now = start;
    std::map<std::size_t, unsigned> seen;

    for (unsigned step = 0; step < 20000; ++step) {
        now += milliseconds(randomBelow(random, 300));
        const std::uint64_t count = 1 + randomBelow(random, 3);
        if (randomBelow(random, 3) == 0)
            REQUIRE(table.issue(count, now).has_value() == reference.issuer.issue(count, now).has_value());
        const std::uint64_t lowest = table.floor() > 5 ? table.floor() - 5 : 1;
        const std::uint64_t sequence = lowest + randomBelow(random, table.nextSequence() - lowest + 3);
        if (randomBelow(random, 2) == 0) {
            const Hash128 hash { 1, randomBelow(random, 20) == 0 ? 2U : 1U };
            const BeginResult begun = table.begin(sequence, hash, now, [](const StoredResultPtr&) {});
            const bool isFull = std::holds_alternative<TableFull>(begun);
            const auto found = reference.entries.find(sequence);
            // A not-run result may turn into TableFull, which also means not run; no other result may change.
            const bool isReduced = isFull && found != reference.entries.end() && found->second.code
                && outcomeOf(*found->second.code) == Outcome::NotRun;
            if (isReduced)
                found->second.isRejected = true;
            REQUIRE(begun.index() == reference.begin(sequence, hash, now, isFull));
            if (const auto* finished = std::get_if<FinishedExecution>(&begun))
                REQUIRE(finished->result->code == reference.entries.at(sequence).code);
            ++seen[begun.index()];
        } else {
            const auto found = reference.entries.find(sequence);
            const bool isRunning = found != reference.entries.end() && !found->second.code && !found->second.isRejected;
            const std::array codes { ResultCode::Answered, ResultCode::NotRunNoServer, ResultCode::UnknownTimeout };
            const ResultCode code = codes[randomBelow(random, codes.size())];
            const FinishResult finished = table.finish(sequence, resultWith(code, randomBelow(random, 1500)), now);
            if (isRunning) {
                REQUIRE(finished.result->code == code);
                REQUIRE(finished.waiters.size() == found->second.waiting);
                found->second.code = code;
            } else {
                REQUIRE(finished.waiters.empty());
            }
        }
        REQUIRE(table.keptBytes() <= limits.keptBytes);
        REQUIRE(table.recordCount() <= limits.records);
    }
    CHECK(seen.size() >= 6);
    CHECK((seen[BeginResult(TableFull {}).index()] > 0) == (seed % 2 == 0));
}

TEST_CASE("Limits of the execution table")
{
    ExecutionLimits limits;
    limits.records = 2;
    limits.keptBytes = 400;
    limits.bodyBytes = 60;
    limits.waitersPerRecord = 1;
    ExecutionTable table(limits);
    table.issue(10, start);
    const auto isStarted = [&](std::uint64_t sequence) {
        return std::holds_alternative<NewExecution>(table.begin(sequence, hashA, start));
    };
    const auto isRejected = [&](std::uint64_t sequence) {
        return std::holds_alternative<TableFull>(table.begin(sequence, hashA, start));
    };
    REQUIRE(isStarted(1));
    REQUIRE(isStarted(2));

    SECTION("an identity rejected for lack of records stays rejected when records are free again")
    {
        REQUIRE(isRejected(3));
        table.finish(1, resultWith(ResultCode::NotRunNoServer), start);
        CHECK(isRejected(3));
        CHECK(isStarted(4));
        CHECK(isRejected(1));
    }

    SECTION("records of started requests are not evicted to make room for new ones")
    {
        table.finish(1, resultWith(ResultCode::Answered, 10), start);
        table.finish(2, resultWith(ResultCode::UnknownTimeout), start);
        CHECK(isRejected(3));
        CHECK(std::holds_alternative<FinishedExecution>(table.begin(1, hashA, start)));
        CHECK(std::holds_alternative<FinishedExecution>(table.begin(2, hashA, start)));
    }

    SECTION("the oldest body is evicted first, and its result code is kept")
    {
        table.finish(1, resultWith(ResultCode::Answered, 60), start);
        const std::size_t one = table.keptBytes();
        REQUIRE(2 * one > limits.keptBytes);
        table.finish(2, resultWith(ResultCode::Answered, 60), start);
        const auto first = std::get<FinishedExecution>(table.begin(1, hashA, start)).result;
        const auto second = std::get<FinishedExecution>(table.begin(2, hashA, start)).result;
        CHECK(first->code == ResultCode::Answered);
        CHECK_FALSE(first->isBodyKept);
        CHECK(second->body.size() == 60);
        CHECK(table.keptBytes() == one);
    }

    SECTION("a body above the limit is not kept, and a second finish() does not change the result")
    {
        CHECK_FALSE(table.finish(1, resultWith(ResultCode::Answered, 61), start).result->isBodyKept);
        CHECK(table.finish(1, resultWith(ResultCode::NotRunNoServer), start).result->code == ResultCode::Answered);
    }

    SECTION("the number of waiters is bounded, and a removed waiter is not called")
    {
        const auto begun = table.begin(1, hashA, start, [](const StoredResultPtr&) {});
        CHECK(std::holds_alternative<TooManyWaiters>(table.begin(1, hashA, start)));
        CHECK(table.removeWaiter(1, std::get<PendingExecution>(begun).waiterId));
        CHECK(table.finish(1, resultWith(ResultCode::Answered), start).waiters.empty());
    }

    SECTION("a request that is still running when its identity expires can finish and is not started again")
    {
        const TimePoint late = start + identityLifetime + seconds(2);
        CHECK(std::holds_alternative<ExpiredIdentity>(table.begin(1, hashA, late)));
        CHECK(table.finish(1, resultWith(ResultCode::NotRunNoServer), late).result->code == ResultCode::NotRunNoServer);
        CHECK(std::holds_alternative<ExpiredIdentity>(table.begin(1, hashA, late)));
        CHECK(table.recordCount() == 1);
    }
}
