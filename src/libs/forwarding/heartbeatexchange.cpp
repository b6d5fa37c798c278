#include "forwarding/heartbeatexchange.h"

#include "base/log.h"
#include "http/spawn.h"

#include <algorithm>

namespace clementinefall::forwarding {

using asio::ip::udp;

namespace {

/// Bounds the interval in large fleets; with a longer one, a few lost heartbeats would exceed the liveness timeout.
constexpr milliseconds maximumInterval { 1000 };

} // namespace

milliseconds heartbeatInterval(const HeartbeatTiming& timing, bool isSameZone, std::size_t others)
{
    const milliseconds minimumInterval = isSameZone ? timing.sameZoneInterval : timing.otherZoneInterval;
    const milliseconds rateLimitedInterval { others * 1000 / timing.maximumPerSecond };
    return std::max(minimumInterval, std::min(rateLimitedInterval, maximumInterval));
}

HeartbeatExchange::HeartbeatExchange(
    asio::any_io_executor exchangeExecutor, std::shared_ptr<InstanceTable> instanceTable)
    : executor(std::move(exchangeExecutor))
    , table(std::move(instanceTable))
    , socket(this->executor)
{
}

Status HeartbeatExchange::open(const HostPort& address)
{
    beast::error_code error;
    const udp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (!error)
        this->socket.open(endpoint.protocol(), error);
    if (!error)
        this->socket.bind(endpoint, error);
    if (!error)
        this->socket.non_blocking(true, error);
    if (error)
        return makeError(ResultCode::SettingsBadAddress, "cannot bind {}: {}", address.text(), error.message());
    const auto self = this->shared_from_this();
    http::spawnLoop(this->executor, "heartbeats", [self] { return self->receiveLoop(); });
    return okStatus();
}

void HeartbeatExchange::close()
{
    beast::error_code ignored;
    this->socket.close(ignored);
}

void HeartbeatExchange::sendTo(const HostPort& instance, const std::string& text)
{
    beast::error_code error;
    const udp::endpoint endpoint(asio::ip::make_address(instance.host, error), instance.port);
    if (!error)
        this->socket.send_to(asio::buffer(text), endpoint, 0, error);
    // Counts as a lost message, which the receivers allow for.
    if (error)
        logDebug("beat_not_sent", { { "to", instance.text() }, { "error", error.message() } });
}

void HeartbeatExchange::receivePermitMessage(std::string_view text, const udp::endpoint& sender, TimePoint now)
{
    const HostPort from { sender.address().to_string(), sender.port() };
    const Result<PermitMessage> message = decodePermitMessage(text, now);
    if (!isOk(message)) {
        logWarning("permit_message_rejected", { { "from", from.text() }, { "why", errorOf(message).text() } });
        return;
    }
    if (this->onPermitMessage)
        this->onPermitMessage(valueOf(message), from);
}

void HeartbeatExchange::sendDue(const Heartbeat& heartbeat, TimePoint now)
{
    const std::vector<InstanceInfo> others = this->table->others();
    Heartbeat withoutLoad = heartbeat;
    withoutLoad.inFlight.clear();
    const std::string fullText = encodeHeartbeat(heartbeat, now);
    const std::string withoutLoadText = encodeHeartbeat(withoutLoad, now);
    for (const InstanceInfo& target : others) {
        const bool isSameZone = target.zone == this->table->localInstance().zone;
        TimePoint& last = this->lastSent[target.name];
        if (now - last + milliseconds(20) < heartbeatInterval(this->timing, isSameZone, others.size()))
            continue;
        last = now;
        this->sendTo(target.heartbeats, this->withClockFor(target, isSameZone ? fullText : withoutLoadText, now));
    }
    this->forgetUnregistered(others);
}

std::string HeartbeatExchange::withClockFor(const InstanceInfo& target, const std::string& text, TimePoint now) const
{
    const auto known = this->clocks.find(target.name);
    const bool isSame = known != this->clocks.end() && known->second.incarnation == target.incarnation;
    return withClock(text, now, isSame ? known->second.clock.echo : std::nullopt);
}

const PeerClock& HeartbeatExchange::recordClock(const Heartbeat& heartbeat, TimePoint now)
{
    KnownClock& known = this->clocks[heartbeat.name];
    if (known.incarnation != heartbeat.incarnation)
        known = { .incarnation = heartbeat.incarnation, .clock = {} };
    if (heartbeat.clock)
        recordStamp(known.clock, *heartbeat.clock, now);
    if (heartbeat.echo)
        recordEcho(known.clock, *heartbeat.echo, now);
    return known.clock;
}

void HeartbeatExchange::forgetUnregistered(const std::vector<InstanceInfo>& registered)
{
    if (this->clocks.size() <= registered.size())
        return;
    std::erase_if(this->clocks, [&registered](const auto& entry) {
        return std::none_of(registered.begin(), registered.end(),
            [&entry](const InstanceInfo& info) { return info.name == entry.first; });
    });
}

void HeartbeatExchange::sendToAll(const Heartbeat& heartbeat, TimePoint now)
{
    this->sendTo(this->table->others(), heartbeat, now);
}

void HeartbeatExchange::sendTo(const std::vector<InstanceInfo>& targets, const Heartbeat& heartbeat, TimePoint now)
{
    const std::string text = encodeHeartbeat(heartbeat, now);
    for (const InstanceInfo& target : targets) {
        if (target.name != this->table->localInstance().name)
            this->sendTo(target.heartbeats, this->withClockFor(target, text, now));
    }
}

Awaitable<void> HeartbeatExchange::receiveLoop()
{
    const auto self = this->shared_from_this();
    while (this->socket.is_open()) {
        udp::endpoint sender;
        const auto [error, bytes]
            = co_await this->socket.async_receive_from(asio::buffer(this->datagram), sender, useTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        if (error)
            continue; // For example, the port of a stopped instance is unreachable.
        const TimePoint now = Clock::now();
        const std::string_view text { this->datagram.data(), bytes };
        if (isPermitMessage(text)) {
            this->receivePermitMessage(text, sender, now);
            continue;
        }
        const Result<Heartbeat> heartbeat = decodeHeartbeat(text, now);
        if (!isOk(heartbeat)) {
            logWarning(
                "beat_rejected", { { "from", sender.address().to_string() }, { "why", errorOf(heartbeat).text() } });
            continue;
        }
        if (!this->table->recordHeartbeat(valueOf(heartbeat), now))
            continue;
        const PeerClock& clock = this->recordClock(valueOf(heartbeat), now);
        if (this->onHeartbeat)
            this->onHeartbeat(valueOf(heartbeat), clock);
    }
}

} // namespace clementinefall::forwarding
