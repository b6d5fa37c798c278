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

/// Divides \a amount whole units among \a holders: all receive the quotient, and the ones with the highest rendezvous
/// hash of name and \a key receive one unit of the remainder each. The sum is exactly \a amount.
std::vector<std::uint64_t> divideShares(
    std::uint64_t amount, std::string_view key, std::span<const std::string_view> holders);

/// Shares of one bundle version: for each holder the amounts of its items, which are caps, links or servers.
struct ShareTable {
    std::uint64_t version = 0;
    std::vector<std::string> items;
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> holders; ///< Amounts by position in `items`.
};

/// Asks another holder for its status. The number orders the answers, and the incarnation tells the receiver that the
/// asking holder was restarted.
struct ShareQuery {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
};

/// What a holder answers about the versions whose shares it observes. Carried by the peers' cap share status call.
struct ShareStatus {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t firstSeen = 0; ///< Each version from here to `newest` was adopted, without a gap.
    std::uint64_t newest = 0; ///< Newest version whose shares limit what the holder does; 0 before the first.
    std::uint64_t settled = 0; ///< Version whose shares the holder uses to the full; 0 before it has any.
    bool hasEnded = false; ///< The holder was stopped and spends nothing any more.
    std::uint64_t queryIncarnation = 0; ///< Incarnation and number of the query that this answers.
    std::uint64_t queryNumber = 0;
};

/// Decides how much of its shares one holder may use while others may still act on older or newer versions.
///
/// A holder observes the minimum of its shares over all versions that it adopted and that are not settled. It moves
/// from a version to the next one when every holder whose share falls has confirmed the next one, or, when it skipped
/// versions whose shares it does not know, when all holders have. So the sum over all holders never exceeds the amount
/// of the newest version that any holder has settled on, and no two holders need to talk at the same time.
///
/// A restarted holder has forgotten what it confirmed. It uses nothing until all others know of its new incarnation,
/// and so count no confirmation of the former one, have confirmed its version and no newer one, and either one of them
/// has settled on it or all have just started too. That can last as long as a holder is neither reachable nor replaced;
/// endHolder() releases it once its process is known to have ended.
class ShareHistory {
public:
    /// \a presumeAfter is the time after which a restarted holder stops waiting for the ones that never reported.
    /// Without a value it waits for all of them.
    ShareHistory(std::string self, std::uint64_t incarnation, TimePoint startedAt,
        std::optional<Duration> presumeAfter = std::nullopt);

    /// Adds the shares of a newer version. Older ones are ignored.
    void adopt(const ShareTable& table);

    /// Query for the other holders, to be sent about once a second and after each change.
    ShareQuery makeQuery();

    /// Answers \a query. When it comes from an unknown incarnation, drops what the other one confirmed and also its
    /// answers that are still under way.
    ShareStatus answer(const ShareQuery& query);

    /// Records an answer. One that was overtaken by a later query's answer is ignored, since it may be from a process
    /// that has ended.
    void recordStatus(const ShareStatus& status, TimePoint now);

    /// Records that the process of \a holder has ended, that none runs under its name, and that its use has ended too:
    /// one second after the end for caps, the longest deadline after it for slots. To be called also for each holder
    /// that a new version removes.
    void endHolder(std::string_view holder, TimePoint now);

    /// Drops the versions that no longer limit this holder. Call it after each change and once a second.
    void settle(TimePoint now);

    /// Amount of \a item that this holder may use now.
    std::uint64_t usable(std::string_view item) const;

    /// Amount of \a item that this holder may use once it observes all adopted versions. It confirms the newest version
    /// only when its use in the last window is within this amount.
    std::uint64_t pledged(std::string_view item) const;

    /// Notes that the use of every item in the last window is within pledged(), so that answers may confirm the newest
    /// version.
    void confirm() { this->confirmed = this->latest.version; }

    bool isStarted() const { return this->started; }
    std::uint64_t settledVersion() const;
    const std::vector<std::string>& items() const { return this->latest.items; }

private:
    struct Step {
        std::uint64_t version = 0;
        std::map<std::string, std::uint64_t, std::less<>> ownShares;
        std::set<std::string, std::less<>> holders;
        std::set<std::string, std::less<>> falling; ///< Holders whose share is lower than in the step before.
    };

    /// What is known of another holder.
    struct Report {
        ShareStatus status;
        std::uint64_t answered = 0; ///< Answers to queries up to this number are void.
    };

    bool hasSeen(std::string_view holder, std::uint64_t version) const;
    bool allHaveSeen(std::uint64_t version, std::size_t steps) const;
    void startIfSafe(TimePoint now);

    std::string self;
    std::uint64_t incarnation;
    TimePoint startedAt;
    std::optional<Duration> presumeAfter;
    bool started = false;
    std::uint64_t firstSeen = 0;
    std::uint64_t confirmed = 0;
    ShareTable latest;
    std::deque<Step> steps; ///< Oldest first; the front is the settled version.
    std::uint64_t queries = 0;
    std::map<std::string, Report, std::less<>> reports;
};

} // namespace clementinefall::steering
