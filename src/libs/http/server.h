#pragma once

#include "base/clock.h"
#include "base/settings.h"
#include "http/exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementinefall::http {

struct ServerLimits {
    unsigned maximumConnections = 8192;
    unsigned maximumConnectionsPerPeer = 4096;
    milliseconds headerTimeout { 10'000 }; ///< From the first wait for a request to its complete header.
    milliseconds idleTimeout { 60'000 }; ///< Between two requests.
    milliseconds ioTimeout { 30'000 }; ///< For one piece of a body in either direction.
};

/// Answers one exchange. The server breaks the connection when the handler returns without a complete response.
using Handler = std::function<Awaitable<void>(std::shared_ptr<Exchange>)>;

/// HTTP/1.1 server. Each connection lives on one of the given single-threaded contexts.
class Server : public std::enable_shared_from_this<Server> {
public:
    Server(std::vector<asio::io_context*> serverContexts, ServerLimits serverLimits, Handler exchangeHandler);

    /// Binds and accepts. Errors: SettingsBadAddress.
    Status listen(const HostPort& address);

    /// Port that listen() bound; for tests that listen on port 0.
    std::uint16_t port() const;

    /// Stops accepting, closes idle connections, and makes each exchange in flight the last of its connection.
    void drain();

    /// Closes the acceptor and every connection.
    void close();

    std::size_t activeExchanges() const { return this->exchangesInFlight.load(); }
    std::size_t openConnections() const;

private:
    struct Connection;

    Awaitable<void> acceptLoop(std::shared_ptr<Server> self);
    Awaitable<void> serve(std::shared_ptr<Server> self, std::shared_ptr<Connection> connection);
    Awaitable<bool> serveOne(std::shared_ptr<Connection> connection, bool isFirst);
    bool admit(const std::shared_ptr<Connection>& connection);
    void remove(const std::shared_ptr<Connection>& connection);
    std::vector<std::shared_ptr<Connection>> allConnections() const;

    std::vector<asio::io_context*> contexts;
    ServerLimits limits;
    Handler handler;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<std::size_t> exchangesInFlight { 0 };
    std::atomic<bool> draining { false };
    mutable std::mutex mutex;
    std::set<std::shared_ptr<Connection>> connections;
    std::unordered_map<std::string, unsigned> connectionsByPeer;
};

} // namespace clementinefall::http
