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

/// Shifts are rejected when the control thread's last tick is older. A process that resumes from a pause therefore
/// shifts nothing before it has refreshed its view.
inline constexpr milliseconds maximumTickAge { 300 };

/// Time after the start in which nothing is shifted, until the shifts of the former process have left every one-second
/// window.
inline constexpr seconds restartWait { 1 };

/// Counts events in a sliding window of one second with buckets of 10 ms. A bucket counts until all of it has left the
/// window, so the count is never too low and at most 10 ms of events too high.
class SlidingWindow {
public:
    /// Number of events in the window that ends at \a now, which must not go backwards.
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
    std::uint64_t perSecond = 0; ///< Requests that this instance may shift in any one-second window.
    std::uint64_t total = 0; ///< Total of the cap, kept to detect that an operator lowered it.
    std::uint64_t epoch = 0;
    std::uint64_t reserved = 0; ///< Unspent requests of the blocks reserved in the platform for `epoch`.
    SlidingWindow window;
};

/// Shares of all caps of the bundle, by cap index of the snapshot last applied.
struct ShiftCapTable {
    TimePoint startedAt {};
    TimePoint lastTick {}; ///< Set by the control thread.
    std::vector<ShiftCapShare> shares;
};

/// Divides each cap's `perSecond` among the entry instances: three quarters to those in the cap's source location and
/// one quarter to those in its target location, which serve callers of the source that connect to them directly. When
/// one of the two has no instances, the other receives all. Instances elsewhere receive nothing.
ShareTable capShares(const RoutingSnapshot& snapshot);

/// Applies \a snapshot. Keeps what was spent and reserved, except that a changed epoch or a lowered total discards the
/// unspent part of the block. Shares are 0 until applyShares().
void applySnapshot(ShiftCapTable& table, const RoutingSnapshot& snapshot);

/// Sets the shares to what \a history allows.
void applyShares(ShiftCapTable& table, const ShareHistory& history);

/// Whether the shifts of this instance in the last second are within ShareHistory::minimumShare() and those of its
/// former process have left the window. Only then may the instance confirm the newest version.
bool isWithinMinimumShares(ShiftCapTable& table, const ShareHistory& history, TimePoint now);

/// Counts one request of \a service from a caller in \a fromZone that \a toZone executes against every cap that covers
/// the shift, or against none. The instance that sends it there, or executes it there for a caller that connected to it
/// directly, calls this once for each attempt. Returns Answered if the request may be forwarded, otherwise
/// NotRunShiftCap.
ResultCode spendShift(
    ShiftCapTable& table, const RoutingSnapshot& snapshot, Index service, Index fromZone, Index toZone, TimePoint now);

/// Whether spendShift() would succeed.
bool canShift(
    ShiftCapTable& table, const RoutingSnapshot& snapshot, Index service, Index fromZone, Index toZone, TimePoint now);

/// State of a cap in the platform (object `caps/<key>`).
struct CapLedger {
    std::uint64_t epoch = 0;
    std::uint64_t spent = 0; ///< Reserved by all instances since the epoch began.
    std::string operationId; ///< Identifies the last reservation, to detect its success when the response was lost.

    friend bool operator==(const CapLedger&, const CapLedger&) = default;
};

struct CapReservation {
    CapLedger next; ///< To be written if the ledger has not changed since.
    std::uint64_t amount = 0; ///< Requests that the write reserves.
    std::uint64_t total = 0; ///< Total of the cap when the reservation was made.
};

/// Reserves the next block for \a share on top of \a current. A newer epoch starts from zero. Empty when the total is
/// used up or the ledger has a newer epoch than the share, so that an old bundle does not restore an old count.
std::optional<CapReservation> reserveBlock(
    const CapLedger& current, const ShiftCapShare& share, std::string_view operationId);

/// Credits a reservation that was written. Discards it when it is of another epoch or the total was lowered since.
void creditBlock(ShiftCapShare& share, const CapReservation& reservation);

/// Whether the unspent part of the block is less than half a second's share, so that a new block should be reserved.
bool needsBlock(const ShiftCapShare& share);

} // namespace clementinefall::steering
