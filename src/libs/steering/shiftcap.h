#pragma once

#include "base/resultcode.h"
#include "steering/routing.h"
#include "steering/sharehistory.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::steering {

/// A spend is refused when the control thread's last tick is older. A process that resumes from a pause then spends
/// nothing before it has refreshed its view.
inline constexpr milliseconds maximumTickAge { 300 };

/// Time after the start in which nothing is spent: what the former process spent leaves every one-second window.
inline constexpr seconds restartWait { 1 };

/// Counts events in a sliding window of one second in buckets of 10 ms. A bucket counts until all of it has left the
/// window, so the count is never too low and at most 10 ms of events too high.
class SlidingWindow {
public:
    /// Events in the window that ends at \a now. \a now must not go backwards.
    std::uint64_t count(TimePoint now);
    void add(TimePoint now, std::uint64_t events);

private:
    static constexpr milliseconds bucketWidth { 10 };
    static constexpr std::size_t bucketCount = 101; // a full second and the bucket in progress

    void advance(TimePoint now);

    std::array<std::uint64_t, bucketCount> buckets {};
    std::int64_t newest = 0;
    std::uint64_t sum = 0;
};

/// Share of one instance in one shift cap.
struct ShiftCapShare {
    std::string key;
    std::uint64_t perSecond = 0; ///< What this instance may spend in any one-second window.
    std::uint64_t total = 0; ///< Of the cap, to notice that an operator lowered it.
    std::uint64_t epoch = 0;
    std::uint64_t reserved = 0; ///< Rest of the blocks of `epoch` that were taken from the platform.
    SlidingWindow window;
};

/// Shares of all caps of the bundle, by cap index of the snapshot last applied.
struct ShiftCapTable {
    TimePoint startedAt {};
    TimePoint lastTick {}; ///< Set by the control thread.
    std::vector<ShiftCapShare> shares;
};

/// Divides each cap's `perSecond` among the entry instances: three quarters to the ones in the cap's source location
/// and one quarter to the ones in its target location, which serve the source's callers that connect to them directly.
/// When one of the two has no instances the other has all. Instances elsewhere hold nothing.
ShareTable capShares(const RoutingSnapshot& snapshot);

/// Applies \a snapshot. What was spent and reserved is kept, except that a raised epoch or a lowered total discards the
/// rest of the block. Shares are 0 until applyShares().
void applySnapshot(ShiftCapTable& table, const RoutingSnapshot& snapshot);

/// Sets the shares to what \a history allows.
void applyShares(ShiftCapTable& table, const ShareHistory& history);

/// True if what this instance spent in the last second is within what it is pledged, and what its former process spent
/// has left the window. Only then may the instance confirm the newest version.
bool isWithinPledge(ShiftCapTable& table, const ShareHistory& history, TimePoint now);

/// Spends one request of \a service that callers of \a fromZone make and \a toZone executes, on every cap that covers
/// the move, or on none. The instance that sends it there, or runs it there for a caller that connected to it directly,
/// calls this once for each attempt. Returns Answered if the request may be carried, otherwise NotRunShiftCap.
ResultCode spendShift(
    ShiftCapTable& table, const RoutingSnapshot& snapshot, Index service, Index fromZone, Index toZone, TimePoint now);

/// True if spendShift() would succeed.
bool canShift(
    ShiftCapTable& table, const RoutingSnapshot& snapshot, Index service, Index fromZone, Index toZone, TimePoint now);

/// What the platform stores for a cap (object `caps/<key>`).
struct CapLedger {
    std::uint64_t epoch = 0;
    std::uint64_t spent = 0; ///< Reserved by all instances since the epoch began.
    std::string operationId; ///< Of the last reservation, to resolve a lost response.

    friend bool operator==(const CapLedger&, const CapLedger&) = default;
};

struct CapReservation {
    CapLedger next; ///< To be written on condition that the ledger has not changed.
    std::uint64_t amount = 0; ///< Reserved by the write.
    std::uint64_t total = 0; ///< Of the cap when the reservation was made.
};

/// Reservation of a block by \a share on top of \a current. A newer epoch starts from zero. Empty when the total is
/// used up or the ledger has a newer epoch than the share; an old bundle must not bring back an old count.
std::optional<CapReservation> reserveBlock(
    const CapLedger& current, const ShiftCapShare& share, std::string_view operationId);

/// Credits a reservation that was written. One of another epoch, or from before the total was lowered, is discarded.
void creditBlock(ShiftCapShare& share, const CapReservation& reservation);

/// True if the rest of the block is less than half a second's spending, so that a new one should be reserved.
bool needsBlock(const ShiftCapShare& share);

} // namespace clementinefall::steering
