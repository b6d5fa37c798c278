#pragma once

#include "base/clock.h"
#include "http/clientconnection.h"
#include "platform/calllimiter.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace clementinefall::platform {

struct TransportSettings {
    HostPort address;
    double callsPerSecond = 5.0;
    double burst = 20.0;
};

/// Which connection a call uses. Idle ones may have become silent.
enum class ConnectionChoice : std::uint8_t { Any, New };

/// HTTP calls to the platform on one thread, with keep-alive connections and a limited call rate. Calls are not
/// retried.
class Transport : public std::enable_shared_from_this<Transport> {
public:
    /// The platform counts as unreachable when it does not accept a connection within this time. It covers several
    /// round trips between regions, and is short so that an attempt begun just before a network partition ends does not
    /// delay the next one for long.
    static constexpr milliseconds connectTimeout { 500 };

    Transport(asio::any_io_executor transportExecutor, TransportSettings transportSettings);

    /// The response, whatever its status. Errors: PlatformUnreachable, PlatformTimeout, PlatformBadAnswer,
    /// PlatformBudget. After PlatformTimeout or PlatformUnreachable the call may have taken effect.
    Awaitable<Result<http::Response>> call(
        http::Request request, milliseconds timeout, ConnectionChoice choice = ConnectionChoice::Any);

    /// Sends later calls to \a address. Calls in progress are not affected.
    void setAddress(const HostPort& address);

    /// Closes all established connections; the calls in progress on them end with PlatformUnreachable. To be called
    /// when the platform was found unreachable, since these calls might never get a response. Calls that are still
    /// connecting are not affected.
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
