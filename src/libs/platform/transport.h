#pragma once

#include "base/clock.h"
#include "http/clientconnection.h"
#include "platform/calllimiter.h"

#include <memory>
#include <vector>

namespace clementinefall::platform {

struct TransportSettings {
    HostPort address;
    double callsPerSecond = 5.0;
    double burst = 20.0;
};

/// HTTP calls to the platform on one thread: connections that are used again, and a budget. Each call is made once.
class Transport : public std::enable_shared_from_this<Transport> {
public:
    /// A platform that does not accept a connection within this time is taken as unreachable. Several round trips
    /// between regions; an attempt that began just before a cut healed must not delay the next one for long.
    static constexpr milliseconds connectTimeout { 500 };

    Transport(asio::any_io_executor transportExecutor, TransportSettings transportSettings);

    /// The response, whatever its status. Errors: PlatformUnreachable, PlatformTimeout, PlatformBadAnswer,
    /// PlatformBudget. After PlatformTimeout or PlatformUnreachable the call may have taken effect.
    Awaitable<Result<http::Response>> call(http::Request request, milliseconds timeout);

    /// Sends later calls to another address.
    void setAddress(const HostPort& address);

    /// Closes all connections; calls in progress end with PlatformUnreachable. For when the platform was found to be
    /// away: calls that still wait might never be answered.
    void dropConnections();

    std::uint64_t callCount() const { return this->calls; }

private:
    std::shared_ptr<http::ClientConnection> takeIdleConnection();

    asio::any_io_executor executor;
    TransportSettings settings;
    CallBudget budget;
    std::vector<std::shared_ptr<http::ClientConnection>> idle;
    std::vector<std::weak_ptr<http::ClientConnection>> busy;
    std::uint64_t calls = 0;
};

} // namespace clementinefall::platform
