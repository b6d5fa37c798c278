#include "peers/membershiptransport.h"

#include "base/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace clementinefall::peers {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr auto awaitResult = asio::as_tuple(asio::use_awaitable);

/// Datagrams handled before the control thread continues with other work. A member receives about five a second.
constexpr unsigned maximumDatagramsPerBatch = 64;

} // namespace

MembershipTransport::MembershipTransport(asio::io_context& context, MembershipTransportSettings transportSettings,
    membership::MemberTable initialTable, Random transportRandom, MembershipHandlers transportHandlers)
    : settings(transportSettings)
    , memberTable(std::move(initialTable))
    , random(transportRandom)
    , handlers(std::move(transportHandlers))
    , socket(context)
    , timer(context)
{
}

Status MembershipTransport::start()
{
    HostPort& address = this->memberTable.self.address;
    error_code error;
    const auto host = asio::ip::make_address(address.host, error);
    const udp::endpoint endpoint(host, address.port);
    if (!error)
        this->socket.open(endpoint.protocol(), error);
    if (!error)
        this->socket.bind(endpoint, error);
    if (!error)
        this->socket.non_blocking(true, error);
    if (error)
        return makeError(ResultCode::SettingsBadAddress, "{}: {}", address.text(), error.message());
    address.port = this->socket.local_endpoint().port();
    const auto self = this->shared_from_this();
    asio::co_spawn(
        this->socket.get_executor(), [self] { return self->receiveLoop(); }, asio::detached);
    asio::co_spawn(
        this->socket.get_executor(), [self] { return self->tickLoop(); }, asio::detached);
    return okStatus();
}

void MembershipTransport::leave()
{
    membership::StepResult step;
    membership::leave(this->memberTable, Clock::now(), this->random, step);
    this->apply(step);
}

void MembershipTransport::stop()
{
    this->isStopped = true;
    error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
}

asio::awaitable<void> MembershipTransport::receiveLoop()
{
    while (!this->isStopped) {
        const auto [error] = co_await this->socket.async_wait(udp::socket::wait_read, awaitResult);
        if (error)
            co_return;
        this->receivePending();
    }
}

asio::awaitable<void> MembershipTransport::tickLoop()
{
    while (!this->isStopped) {
        this->timer.expires_after(this->settings.tickPeriod);
        const auto [error] = co_await this->timer.async_wait(awaitResult);
        if (error || this->isStopped)
            co_return;
        // Responses that have arrived are handled before the tick checks their deadlines.
        this->receivePending();
        membership::StepResult step;
        membership::tick(this->memberTable, Clock::now(), this->random, step);
        this->apply(step);
    }
}

void MembershipTransport::receivePending()
{
    for (unsigned i = 0; i < maximumDatagramsPerBatch && !this->isStopped; ++i) {
        error_code error;
        udp::endpoint sender;
        const std::size_t size = this->socket.receive_from(asio::buffer(this->buffer), sender, 0, error);
        if (error == asio::error::would_block)
            return;
        if (error)
            continue; // ICMP errors for datagrams sent from this socket are reported here.
        this->handle({ this->buffer.data(), size });
    }
}

void MembershipTransport::handle(std::string_view datagram)
{
    ++this->counts.datagramsReceived;
    this->counts.bytesReceived += datagram.size();
    const auto message = membership::decodeMessage(datagram, this->settings.key);
    if (!isOk(message)) {
        this->recordRejection(errorOf(message));
        return;
    }
    membership::StepResult step;
    membership::receive(this->memberTable, Clock::now(), this->random, valueOf(message), step);
    this->apply(step);
}

void MembershipTransport::recordRejection(const Error& error)
{
    if (error.code == ResultCode::PeerBadAuthenticator)
        ++this->counts.rejectedAuthenticators;
    else if (error.code == ResultCode::PeerVersion)
        ++this->counts.rejectedVersions;
    else
        ++this->counts.rejectedMessages;
    logDebug("membership_datagram_refused", { { "error", error.text() } });
}

void MembershipTransport::apply(membership::StepResult& step)
{
    for (const Error& error : step.errors)
        this->recordRejection(error);
    for (const membership::OutgoingMessage& outgoing : step.sends)
        this->send(outgoing);
    // Handlers are called last, because they may stop this object.
    for (const membership::MemberChange& change : step.changes) {
        logInfo("member_changed",
            { { "name", change.record.name }, { "address", change.record.address.text() },
                { "state", membership::memberStateName(change.record.state) },
                { "incarnation", change.record.incarnation } });
        if (this->handlers.changed)
            this->handlers.changed(change);
    }
    if (step.resumed && this->handlers.resumed)
        this->handlers.resumed();
    if (step.superseded && this->handlers.superseded)
        this->handlers.superseded();
}

void MembershipTransport::send(const membership::OutgoingMessage& outgoing)
{
    const auto datagram = membership::encodeMessage(outgoing.message, this->settings.key);
    if (!isOk(datagram)) {
        logError("membership_message_not_encoded", { { "error", errorOf(datagram).text() } });
        return;
    }
    error_code error;
    const auto host = asio::ip::make_address(outgoing.to.host, error);
    if (!error) {
        // A full socket buffer or an unreachable network is treated as packet loss, which the protocol tolerates.
        this->socket.send_to(asio::buffer(valueOf(datagram)), { host, outgoing.to.port }, 0, error);
    }
    if (error)
        return;
    ++this->counts.datagramsSent;
    this->counts.bytesSent += valueOf(datagram).size();
}

} // namespace clementinefall::peers
