#pragma once

#include "base/clock.h"
#include "http/awaitable.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <tuple>

namespace clementinefall::forwarding {

/// Order of the queue: requests that can still meet their target latency first, then the most urgent route (the lowest
/// priority value), then the earliest target.
struct QueueRank {
    unsigned priority = 0;
    bool isLate = false; ///< Can no longer meet its target.
    TimePoint target {};
    std::uint64_t arrival = 0; ///< From RequestQueue::nextArrival(); makes the rank unique.

    friend bool operator<(const QueueRank& left, const QueueRank& right)
    {
        return std::tie(left.isLate, left.priority, left.target, left.arrival)
            < std::tie(right.isLate, right.priority, right.target, right.arrival);
    }
};

/// Queue of the requests of one service that wait for capacity at a backend server. Absorbs bursts of about one
/// processing time, which would otherwise be rejected although a server becomes free soon.
class RequestQueue {
public:
    /// Waits until wake() selects this request. Returns false when \a until is reached first or the wait is cancelled.
    /// \a setCancel receives the function that cancels the wait, and an empty one when the wait has ended.
    Awaitable<bool> wait(asio::any_io_executor executor, QueueRank rank, TimePoint until,
        std::function<void(std::function<void()>)> setCancel);

    /// Wakes the first \a count requests; those that still find no capacity wait again.
    void wake(std::size_t count);

    std::size_t size() const { return this->waiting.size(); }
    /// Number of queued requests that are served before one with \a rank.
    std::size_t ahead(const QueueRank& rank) const;
    std::uint64_t nextArrival() { return ++this->arrivalCount; }

private:
    std::map<QueueRank, std::shared_ptr<asio::steady_timer>> waiting;
    std::uint64_t arrivalCount = 0;
};

} // namespace clementinefall::forwarding
