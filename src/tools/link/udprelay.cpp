#include "link/udprelay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace clementinefall::link {

using asio::ip::udp;

namespace {

constexpr std::size_t maximumDatagramBytes = 65'536;
constexpr std::size_t maximumSessions = 1024;
constexpr std::size_t maximumDatagramsInFlight = 8192;

} // namespace

/// Socket to the target for one sender.
struct UdpRelay::Session {
    Session(asio::io_context& context, udp::endpoint senderEndpoint)
        : sender(std::move(senderEndpoint))
        , socket(context)
    {
    }

    udp::endpoint sender;
    udp::socket socket;
    std::array<bool, 2> silent {}; ///< Indexed by Direction.
};

UdpRelay::UdpRelay(asio::io_context& relayContext, std::shared_ptr<RelayState> relayState)
    : context(relayContext)
    , state(std::move(relayState))
    , socket(relayContext)
{
}

Status UdpRelay::start()
{
    beast::error_code error;
    const udp::endpoint endpoint(asio::ip::make_address(this->state->listen.host, error), this->state->listen.port);
    if (!error)
        this->socket.open(endpoint.protocol(), error);
    if (!error)
        this->socket.bind(endpoint, error);
    if (error)
        return makeError(ResultCode::SettingsBadAddress, "relay {} cannot bind {}: {}", this->state->name,
            this->state->listen.text(), error.message());
    this->state->listen.port = this->socket.local_endpoint().port();
    asio::co_spawn(this->context, this->receiveForward(this->shared_from_this()), asio::detached);
    return okStatus();
}

void UdpRelay::silenceExisting(Direction direction)
{
    for (const auto& [sender, session] : this->sessions)
        session->silent[static_cast<std::size_t>(direction)] = true;
}

void UdpRelay::endSilence()
{
    for (const auto& [sender, session] : this->sessions)
        session->silent = {};
}

UdpRelay::SessionPtr UdpRelay::findOrCreateSession(const udp::endpoint& sender)
{
    const auto found = this->sessions.find(sender);
    if (found != this->sessions.end())
        return found->second;
    if (this->sessions.size() >= maximumSessions)
        return nullptr;
    auto session = std::make_shared<Session>(this->context, sender);
    const HostPort& target = this->state->target;
    const udp::endpoint endpoint(asio::ip::make_address(target.host), target.port);
    beast::error_code error;
    session->socket.connect(endpoint, error);
    if (error)
        return nullptr;
    this->sessions.emplace(sender, session);
    asio::co_spawn(this->context, this->receiveBackward(this->shared_from_this(), session), asio::detached);
    return session;
}

Awaitable<void> UdpRelay::receiveForward(std::shared_ptr<UdpRelay> self)
{
    std::string buffer(maximumDatagramBytes, '\0');
    udp::endpoint sender;
    while (self->socket.is_open()) {
        const auto [error, bytes] = co_await self->socket.async_receive_from(asio::buffer(buffer), sender, useTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        const SessionPtr session = self->findOrCreateSession(sender);
        if (session)
            self->forward(session, Direction::Forward, std::string_view(buffer).substr(0, bytes));
        else
            ++self->state->path(Direction::Forward).counters.overflow;
    }
}

Awaitable<void> UdpRelay::receiveBackward(std::shared_ptr<UdpRelay> self, SessionPtr session)
{
    std::string buffer(maximumDatagramBytes, '\0');
    while (session->socket.is_open()) {
        const auto [error, bytes] = co_await session->socket.async_receive(asio::buffer(buffer), useTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        // While the target is down, receives fail with ICMP errors, which are not passed on to the sender.
        if (!error)
            self->forward(session, Direction::Backward, std::string_view(buffer).substr(0, bytes));
    }
}

void UdpRelay::forward(const SessionPtr& session, Direction direction, std::string_view data)
{
    Path& path = this->state->path(direction);
    if (this->state->cut || path.silent || session->silent[static_cast<std::size_t>(direction)]) {
        path.counters.silencedBytes += data.size();
        return;
    }
    if (sampleLoss(path.quality, this->state->random)) {
        ++path.counters.lost;
        return;
    }
    if (this->datagramsInFlight >= maximumDatagramsInFlight) {
        ++path.counters.overflow;
        return;
    }
    ++this->datagramsInFlight;
    const Duration delay = sampleDelay(path.quality, this->state->random);
    asio::co_spawn(this->context, this->deliver(this->shared_from_this(), session, direction, std::string(data), delay),
        asio::detached);
}

Awaitable<void> UdpRelay::deliver(
    std::shared_ptr<UdpRelay> self, SessionPtr session, Direction direction, std::string data, Duration delay)
{
    if (delay > Duration::zero()) {
        asio::steady_timer timer(self->context, delay);
        co_await timer.async_wait(useTuple);
    }
    --self->datagramsInFlight;
    beast::error_code error;
    if (direction == Direction::Forward)
        session->socket.send(asio::buffer(data), 0, error);
    else
        self->socket.send_to(asio::buffer(data), session->sender, 0, error);
    Path& path = self->state->path(direction);
    if (error)
        co_return;
    path.counters.bytes += data.size();
    ++path.counters.pieces;
}

} // namespace clementinefall::link
