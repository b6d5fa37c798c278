#include "http/server.h"

#include "http/sockets.h"
#include "http/spawn.h"

#include "base/log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace clementinefall::http {

using asio::ip::tcp;

namespace {

constexpr milliseconds acceptRetryDelay { 100 };

} // namespace

struct Server::Connection {
    explicit Connection(tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { relayBufferBytes + maximumHeaderBytes };
    std::string peer;
    bool idle = true;
};

Server::Server(std::vector<asio::io_context*> serverContexts, ServerLimits serverLimits, Handler exchangeHandler)
    : contexts(std::move(serverContexts))
    , limits(serverLimits)
    , handler(std::move(exchangeHandler))
    , acceptor(*this->contexts.front())
{
}

Status Server::listen(const HostPort& address)
{
    Status opened = openAcceptor(this->acceptor, address);
    if (!isOk(opened))
        return opened;
    const auto self = this->shared_from_this();
    spawnLoop(this->contexts.front()->get_executor(), "accept", [self] { return self->acceptLoop(self); });
    return okStatus();
}

std::uint16_t Server::port() const { return this->acceptor.local_endpoint().port(); }

Awaitable<void> Server::acceptLoop(std::shared_ptr<Server> self)
{
    std::size_t next = 0;
    while (self->acceptor.is_open()) {
        asio::io_context& context = *self->contexts[next++ % self->contexts.size()];
        auto [error, socket] = co_await self->acceptor.async_accept(context, useTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            // Out of descriptors, for example; a tight loop would make it worse.
            logWarning("accept_failed", { { "error", error.message() } });
            asio::steady_timer timer(co_await asio::this_coro::executor, acceptRetryDelay);
            co_await timer.async_wait(useTuple);
            continue;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto connection = std::make_shared<Connection>(std::move(socket));
        if (!self->admit(connection))
            continue;
        const auto abandon = [self, connection] {
            connection->stream.close();
            self->remove(connection);
        };
        spawn(
            context.get_executor(), "serve", [self, connection] { return self->serve(self, connection); }, abandon);
    }
}

bool Server::admit(const std::shared_ptr<Connection>& connection)
{
    beast::error_code error;
    const auto endpoint = connection->stream.socket().remote_endpoint(error);
    if (error)
        return false;
    connection->peer = endpoint.address().to_string();
    const std::scoped_lock lock(this->mutex);
    unsigned& fromPeer = this->connectionsByPeer[connection->peer];
    if (this->connections.size() >= this->limits.maximumConnections
        || fromPeer >= this->limits.maximumConnectionsPerPeer) {
        logWarning(
            "connection_refused", { { "code", number(ResultCode::TooManyConnections) }, { "peer", connection->peer } });
        return false;
    }
    ++fromPeer;
    this->connections.insert(connection);
    return true;
}

void Server::remove(const std::shared_ptr<Connection>& connection)
{
    const std::scoped_lock lock(this->mutex);
    this->connections.erase(connection);
    const auto found = this->connectionsByPeer.find(connection->peer);
    if (found != this->connectionsByPeer.end() && --found->second == 0)
        this->connectionsByPeer.erase(found);
}

std::size_t Server::openConnections() const
{
    const std::scoped_lock lock(this->mutex);
    return this->connections.size();
}

std::vector<std::shared_ptr<Server::Connection>> Server::allConnections() const
{
    const std::scoped_lock lock(this->mutex);
    return { this->connections.begin(), this->connections.end() };
}

Awaitable<void> Server::serve(std::shared_ptr<Server> self, std::shared_ptr<Connection> connection)
{
    bool isFirst = true;
    while (co_await self->serveOne(connection, isFirst))
        isFirst = false;
    self->remove(connection);
}

Awaitable<bool> Server::serveOne(std::shared_ptr<Connection> connection, bool isFirst)
{
    const auto exchange = std::make_shared<Exchange>(connection->stream, connection->buffer, this->limits.ioTimeout);
    const TimePoint deadline = Clock::now() + (isFirst ? this->limits.headerTimeout : this->limits.idleTimeout);
    const Status received = co_await exchange->receiveHeader(deadline);
    if (!isOk(received)) {
        // A peer that closed an idle connection, or sent nothing, gets no answer.
        const bool sentSomething
            = connection->buffer.size() > 0 || errorOf(received).code == ResultCode::HeaderTooLarge;
        if (sentSomething && connection->stream.socket().is_open()) {
            exchange->setClosing();
            co_await exchange->respond(errorResponse(errorOf(received)));
            co_await discardInput(connection->stream);
        }
        co_return false;
    }
    connection->idle = false;
    {
        ++this->exchangesInFlight;
        const auto release = [this](Exchange*) { --this->exchangesInFlight; };
        // Also when an exception ends the handler.
        const std::unique_ptr<Exchange, decltype(release)> inFlight(exchange.get(), release);
        if (this->draining)
            exchange->setClosing();
        co_await this->handler(exchange);
        exchange->stopWatching();
        if (!exchange->hasCompletedResponse())
            exchange->abort();
    }
    connection->idle = true;
    if (exchange->isKeptAlive() && !this->draining)
        co_return true;
    if (exchange->hasCompletedResponse())
        co_await discardInput(connection->stream);
    co_return false;
}

void Server::drain()
{
    this->draining = true;
    asio::post(*this->contexts.front(), [self = this->shared_from_this()] {
        beast::error_code ignored;
        self->acceptor.close(ignored);
    });
    for (const auto& connection : this->allConnections()) {
        asio::post(connection->stream.get_executor(), [connection] {
            if (connection->idle)
                connection->stream.close();
        });
    }
}

void Server::close()
{
    this->drain();
    for (const auto& connection : this->allConnections())
        asio::post(connection->stream.get_executor(), [connection] { connection->stream.close(); });
}

} // namespace clementinefall::http
