#include "forwarding/waitingroom.h"

#include <iterator>

namespace clementinefall::forwarding {

Awaitable<bool> WaitingRoom::wait(asio::any_io_executor executor, WaitingRank rank, TimePoint until,
    std::function<void(std::function<void()>)> setCancel)
{
    auto timer = std::make_shared<asio::steady_timer>(executor, until);
    this->waiting.emplace(rank, timer);
    bool left = false;
    setCancel([timer, &left] {
        left = true;
        timer->cancel();
    });
    co_await timer->async_wait(useTuple);
    setCancel({});
    // wake() has removed the entry of a request that it chose.
    const bool chosen = this->waiting.erase(rank) == 0;
    co_return chosen && !left;
}

void WaitingRoom::wake(std::size_t count)
{
    while (count-- > 0 && !this->waiting.empty()) {
        const auto first = this->waiting.begin();
        const auto timer = first->second;
        this->waiting.erase(first);
        timer->cancel();
    }
}

std::size_t WaitingRoom::ahead(const WaitingRank& rank) const
{
    return static_cast<std::size_t>(std::distance(this->waiting.begin(), this->waiting.lower_bound(rank)));
}

} // namespace clementinefall::forwarding
