#include "forwarding/permitclient.h"

namespace clementinefall::forwarding {

PermitClient::PermitClient(asio::any_io_executor clientExecutor)
    : executor(std::move(clientExecutor))
    , lastNumber(systemSeededRandom()() >> 1U) // Fits the signed integers of JSON.
{
}

Awaitable<std::optional<PermitReply>> PermitClient::ask(
    HostPort coordinator, PermitRequest request, Duration timeout, std::function<void(std::function<void()>)> setCancel)
{
    const auto self = this->shared_from_this();
    if (!this->send)
        co_return std::nullopt;
    const TimePoint now = Clock::now();
    const std::uint64_t number = ++this->lastNumber;
    request.number = number;
    auto waiting = std::make_shared<Pending>(Pending { asio::steady_timer(this->executor, now + timeout), {} });
    this->pending[number] = waiting;
    setCancel([waiting] { waiting->timer.cancel(); });
    this->send(coordinator, encodePermitMessage(request, now));
    co_await waiting->timer.async_wait(useTuple);
    setCancel({});
    this->pending.erase(number);
    co_return waiting->reply;
}

void PermitClient::report(const HostPort& coordinator, const std::string& server, const RateLimitState& limit)
{
    if (!this->send)
        return;
    const PermitRequest request { .number = 0, .server = server, .maximumDelay = {}, .limit = limit };
    this->send(coordinator, encodePermitMessage(request, Clock::now()));
}

void PermitClient::receive(const PermitReply& reply)
{
    const auto found = this->pending.find(reply.number);
    if (found == this->pending.end())
        return;
    found->second->reply = reply;
    found->second->timer.cancel();
}

} // namespace clementinefall::forwarding
