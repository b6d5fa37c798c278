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

bool isShareReduced(const ShareTable& from, const ShareTable& to, std::string_view holder)
{
    return std::any_of(from.items.begin(), from.items.end(),
        [&](const std::string& item) { return shareIn(to, holder, item) < shareIn(from, holder, item); });
}

/// Copy of \a table with its items sorted, for binary search.
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
    std::string name, std::uint64_t selfIncarnation, TimePoint start, std::optional<Duration> timeout)
    : self(std::move(name))
    , incarnation(selfIncarnation)
    , startedAt(start)
    , absentHolderTimeout(timeout)
{
}

void ShareHistory::adopt(const ShareTable& table)
{
    if (table.version <= this->latest.version)
        return;
    ShareTable next = sorted(table);
    AdoptedVersion adopted;
    adopted.version = next.version;
    for (const std::string& item : next.items)
        adopted.localShares[item] = shareIn(next, this->self, item);
    for (const auto& [holder, amounts] : next.holders)
        adopted.holders.insert(holder);
    // This holder used nothing yet, so shares of older versions do not limit it, but their holders may still use them.
    if (!this->started && !this->versions.empty()) {
        adopted.holders.insert(this->versions.back().holders.begin(), this->versions.back().holders.end());
        this->versions.clear();
    }
    for (const auto& [holder, amounts] : this->latest.holders) {
        if (isShareReduced(this->latest, next, holder))
            adopted.reducedHolders.insert(holder);
    }
    // A holder that was removed and is added again is a new process; the status of the former one is void.
    for (const auto& [holder, amounts] : next.holders) {
        const auto peer = this->peers.find(holder);
        if (peer != this->peers.end() && peer->second.status.hasEnded && !this->latest.holders.contains(holder))
            peer->second = { {}, this->queryCount };
    }
    const bool isNext = next.version == this->latest.version + 1;
    if (!isNext)
        this->firstSeen = next.version;
    this->versions.push_back(std::move(adopted));
    this->latest = std::move(next);
}

ShareQuery ShareHistory::makeQuery() { return { this->self, this->incarnation, ++this->queryCount }; }

ShareStatus ShareHistory::respondTo(const ShareQuery& query)
{
    PeerState& requester = this->peers[query.holder];
    if (requester.status.incarnation != query.incarnation) {
        requester.status = ShareStatus { .holder = query.holder, .incarnation = query.incarnation };
        requester.ignoredUpToQuery = this->queryCount;
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
    PeerState& peer = this->peers[status.holder];
    if (status.queryIncarnation != this->incarnation || status.queryNumber <= peer.ignoredUpToQuery)
        return;
    peer = { status, status.queryNumber };
    this->settle(now);
}

void ShareHistory::endHolder(std::string_view holder, TimePoint now)
{
    PeerState& peer = this->peers[std::string(holder)];
    peer.status.hasEnded = true;
    peer.ignoredUpToQuery = this->queryCount;
    this->settle(now);
}

bool ShareHistory::hasConfirmed(std::string_view holder, std::uint64_t version) const
{
    if (holder == this->self)
        return true;
    const auto peer = this->peers.find(holder);
    if (peer == this->peers.end())
        return false;
    const ShareStatus& report = peer->second.status;
    return report.hasEnded || (report.firstSeen <= version && version <= report.newest);
}

bool ShareHistory::haveAllConfirmed(std::uint64_t version, std::size_t count) const
{
    for (std::size_t at = 0; at < count; ++at) {
        for (const std::string& holder : this->versions[at].holders) {
            if (!this->hasConfirmed(holder, version))
                return false;
        }
    }
    return true;
}

void ShareHistory::startIfSafe(TimePoint now)
{
    if (this->versions.empty())
        return;
    const AdoptedVersion& adopted = this->versions.back();
    const bool hasTimedOut = this->absentHolderTimeout && now - this->startedAt >= *this->absentHolderTimeout;
    bool hasSettledPeer = false;
    bool haveAllJustStarted = true;
    for (const std::string& holder : adopted.holders) {
        if (holder == this->self)
            continue;
        const auto peer = this->peers.find(holder);
        const bool hasResponded = peer != this->peers.end()
            && (peer->second.status.hasEnded || peer->second.status.queryIncarnation == this->incarnation);
        if (!hasResponded) {
            if (!hasTimedOut)
                return;
            continue;
        }
        const ShareStatus& report = peer->second.status;
        // A newer version may reduce this holder's share, and its former process may have confirmed that version.
        if (report.newest > adopted.version || !this->hasConfirmed(holder, adopted.version))
            return;
        hasSettledPeer = hasSettledPeer || report.settled >= adopted.version;
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
    for (std::size_t at = this->versions.size(); at-- > 1;) {
        if (this->haveAllConfirmed(this->versions[at].version, at + 1)) {
            this->versions.erase(this->versions.begin(), this->versions.begin() + static_cast<std::ptrdiff_t>(at));
            break;
        }
    }
    while (this->versions.size() > 1 && this->versions[1].version == this->versions[0].version + 1) {
        const AdoptedVersion& next = this->versions[1];
        const bool isConfirmed = std::all_of(next.reducedHolders.begin(), next.reducedHolders.end(),
            [&](const std::string& holder) { return this->hasConfirmed(holder, next.version); });
        if (!isConfirmed)
            return;
        this->versions.pop_front();
    }
}

std::uint64_t ShareHistory::usable(std::string_view item) const { return this->started ? this->minimumShare(item) : 0; }

std::uint64_t ShareHistory::minimumShare(std::string_view item) const
{
    std::optional<std::uint64_t> minimum;
    for (const AdoptedVersion& adopted : this->versions) {
        const auto found = adopted.localShares.find(item);
        const std::uint64_t share = found == adopted.localShares.end() ? 0 : found->second;
        minimum = std::min(minimum.value_or(share), share);
    }
    return minimum.value_or(0);
}

std::uint64_t ShareHistory::settledVersion() const
{
    return this->started && !this->versions.empty() ? this->versions.front().version : 0;
}

} // namespace clementinefall::steering
