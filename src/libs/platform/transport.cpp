#include "platform/transport.h"

#include "platform/platformprotocol.h"

#include <algorithm>
#include <utility>

namespace clementinefall::platform {

using http::Request;
using http::Response;

namespace {

/// Above the usual number of concurrent calls of one Transport.
constexpr std::size_t maximumIdleConnections = 6;
constexpr milliseconds maximumIdleTime { 15'000 };

Error toPlatformError(const Error& error)
{
    switch (error.code) {
    case ResultCode::UnknownTimeout:
        return makeError(ResultCode::PlatformTimeout, "{}", error.message);
    case ResultCode::UnknownAnswerInvalid:
    case ResultCode::BodyTooLarge:
        return makeError(ResultCode::PlatformBadAnswer, "{}", error.message);
    default:
        return makeError(ResultCode::PlatformUnreachable, "{}", error.message);
    }
}

} // namespace

Transport::Transport(asio::any_io_executor transportExecutor, TransportSettings transportSettings)
    : executor(std::move(transportExecutor))
    , settings(std::move(transportSettings))
    , budget { this->settings.callsPerSecond, this->settings.burst, this->settings.burst, Clock::now() }
{
}

void Transport::setAddress(const HostPort& address)
{
    if (address == this->settings.address)
        return;
    this->settings.address = address;
    for (const auto& connection : this->idle)
        connection->close();
    this->idle.clear();
}

void Transport::dropConnections()
{
    for (const auto& connection : this->idle)
        connection->close();
    this->idle.clear();
    for (const auto& weak : std::exchange(this->busy, {})) {
        if (const auto connection = weak.lock())
            connection->close();
    }
}

std::shared_ptr<http::ClientConnection> Transport::takeIdleConnection()
{
    while (!this->idle.empty()) {
        auto connection = this->idle.back();
        this->idle.pop_back();
        if (Clock::now() - connection->lastUsedAt() < maximumIdleTime && !connection->hasPendingInput())
            return connection;
        connection->close();
    }
    return nullptr;
}

Awaitable<Result<Response>> Transport::call(Request request, milliseconds timeout, ConnectionChoice choice)
{
    const auto self = this->shared_from_this();
    if (!tryConsumeCall(this->budget, Clock::now()))
        co_return makeError(ResultCode::PlatformBudget, "call rate limit reached: {} calls per second, burst {}",
            this->settings.callsPerSecond, this->settings.burst);
    ++this->calls;
    const TimePoint start = Clock::now();
    const TimePoint deadline = start + timeout;
    const HostPort address = this->settings.address;
    auto connection = choice == ConnectionChoice::Any ? this->takeIdleConnection() : nullptr;
    if (!connection) {
        connection = std::make_shared<http::ClientConnection>(this->executor);
        const Status connected
            = co_await connection->connect(address, std::min<TimePoint>(deadline, start + Transport::connectTimeout));
        if (!isOk(connected))
            co_return makeError(ResultCode::PlatformUnreachable, "{}", errorOf(connected).message);
    }
    this->busy.push_back(connection);
    const Result<Response> response = co_await connection->exchange(std::move(request), maximumListBytes, deadline);
    std::erase_if(this->busy, [&connection](const auto& weak) { return weak.lock() == connection; });
    if (!isOk(response))
        co_return toPlatformError(errorOf(response));
    if (connection->isReusable() && this->idle.size() < maximumIdleConnections && address == this->settings.address)
        this->idle.push_back(connection);
    co_return valueOf(response);
}

} // namespace clementinefall::platform
