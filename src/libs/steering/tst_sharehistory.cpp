#include "steering/sharehistory.h"

#include "base/random.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <numeric>

using namespace clementinefall;
using namespace clementinefall::steering;

namespace {

constexpr std::size_t holderCount = 4;

/// Versions of one cap with random amounts. In the first one all holders have a share above 0; with \a isRemoving later
/// ones may lack some holders.
std::vector<ShareTable> randomTables(Random& random, bool isRemoving)
{
    std::vector<ShareTable> tables;
    for (std::uint64_t version = 1; version <= 8; ++version) {
        ShareTable table { version, { "cap" }, {} };
        for (std::size_t holder = 0; holder < holderCount; ++holder) {
            if (!isRemoving || version == 1 || randomBelow(random, 5) > 0)
                table.holders[std::to_string(holder)] = { (version == 1 ? 1 : 0) + randomBelow(random, 12) };
        }
        tables.push_back(table);
    }
    return tables;
}

std::uint64_t sumOf(const ShareTable& table)
{
    std::uint64_t sum = 0;
    for (const auto& [holder, amounts] : table.holders)
        sum += amounts[0];
    return sum;
}

} // namespace

TEST_CASE("Dividing whole units")
{
    rc::prop("the sum is exact and no two shares differ by more than one unit", [](std::uint16_t amount) {
        const std::vector<std::string_view> names { "a", "b", "c", "d", "e" };
        const auto shares = divideShares(amount, "server", names);
        RC_ASSERT(std::accumulate(shares.begin(), shares.end(), std::uint64_t(0)) == amount);
        RC_ASSERT(
            *std::max_element(shares.begin(), shares.end()) <= *std::min_element(shares.begin(), shares.end()) + 1);
    });
}

TEST_CASE("Shares are raised only after the reductions are confirmed")
{
    const TimePoint now { seconds(10) };
    ShareHistory a("a", 1, now);
    ShareHistory b("b", 2, now);
    const auto exchangeStatus = [&](ShareHistory& from, ShareHistory& to) {
        from.confirm();
        to.recordStatus(from.respondTo(to.makeQuery()), now);
    };
    const auto exchangeAll = [&] {
        for (int round = 0; round < 3; ++round) {
            exchangeStatus(a, b);
            exchangeStatus(b, a);
        }
    };
    const ShareTable first { 1, { "cap" }, { { "a", { 5 } }, { "b", { 5 } } } };
    const ShareTable second { 2, { "cap" }, { { "a", { 2 } }, { "b", { 8 } } } };
    a.adopt(first);
    b.adopt(first);

    SECTION("a holder without any response uses nothing, since another holder may use an older version")
    {
        a.settle(now);
        CHECK(a.usable("cap") == 0);
        a.endHolder("b", now);
        CHECK(a.usable("cap") == 5);
    }

    SECTION("a reduced share takes effect at once, and a raised one only when the reduction is confirmed")
    {
        exchangeAll();
        CHECK(a.usable("cap") == 5);
        b.adopt(second);
        b.settle(now);
        CHECK(b.usable("cap") == 5);
        a.adopt(second);
        CHECK(a.usable("cap") == 2);
        CHECK(b.usable("cap") == 5);
        exchangeAll();
        CHECK(b.usable("cap") == 8);
    }

    SECTION("a late response of a process that has ended does not count for its successor")
    {
        exchangeAll();
        const ShareQuery early = b.makeQuery();
        a.adopt(second);
        a.confirm();
        const ShareStatus late = a.respondTo(early);
        ShareHistory restarted("a", 3, now);
        restarted.adopt(first);
        exchangeStatus(restarted, b);
        exchangeStatus(b, restarted);
        REQUIRE(restarted.usable("cap") == 5);
        b.adopt(second);
        b.recordStatus(late, now);
        b.settle(now);
        CHECK(b.usable("cap") == 5);
    }

    SECTION("a holder that restarts on an old version uses nothing after its former process confirmed a reduced share")
    {
        exchangeAll();
        a.adopt(second);
        b.adopt(second);
        exchangeAll();
        ShareHistory restarted("a", 3, now);
        restarted.adopt(first);
        exchangeStatus(restarted, b);
        exchangeStatus(b, restarted);
        CHECK(restarted.usable("cap") == 0);
        restarted.adopt(second);
        restarted.settle(now);
        CHECK(restarted.usable("cap") == 2);
    }
}

TEST_CASE("The sum of the usable shares never exceeds the amount of a version in use")
{
    const auto check = [](std::uint64_t seed, bool isRemoving) {
        Random random(seed);
        const auto tables = randomTables(random, isRemoving);
        const TimePoint now { seconds(10) };
        std::uint64_t incarnation = 0;
        std::vector<ShareHistory> holders;
        for (std::size_t at = 0; at < holderCount; ++at)
            holders.emplace_back(std::to_string(at), ++incarnation, now).adopt(tables[0]);
        const auto exchangeAll = [&] {
            for (int message = 0; message < 5 * 16; ++message) {
                ShareHistory& responder = holders[static_cast<std::size_t>(message) / 4 % 4];
                ShareHistory& requester = holders[static_cast<std::size_t>(message) % 4];
                responder.confirm();
                if (&responder != &requester)
                    requester.recordStatus(responder.respondTo(requester.makeQuery()), now);
            }
        };
        exchangeAll();
        std::vector<ShareQuery> queries;
        std::vector<std::pair<std::string, ShareStatus>> lateResponses;
        const auto recordLateResponse = [&](const ShareQuery& query, ShareHistory& holder) {
            lateResponses.emplace_back(query.holder, holder.respondTo(query));
        };
        std::size_t published = 1;
        std::uint64_t used = 0;
        for (int step = 0; step < 400; ++step) {
            const std::size_t at = randomBelow(random, holderCount);
            const std::size_t other = randomBelow(random, holderCount);
            switch (randomBelow(random, 12)) {
            case 0:
                published = std::min(tables.size(), published + randomBelow(random, 2));
                break;
            case 1:
                holders[at].adopt(tables[randomBelow(random, published)]);
                break;
            case 2:
                if (!isRemoving && randomBelow(random, 6) == 0)
                    holders[at] = ShareHistory(std::to_string(at), ++incarnation, now);
                break;
            case 3:
                holders[at].confirm();
                break;
            case 4:
                queries.push_back(holders[at].makeQuery());
                break;
            case 5:
                if (!queries.empty())
                    recordLateResponse(queries[randomBelow(random, queries.size())], holders[at]);
                break;
            case 6:
                if (!lateResponses.empty()) {
                    const auto& [name, status] = lateResponses[randomBelow(random, lateResponses.size())];
                    holders[std::stoul(name)].recordStatus(status, now);
                }
                break;
            default:
                if (at != other)
                    holders[other].recordStatus(holders[at].respondTo(holders[other].makeQuery()), now);
                break;
            }
            std::uint64_t sum = 0;
            std::uint64_t newestSettled = 0;
            for (auto& holder : holders) {
                holder.settle(now);
                sum += holder.usable("cap");
                newestSettled = std::max(newestSettled, holder.settledVersion());
            }
            used += sum;
            RC_ASSERT(sum <= (newestSettled == 0 ? 0 : sumOf(tables[newestSettled - 1])));
        }
        RC_ASSERT(used > 0);
        // Once all are connected again, each holder may use its full share.
        for (auto& holder : holders)
            holder.adopt(tables.back());
        exchangeAll();
        for (std::size_t at = 0; at < holderCount; ++at) {
            const auto row = tables.back().holders.find(std::to_string(at));
            RC_ASSERT(holders[at].usable("cap") == (row == tables.back().holders.end() ? 0 : row->second[0]));
        }
    };
    rc::prop("under random adoptions, version gaps, lost and late responses and restarts",
        [&](std::uint64_t seed) { check(seed, false); });
    rc::prop("under the same events without restarts, with holders that are removed and added",
        [&](std::uint64_t seed) { check(seed, true); });
}
