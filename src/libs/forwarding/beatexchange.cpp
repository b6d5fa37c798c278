#include "forwarding/beatexchange.h"

#include "base/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace clementinefall::forwarding {

using asio::ip::udp;

namespace {

/// Longer silence between two beats would count as death.
constexpr milliseconds longestInterval { 1000 };

} // namespace

milliseconds beatInterval(const BeatTiming& timing, bool isSameZone, std::size_t others)
{
    const milliseconds wanted = isSameZone ? timing.inZone : timing.elsewhere;
    const milliseconds bounded { others * 1000 / timing.perSecond };
    return std::max(wanted, std::min(bounded, longestInterval));
}

BeatExchange::BeatExchange(asio::any_io_executor exchangeExecutor, std::shared_ptr<InstanceTable> instanceTable)
    : executor(std::move(exchangeExecutor))
    , table(std::move(instanceTable))
    , socket(this->executor)
{
}

Status BeatExchange::open(const HostPort& address)
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
    asio::co_spawn(
        this->executor, [self]() -> Awaitable<void> { return self->receiveLoop(); }, asio::detached);
    return okStatus();
}

void BeatExchange::close()
{
    beast::error_code ignored;
    this->socket.close(ignored);
}

void BeatExchange::send(const InstanceInfo& target, const std::string& text)
{
    beast::error_code error;
    const udp::endpoint endpoint(asio::ip::make_address(target.beats.host, error), target.beats.port);
    if (!error)
        this->socket.send_to(asio::buffer(text), endpoint, 0, error);
    // A beat that cannot be sent counts as lost; the receiver's silence detection is made for that.
    if (error)
        logDebug("beat_not_sent", { { "to", target.name }, { "error", error.message() } });
}

void BeatExchange::sendDue(const Beat& beat, TimePoint now)
{
    const std::vector<InstanceInfo> others = this->table->others();
    Beat brief = beat;
    brief.inFlight.clear();
    const std::string fullText = encodeBeat(beat, now);
    const std::string briefText = encodeBeat(brief, now);
    for (const InstanceInfo& target : others) {
        const bool isSameZone = target.zone == this->table->own().zone;
        TimePoint& last = this->lastSent[target.name];
        if (now - last + milliseconds(20) < beatInterval(this->timing, isSameZone, others.size()))
            continue;
        last = now;
        this->send(target, isSameZone ? fullText : briefText);
    }
}

void BeatExchange::sendToAll(const Beat& beat, TimePoint now)
{
    const std::string text = encodeBeat(beat, now);
    for (const InstanceInfo& target : this->table->others())
        this->send(target, text);
}

Awaitable<void> BeatExchange::receiveLoop()
{
    const auto self = this->shared_from_this();
    while (this->socket.is_open()) {
        udp::endpoint sender;
        const auto [error, bytes]
            = co_await this->socket.async_receive_from(asio::buffer(this->datagram), sender, useTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        if (error)
            continue; // For example an unreachable port of an instance that is gone.
        const TimePoint now = Clock::now();
        const Result<Beat> beat = decodeBeat({ this->datagram.data(), bytes }, now);
        if (!isOk(beat)) {
            logWarning("beat_rejected", { { "from", sender.address().to_string() }, { "why", errorOf(beat).text() } });
            continue;
        }
        if (this->table->note(valueOf(beat), now) && this->onBeat)
            this->onBeat(valueOf(beat));
    }
}

} // namespace clementinefall::forwarding
