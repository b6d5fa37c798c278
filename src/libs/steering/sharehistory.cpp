#include "steering/sharehistory.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace clementinefall::steering {

namespace {

std::uint64_t shareIn(const ShareTable& table, std::string_view holder, std::string_view item)
{
    const auto row = table.holders.find(holder);
    const auto column = std::lower_bound(table.items.begin(), table.items.end(), item);
    if (row == table.holders.end() || column == table.items.end() || *column != item)
        return 0;
    return row->second[static_cast<std::size_t>(column - table.items.begin())];
}

bool isFalling(const ShareTable& from, const ShareTable& to, std::string_view holder)
{
    return std::any_of(from.items.begin(), from.items.end(),
        [&](const std::string& item) { return shareIn(to, holder, item) < shareIn(from, holder, item); });
}

/// Sorts the items of a table, which the look-ups need.
ShareTable sorted(const ShareTable& table)
{
    std::vector<std::size_t> order(table.items.size());
    for (std::size_t at = 0; at < order.size(); ++at)
        order[at] = at;
    std::sort(order.begin(), order.end(), [&](auto a, auto b) { return table.items[a] < table.items[b]; });
    ShareTable result;
    result.version = table.version;
    for (const std::size_t at : order)
        result.items.push_back(table.items[at]);
    for (const auto& [holder, amounts] : table.holders) {
        auto& row = result.holders[holder];
        for (const std::size_t at : order)
            row.push_back(amounts[at]);
    }
    return result;
}

} // namespace

std::vector<std::uint64_t> divideShares(
    std::uint64_t amount, std::string_view key, std::span<const std::string_view> holders)
{
    if (holders.empty())
        return {};
    std::vector<std::uint64_t> shares(holders.size(), amount / holders.size());
    std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
    const std::uint64_t seed = hash64(key);
    for (std::size_t at = 0; at < holders.size(); ++at)
        ranks.emplace_back(hash64(holders[at], seed), at);
    std::sort(ranks.begin(), ranks.end(), [&](const auto& a, const auto& b) {
        return std::tie(b.first, holders[b.second]) < std::tie(a.first, holders[a.second]);
    });
    for (std::size_t at = 0; at < amount % holders.size(); ++at)
        ++shares[ranks[at].second];
    return shares;
}

ShareHistory::ShareHistory(
    std::string ownName, std::uint64_t ownIncarnation, TimePoint start, std::optional<Duration> presume)
    : self(std::move(ownName))
    , incarnation(ownIncarnation)
    , startedAt(start)
    , presumeAfter(presume)
{
}

void ShareHistory::adopt(const ShareTable& table)
{
    if (table.version <= this->latest.version)
        return;
    ShareTable next = sorted(table);
    Step step;
    step.version = next.version;
    for (const std::string& item : next.items)
        step.ownShares[item] = shareIn(next, this->self, item);
    for (const auto& [holder, amounts] : next.holders)
        step.holders.insert(holder);
    // Nothing was used before the start, so older shares are no base to raise from, but their holders may use them.
    if (!this->started && !this->steps.empty()) {
        step.holders.insert(this->steps.back().holders.begin(), this->steps.back().holders.end());
        this->steps.clear();
    }
    for (const auto& [holder, amounts] : this->latest.holders) {
        if (isFalling(this->latest, next, holder))
            step.falling.insert(holder);
    }
    // A process runs again under a name that was removed; what is known of the former one is void.
    for (const auto& [holder, amounts] : next.holders) {
        const auto known = this->reports.find(holder);
        if (known != this->reports.end() && known->second.status.hasEnded && !this->latest.holders.contains(holder))
            known->second = { {}, this->queries };
    }
    const bool isNext = next.version == this->latest.version + 1;
    if (!isNext)
        this->firstSeen = next.version;
    this->steps.push_back(std::move(step));
    this->latest = std::move(next);
}

ShareQuery ShareHistory::makeQuery() { return { this->self, this->incarnation, ++this->queries }; }

ShareStatus ShareHistory::answer(const ShareQuery& query)
{
    Report& asking = this->reports[query.holder];
    if (asking.status.incarnation != query.incarnation) {
        asking.status = ShareStatus { .holder = query.holder, .incarnation = query.incarnation };
        asking.answered = this->queries;
    }
    ShareStatus result;
    result.holder = this->self;
    result.incarnation = this->incarnation;
    result.firstSeen = std::min(this->firstSeen, this->confirmed);
    result.newest = this->confirmed;
    result.settled = this->settledVersion();
    result.queryIncarnation = query.incarnation;
    result.queryNumber = query.number;
    return result;
}

void ShareHistory::recordStatus(const ShareStatus& status, TimePoint now)
{
    Report& known = this->reports[status.holder];
    if (status.queryIncarnation != this->incarnation || status.queryNumber <= known.answered)
        return;
    known = { status, status.queryNumber };
    this->settle(now);
}

void ShareHistory::endHolder(std::string_view holder, TimePoint now)
{
    Report& known = this->reports[std::string(holder)];
    known.status.hasEnded = true;
    known.answered = this->queries;
    this->settle(now);
}

bool ShareHistory::hasSeen(std::string_view holder, std::uint64_t version) const
{
    if (holder == this->self)
        return true;
    const auto known = this->reports.find(holder);
    if (known == this->reports.end())
        return false;
    const ShareStatus& report = known->second.status;
    return report.hasEnded || (report.firstSeen <= version && version <= report.newest);
}

bool ShareHistory::allHaveSeen(std::uint64_t version, std::size_t count) const
{
    for (std::size_t at = 0; at < count; ++at) {
        for (const std::string& holder : this->steps[at].holders) {
            if (!this->hasSeen(holder, version))
                return false;
        }
    }
    return true;
}

void ShareHistory::startIfSafe(TimePoint now)
{
    if (this->steps.empty())
        return;
    const Step& step = this->steps.back();
    const bool mayPresume = this->presumeAfter && now - this->startedAt >= *this->presumeAfter;
    bool hasSettledPeer = false;
    bool haveAllJustStarted = true;
    for (const std::string& holder : step.holders) {
        if (holder == this->self)
            continue;
        const auto known = this->reports.find(holder);
        const bool isHeard = known != this->reports.end()
            && (known->second.status.hasEnded || known->second.status.queryIncarnation == this->incarnation);
        if (!isHeard) {
            if (!mayPresume)
                return;
            continue;
        }
        const ShareStatus& report = known->second.status;
        // A newer version may lower this holder's share, and its former process may have confirmed that.
        if (report.newest > step.version || !this->hasSeen(holder, step.version))
            return;
        hasSettledPeer = hasSettledPeer || report.settled >= step.version;
        haveAllJustStarted = haveAllJustStarted && (report.hasEnded || report.settled == 0);
    }
    this->started = hasSettledPeer || haveAllJustStarted;
}

void ShareHistory::settle(TimePoint now)
{
    if (!this->started) {
        this->startIfSafe(now);
        return;
    }
    for (std::size_t at = this->steps.size(); at-- > 1;) {
        if (this->allHaveSeen(this->steps[at].version, at + 1)) {
            this->steps.erase(this->steps.begin(), this->steps.begin() + static_cast<std::ptrdiff_t>(at));
            break;
        }
    }
    while (this->steps.size() > 1 && this->steps[1].version == this->steps[0].version + 1) {
        const Step& next = this->steps[1];
        const bool isConfirmed = std::all_of(next.falling.begin(), next.falling.end(),
            [&](const std::string& holder) { return this->hasSeen(holder, next.version); });
        if (!isConfirmed)
            return;
        this->steps.pop_front();
    }
}

std::uint64_t ShareHistory::usable(std::string_view item) const { return this->started ? this->pledged(item) : 0; }

std::uint64_t ShareHistory::pledged(std::string_view item) const
{
    std::optional<std::uint64_t> least;
    for (const Step& step : this->steps) {
        const auto own = step.ownShares.find(item);
        const std::uint64_t share = own == step.ownShares.end() ? 0 : own->second;
        least = std::min(least.value_or(share), share);
    }
    return least.value_or(0);
}

std::uint64_t ShareHistory::settledVersion() const
{
    return this->started && !this->steps.empty() ? this->steps.front().version : 0;
}

} // namespace clementinefall::steering
