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

/// Order in which waiting requests get room: those that can still be in time first, among them the more urgent route,
/// and then the earliest target.
struct WaitingRank {
    unsigned priority = 0;
    bool isLate = false;
    TimePoint target {};
    std::uint64_t arrival = 0;

    friend bool operator<(const WaitingRank& left, const WaitingRank& right)
    {
        return std::tie(left.isLate, left.priority, left.target, left.arrival)
            < std::tie(right.isLate, right.priority, right.target, right.arrival);
    }
};

/// Requests of one service that wait for room at a backend server. Answers bursts of about a working time, which
/// would otherwise be refused although a server is free soon.
class WaitingRoom {
public:
    /// Waits until wakeNext() chooses this request or \a until. Returns false at \a until and when \a cancel ran.
    Awaitable<bool> wait(asio::any_io_executor executor, WaitingRank rank, TimePoint until,
        std::function<void(std::function<void()>)> setCancel);

    /// Wakes the first \a count requests; those that still find no room wait again.
    void wake(std::size_t count);

    std::size_t size() const { return this->waiting.size(); }
    /// Requests that would be served before one with \a rank.
    std::size_t ahead(const WaitingRank& rank) const;
    std::uint64_t nextArrival() { return ++this->arrivals; }

private:
    std::map<WaitingRank, std::shared_ptr<asio::steady_timer>> waiting;
    std::uint64_t arrivals = 0;
};

} // namespace clementinefall::forwarding
