#include "forwarding/requestqueue.h"

#include <iterator>

namespace clementinefall::forwarding {

Awaitable<bool> RequestQueue::wait(asio::any_io_executor executor, QueueRank rank, TimePoint until,
    std::function<void(std::function<void()>)> setCancel)
{
    auto timer = std::make_shared<asio::steady_timer>(executor, until);
    this->waiting.emplace(rank, timer);
    bool wasCancelled = false;
    setCancel([timer, &wasCancelled] {
        wasCancelled = true;
        timer->cancel();
    });
    co_await timer->async_wait(useTuple);
    setCancel({});
    // wake() removes the requests that it selects.
    const bool wasWoken = this->waiting.erase(rank) == 0;
    co_return wasWoken && !wasCancelled;
}

void RequestQueue::wake(std::size_t count)
{
    while (count-- > 0 && !this->waiting.empty()) {
        const auto first = this->waiting.begin();
        const auto timer = first->second;
        this->waiting.erase(first);
        timer->cancel();
    }
}

std::size_t RequestQueue::ahead(const QueueRank& rank) const
{
    return static_cast<std::size_t>(std::distance(this->waiting.begin(), this->waiting.lower_bound(rank)));
}

} // namespace clementinefall::forwarding
