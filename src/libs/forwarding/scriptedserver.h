#pragma once

#include "http/awaitable.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

/// A backend server for tests, on the loopback interface.
namespace clementinefall::forwarding {

/// Reaction of a scripted backend server to one request.
struct ScriptedResponse {
    std::string bytes;
    bool closes = false; ///< Closes the connection after the bytes.
    bool resets = false; ///< Resets the connection after the bytes.
    bool isHeld = false; ///< Sends nothing until release().
    std::string repeated {}; ///< Sent again and again after the bytes, until the peer closes the connection.
    std::vector<std::string> parts {}; ///< Sent after the bytes, each after a pause.
    Duration pause {}; ///< Before each of the parts.
};

/// A backend server that responds by a script and records the requests. One request at a time per connection.
class ScriptedServer {
public:
    explicit ScriptedServer(asio::io_context& serverContext)
        : acceptor(serverContext, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        this->accept();
    }

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    std::function<ScriptedResponse(const std::string& request)> script;
    std::vector<std::string> requests;
    unsigned closedByPeer = 0;

    /// Resets all connections.
    void reset()
    {
        beast::error_code ignored;
        for (auto& connection : this->connections) {
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        }
    }

    /// Resets all connections and refuses new ones.
    void crash()
    {
        beast::error_code ignored;
        this->acceptor.close(ignored);
        this->reset();
    }

    std::size_t repeatedBytes = 0; ///< Sent by endless responses.

    void release()
    {
        for (auto& connection : this->connections) {
            if (connection->isHeld) {
                connection->isHeld = false;
                this->sendResponse(connection);
            }
        }
    }

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        asio::ip::tcp::socket socket;
        std::string input;
        ScriptedResponse response;
        bool isHeld = false;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept()
    {
        this->acceptor.async_accept([this](beast::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            this->connections.push_back(std::make_shared<Connection>(std::move(socket)));
            this->read(this->connections.back());
            this->accept();
        });
    }

    void read(const ConnectionPointer& connection)
    {
        auto buffer = std::make_shared<std::array<char, 4096>>();
        connection->socket.async_read_some(
            asio::buffer(*buffer), [this, connection, buffer](beast::error_code error, std::size_t bytes) {
                if (error) {
                    ++this->closedByPeer;
                    return;
                }
                connection->input.append(buffer->data(), bytes);
                const std::size_t end = connection->input.find("\r\n\r\n");
                if (end != std::string::npos) {
                    this->requests.push_back(connection->input);
                    connection->response = this->script(connection->input);
                    connection->input.clear();
                    connection->isHeld = connection->response.isHeld;
                    if (!connection->isHeld)
                        this->sendResponse(connection);
                }
                if (connection->socket.is_open())
                    this->read(connection);
            });
    }

    void sendResponse(const ConnectionPointer& connection)
    {
        beast::error_code ignored;
        asio::write(connection->socket, asio::buffer(connection->response.bytes), ignored);
        if (connection->response.resets)
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        if (connection->response.resets || connection->response.closes)
            connection->socket.close(ignored);
        if (!connection->response.repeated.empty())
            this->repeat(connection);
        if (!connection->response.parts.empty())
            this->sendPart(connection, 0);
    }

    void sendPart(const ConnectionPointer& connection, std::size_t index)
    {
        const auto timer
            = std::make_shared<asio::steady_timer>(connection->socket.get_executor(), connection->response.pause);
        timer->async_wait([this, connection, index, timer](beast::error_code) {
            beast::error_code error;
            asio::write(connection->socket, asio::buffer(connection->response.parts[index]), error);
            if (!error && index + 1 < connection->response.parts.size())
                this->sendPart(connection, index + 1);
        });
    }

    void repeat(const ConnectionPointer& connection)
    {
        asio::async_write(connection->socket, asio::buffer(connection->response.repeated),
            [this, connection](beast::error_code error, std::size_t bytes) {
                this->repeatedBytes += bytes;
                if (!error)
                    this->repeat(connection);
            });
    }

    asio::ip::tcp::acceptor acceptor;
    std::list<ConnectionPointer> connections;
};

inline std::string idOf(const std::string& request)
{
    const std::size_t at = request.find("X-Id: ") + 6;
    return request.substr(at, request.find('\r', at) - at);
}

/// A successful response to the request \a id, with the header fields \a fields.
inline std::string responseBytes(
    const std::string& id, const std::string& body, const std::string& fields = "X-Seal: s\r\n")
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

} // namespace clementinefall::forwarding
