#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::steering {

/// Divides \a amount whole units among \a holders: each receives the quotient, and those with the highest rendezvous
/// hash of name and \a key receive one unit of the remainder each. The sum is exactly \a amount.
std::vector<std::uint64_t> divideShares(
    std::uint64_t amount, std::string_view key, std::span<const std::string_view> holders);

/// Shares of one bundle version: for each holder the amounts of its items, which are caps, links or servers.
struct ShareTable {
    std::uint64_t version = 0;
    std::vector<std::string> items;
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> holders; ///< Amounts by position in `items`.
};

/// Query for another holder's status. The number orders the responses; a new incarnation shows that the querying holder
/// was restarted.
struct ShareQuery {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
};

/// Response to a ShareQuery: the versions whose shares a holder observes. Sent in the peers' cap share status call.
struct ShareStatus {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t firstSeen = 0; ///< The holder adopted each version from this one to `newest`.
    std::uint64_t newest = 0; ///< Newest version whose shares the holder observes; 0 before the first.
    std::uint64_t settled = 0; ///< Newest version that the holder has settled on; 0 before the first.
    bool hasEnded = false; ///< The holder was stopped and uses nothing any more.
    std::uint64_t queryIncarnation = 0; ///< Incarnation and number of the query to which this responds.
    std::uint64_t queryNumber = 0;
};

/// Decides how much of its shares one holder may use while others may still use shares of older or newer versions.
///
/// A holder observes the minimum of its shares over all versions that it adopted and that are not settled. It moves
/// from a version to the next one when every holder whose share is reduced has confirmed the next one or, when it
/// skipped versions and so lacks their shares, when all holders have. So the sum over all holders never exceeds the
/// amount of the newest version that any holder has settled on, and no two holders need to be connected at the same
/// time.
///
/// A restarted holder has lost what it confirmed. It uses nothing until all others have received its new incarnation,
/// and so discard confirmations of the former one, have confirmed its version and no newer one, and either one of them
/// has settled on it or all were just started too. That can last as long as a holder is neither reachable nor replaced;
/// endHolder() for that holder ends the wait once its process is known to have ended.
class ShareHistory {
public:
    /// After \a absentHolderTimeout a restarted holder stops waiting for holders that never responded. Without a value
    /// it waits for all of them.
    ShareHistory(std::string self, std::uint64_t incarnation, TimePoint startedAt,
        std::optional<Duration> absentHolderTimeout = std::nullopt);

    /// Adds the shares of a newer version. Tables of older versions are ignored.
    void adopt(const ShareTable& table);

    /// Creates a query for the other holders, to be sent about once a second and after each change.
    ShareQuery makeQuery();

    /// Responds to \a query. When its incarnation is new, discards what the former one confirmed and ignores the former
    /// one's responses that are still in flight.
    ShareStatus respondTo(const ShareQuery& query);

    /// Records the response of another holder. Ignored when the response to a later query arrived before, since it may
    /// be from a process that has ended.
    void recordStatus(const ShareStatus& status, TimePoint now);

    /// Records that the process of \a holder has ended, that no other runs under its name, and that its use has ended:
    /// one second after the process for caps, the longest deadline after it for slots. Call it also for each holder
    /// that a new version removes.
    void endHolder(std::string_view holder, TimePoint now);

    /// Drops the versions that no longer limit this holder. Call it after each change and once a second.
    void settle(TimePoint now);

    /// Amount of \a item that this holder may use now.
    std::uint64_t usable(std::string_view item) const;

    /// Amount of \a item that this holder may use once it observes all adopted versions. It confirms the newest version
    /// only when its use in the last window is within this amount.
    std::uint64_t minimumShare(std::string_view item) const;

    /// Allows responses to confirm the newest version. Call it only when the use of every item in the last window is
    /// within minimumShare().
    void confirm() { this->confirmed = this->latest.version; }

    bool isStarted() const { return this->started; }
    std::uint64_t settledVersion() const;
    const std::vector<std::string>& items() const { return this->latest.items; }

private:
    struct AdoptedVersion {
        std::uint64_t version = 0;
        std::map<std::string, std::uint64_t, std::less<>> localShares;
        std::set<std::string, std::less<>> holders;
        std::set<std::string, std::less<>> reducedHolders; ///< Holders whose share is lower than in the version before.
    };

    /// Last status of another holder.
    struct PeerState {
        ShareStatus status;
        std::uint64_t ignoredUpToQuery = 0; ///< Responses to queries up to this number are ignored.
    };

    bool hasConfirmed(std::string_view holder, std::uint64_t version) const;
    bool haveAllConfirmed(std::uint64_t version, std::size_t count) const;
    void startIfSafe(TimePoint now);

    std::string self;
    std::uint64_t incarnation;
    TimePoint startedAt;
    std::optional<Duration> absentHolderTimeout;
    bool started = false;
    std::uint64_t firstSeen = 0;
    std::uint64_t confirmed = 0;
    ShareTable latest;
    std::deque<AdoptedVersion> versions; ///< Oldest first; the front is the settled version.
    std::uint64_t queryCount = 0;
    std::map<std::string, PeerState, std::less<>> peers;
};

} // namespace clementinefall::steering
