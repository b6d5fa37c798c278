#include "forwarding/callerserver.h"

#include "base/log.h"
#include "http/sockets.h"
#include "http/spawn.h"

#include <boost/asio/steady_timer.hpp>

namespace clementinefall::forwarding {

namespace {

/// Delay after a failed accept, to avoid a busy loop, for example when no file descriptors are left.
constexpr milliseconds acceptRetryDelay { 100 };

/// Connections beyond the limit, on which requests are rejected, may number the limit divided by this.
constexpr std::size_t rejectingDivisor = 8;

} // namespace

CallerServer::CallerServer(asio::any_io_executor serverExecutor, std::shared_ptr<SessionContext> sessionContext,
    std::size_t maximumConnections, RequestSource requestSource)
    : executor(std::move(serverExecutor))
    , context(std::move(sessionContext))
    , connectionLimit(maximumConnections)
    , source(requestSource)
    , acceptor(this->executor)
{
}

Status CallerServer::listen(const HostPort& address)
{
    Status opened = http::openAcceptor(this->acceptor, address);
    if (isOk(opened)) {
        const auto self = this->shared_from_this();
        http::spawnLoop(this->executor, "accept", [self] { return self->acceptLoop(); });
    }
    return opened;
}

void CallerServer::removeClosed()
{
    std::erase_if(this->sessions, [](const auto& session) { return session.expired(); });
}

std::size_t CallerServer::openConnections()
{
    this->removeClosed();
    return this->sessions.size();
}

Awaitable<void> CallerServer::acceptLoop()
{
    const auto self = this->shared_from_this();
    while (this->acceptor.is_open()) {
        auto [error, socket] = co_await this->acceptor.async_accept(useTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        if (error) {
            logWarning("accept_failed", { { "error", error.message() } });
            asio::steady_timer timer(this->executor, acceptRetryDelay);
            co_await timer.async_wait(useTuple);
            continue;
        }
        const bool isCrowded
            = this->sessions.size() >= this->connectionLimit && this->openConnections() >= this->connectionLimit;
        if (!isCrowded) {
            this->startSession(std::move(socket));
            continue;
        }
        logWarning("connection_refused",
            { { "code", number(ResultCode::TooManyConnections) }, { "open", this->sessions.size() } });
        // The peer cannot tell from a reset whether its request has run, so it is told, by a few connections more.
        if (this->sessions.size() <= this->connectionLimit + this->connectionLimit / rejectingDivisor)
            this->startSession(std::move(socket), SessionMode::Reject);
    }
}

void CallerServer::startSession(asio::ip::tcp::socket socket, SessionMode mode)
{
    auto session = std::make_shared<CallerSession>(std::move(socket), this->context, this->source, mode);
    this->sessions.push_back(session);
    http::spawn(
        this->executor, "caller_session", [session] { return session->run(); }, [session] { session->close(); });
}

void CallerServer::stopAccepting()
{
    beast::error_code error;
    this->acceptor.non_blocking(true, error);
    // Closing the acceptor resets the connections in its queue, which may have sent requests already.
    while (!error) {
        asio::ip::tcp::socket socket(this->executor);
        this->acceptor.accept(socket, error);
        if (!error)
            this->startSession(std::move(socket));
    }
    if (error != asio::error::would_block && error != asio::error::bad_descriptor)
        logWarning("accept_failed", { { "error", error.message() } });
    this->acceptor.close(error);
}

void CallerServer::closeIdle()
{
    this->removeClosed();
    for (const auto& weak : this->sessions) {
        const auto session = weak.lock();
        if (session && session->isIdle())
            session->close();
    }
}

} // namespace clementinefall::forwarding
