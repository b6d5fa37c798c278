#pragma once

#include "base/settings.h"
#include "forwarding/callersession.h"

#include <memory>
#include <vector>

namespace clementinefall::forwarding {

/// Accepts connections of callers, or of other entry instances, on one address and runs a session for each.
class CallerServer : public std::enable_shared_from_this<CallerServer> {
public:
    CallerServer(asio::any_io_executor serverExecutor, std::shared_ptr<SessionContext> sessionContext,
        std::size_t maximumConnections, RequestSource requestSource = RequestSource::Caller);

    /// Binds to \a address and starts accepting connections. Error: SettingsBadAddress.
    Status listen(const HostPort& address);
    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    void stopAccepting();
    /// Closes the connections that have no request in progress.
    void closeIdle();
    std::size_t openConnections();

private:
    Awaitable<void> acceptLoop();
    void startSession(asio::ip::tcp::socket socket, SessionMode mode = SessionMode::Serve);
    /// Removes expired sessions from the list.
    void removeClosed();

    asio::any_io_executor executor;
    std::shared_ptr<SessionContext> context;
    std::size_t connectionLimit;
    RequestSource source;
    asio::ip::tcp::acceptor acceptor;
    std::vector<std::weak_ptr<CallerSession>> sessions;
};

} // namespace clementinefall::forwarding
