#include "link/tcprelay.h"

#include "http/sockets.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <deque>

namespace clementinefall::link {

using asio::ip::tcp;

namespace {

constexpr std::size_t maximumPieceBytes = 64 * 1024;
/// Holds the data in flight of one connection at 70 MB/s with 55 ms of delay.
constexpr std::size_t maximumBufferedBytes = 4 * 1024 * 1024;

struct Piece {
    std::string data; ///< Empty at the end of the stream.
    TimePoint due; ///< Delivery time.
};

/// Pieces of one direction of a connection that wait for their delivery time.
struct Pipe {
    explicit Pipe(asio::io_context& context)
        : changeSignal(context, TimePoint::max())
    {
    }

    std::deque<Piece> pieces;
    std::size_t bufferedBytes = 0;
    TimePoint lastDue;
    bool silent = false;
    bool finished = false; ///< The end of the stream was delivered or discarded.
    asio::steady_timer changeSignal; ///< Cancelled to wake waiters when the queue changes or the connection closes.

    void push(std::string data, TimePoint due)
    {
        this->bufferedBytes += data.size();
        this->lastDue = due;
        this->pieces.push_back({ std::move(data), due });
        this->changeSignal.cancel();
    }
};

} // namespace

struct TcpRelay::Connection {
    Connection(asio::io_context& context, tcp::socket clientSocket)
        : client(std::move(clientSocket))
        , server(context)
        , pipes { Pipe(context), Pipe(context) }
    {
    }

    Pipe& pipe(Direction direction) { return this->pipes[static_cast<std::size_t>(direction)]; }
    tcp::socket& source(Direction direction) { return direction == Direction::Forward ? this->client : this->server; }
    tcp::socket& sink(Direction direction) { return direction == Direction::Forward ? this->server : this->client; }

    tcp::socket client;
    tcp::socket server;
    std::array<Pipe, 2> pipes;
    bool closed = false;
};

TcpRelay::TcpRelay(asio::io_context& relayContext, std::shared_ptr<RelayState> relayState)
    : context(relayContext)
    , state(std::move(relayState))
    , acceptor(relayContext)
{
}

Status TcpRelay::start()
{
    if (this->acceptor.is_open())
        return okStatus();
    const Status opened = http::openAcceptor(this->acceptor, this->state->listen);
    if (!isOk(opened))
        return makeError(errorOf(opened).code, "relay {}: {}", this->state->name, errorOf(opened).message);
    this->state->listen.port = this->acceptor.local_endpoint().port();
    asio::co_spawn(this->context, this->acceptLoop(this->shared_from_this()), asio::detached);
    return okStatus();
}

void TcpRelay::stop()
{
    beast::error_code ignored;
    this->acceptor.close(ignored);
    const std::set<ConnectionPtr> open = this->connections;
    for (const ConnectionPtr& connection : open)
        this->reset(connection);
}

void TcpRelay::silenceExisting(Direction direction)
{
    for (const ConnectionPtr& connection : this->connections)
        connection->pipe(direction).silent = true;
}

void TcpRelay::endSilence()
{
    for (const ConnectionPtr& connection : this->connections) {
        for (Pipe& pipe : connection->pipes)
            pipe.silent = false;
    }
}

Awaitable<void> TcpRelay::acceptLoop(std::shared_ptr<TcpRelay> self)
{
    while (self->acceptor.is_open()) {
        auto [error, socket] = co_await self->acceptor.async_accept(useTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer timer(self->context, milliseconds(100));
            co_await timer.async_wait(useTuple);
            continue;
        }
        ++self->state->connections;
        const auto connection = std::make_shared<Connection>(self->context, tcp::socket(std::move(socket)));
        self->connections.insert(connection);
        asio::co_spawn(self->context, self->connect(self, connection), asio::detached);
    }
}

Awaitable<void> TcpRelay::connect(std::shared_ptr<TcpRelay> self, ConnectionPtr connection)
{
    const HostPort& target = self->state->target;
    const tcp::endpoint endpoint(asio::ip::make_address(target.host), target.port);
    const auto [error] = co_await connection->server.async_connect(endpoint, useTuple);
    if (error || connection->closed) {
        self->reset(connection);
        co_return;
    }
    beast::error_code ignored;
    connection->client.set_option(tcp::no_delay(true), ignored);
    connection->server.set_option(tcp::no_delay(true), ignored);
    for (const Direction direction : { Direction::Forward, Direction::Backward }) {
        asio::co_spawn(self->context, self->read(self, connection, direction), asio::detached);
        asio::co_spawn(self->context, self->write(self, connection, direction), asio::detached);
    }
}

bool TcpRelay::isSilent(const Connection& connection, Direction direction) const
{
    const auto index = static_cast<std::size_t>(direction);
    return connection.pipes[index].silent || this->state->paths[index].silent;
}

Awaitable<void> TcpRelay::read(std::shared_ptr<TcpRelay> self, ConnectionPtr connection, Direction direction)
{
    Pipe& pipe = connection->pipe(direction);
    Path& path = self->state->path(direction);
    std::string buffer(maximumPieceBytes, '\0');
    while (!connection->closed) {
        const auto [error, bytes]
            = co_await connection->source(direction).async_read_some(asio::buffer(buffer), useTuple);
        if (connection->closed)
            co_return;
        if (self->isSilent(*connection, direction)) {
            path.counters.silencedBytes += bytes;
            if (!error)
                continue;
            // A silent path does not deliver the end of the stream either.
            pipe.finished = true;
            self->closeIfFinished(connection);
            co_return;
        }
        if (error && error != asio::error::eof) {
            self->reset(connection);
            co_return;
        }
        const TimePoint due = streamDeliveryTime(path, self->state->random, Clock::now(), pipe.lastDue);
        pipe.push(buffer.substr(0, bytes), due);
        if (error)
            co_return;
        while (pipe.bufferedBytes > maximumBufferedBytes && !connection->closed)
            co_await pipe.changeSignal.async_wait(useTuple);
    }
}

Awaitable<void> TcpRelay::write(std::shared_ptr<TcpRelay> self, ConnectionPtr connection, Direction direction)
{
    Pipe& pipe = connection->pipe(direction);
    Path& path = self->state->path(direction);
    asio::steady_timer timer(self->context);
    while (!connection->closed && !pipe.finished) {
        if (pipe.pieces.empty()) {
            co_await pipe.changeSignal.async_wait(useTuple);
            continue;
        }
        timer.expires_at(pipe.pieces.front().due);
        co_await timer.async_wait(useTuple);
        if (connection->closed)
            co_return;
        const std::string data = std::move(pipe.pieces.front().data);
        pipe.pieces.pop_front();
        pipe.bufferedBytes -= data.size();
        pipe.changeSignal.cancel();
        if (self->isSilent(*connection, direction)) {
            path.counters.silencedBytes += data.size();
            pipe.finished = data.empty();
            continue;
        }
        if (data.empty()) {
            beast::error_code ignored;
            connection->sink(direction).shutdown(tcp::socket::shutdown_send, ignored);
            pipe.finished = true;
            continue;
        }
        const auto [error, bytes]
            = co_await asio::async_write(connection->sink(direction), asio::buffer(data), useTuple);
        path.counters.bytes += bytes;
        ++path.counters.pieces;
        if (error) {
            self->reset(connection);
            co_return;
        }
    }
    self->closeIfFinished(connection);
}

void TcpRelay::reset(const ConnectionPtr& connection)
{
    if (!connection->closed)
        ++this->state->resets;
    connection->closed = true;
    beast::error_code ignored;
    for (tcp::socket* socket : { &connection->client, &connection->server }) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    for (Pipe& pipe : connection->pipes)
        pipe.changeSignal.cancel();
    this->connections.erase(connection);
}

void TcpRelay::closeIfFinished(const ConnectionPtr& connection)
{
    for (Pipe& pipe : connection->pipes) {
        pipe.changeSignal.cancel();
        if (!pipe.finished)
            return;
    }
    connection->closed = true;
    beast::error_code ignored;
    connection->client.close(ignored);
    connection->server.close(ignored);
    this->connections.erase(connection);
}

} // namespace clementinefall::link
