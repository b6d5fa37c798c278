#include "link/control.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace clementinefall;
using namespace clementinefall::link;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

Awaitable<void> echoLoop(std::shared_ptr<tcp::socket> socket)
{
    std::string buffer(64 * 1024, '\0');
    bool open = true;
    while (open) {
        const auto [error, bytes] = co_await socket->async_read_some(asio::buffer(buffer), useTuple);
        if (bytes > 0) {
            const auto [failure, written]
                = co_await asio::async_write(*socket, asio::buffer(buffer.data(), bytes), useTuple);
            open = !failure;
        }
        open = open && !error;
    }
}

Awaitable<void> acceptEchoes(tcp::acceptor& acceptor)
{
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(useTuple);
        if (error)
            co_return;
        const auto shared = std::make_shared<tcp::socket>(std::move(socket));
        asio::co_spawn(acceptor.get_executor(), echoLoop(shared), asio::detached);
    }
}

/// An echo server behind a relay, both on one thread. The test uses blocking sockets on its own context.
class RelayFixture {
public:
    explicit RelayFixture(PathQuality quality = {})
        : acceptor(this->context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        asio::co_spawn(this->context, acceptEchoes(this->acceptor), asio::detached);
        RelayState state;
        state.name = "r";
        state.listen = { "127.0.0.1", 0 };
        state.target = { "127.0.0.1", this->acceptor.local_endpoint().port() };
        state.protocol = Protocol::Tcp;
        state.paths[0].quality = quality;
        this->relay = valueOf(startRelay(this->context, state));
        this->controlServer = std::make_shared<http::Server>(
            std::vector<asio::io_context*> { &this->context }, http::ServerLimits {}, controlHandler({ this->relay }));
        REQUIRE(isOk(this->controlServer->listen({ "127.0.0.1", 0 })));
        this->relayPort = this->relay.state->listen.port;
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~RelayFixture()
    {
        this->context.stop();
        this->thread.join();
    }

    tcp::socket connect(beast::error_code& error)
    {
        tcp::socket socket(this->clientContext);
        socket.connect({ asio::ip::make_address("127.0.0.1"), this->relayPort }, error);
        return socket;
    }

    std::string sendCommand(const std::string& method, const std::string& target)
    {
        tcp::socket socket(this->clientContext);
        socket.connect({ asio::ip::make_address("127.0.0.1"), this->controlServer->port() });
        const std::string request = method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        asio::write(socket, asio::buffer(request));
        std::string response;
        beast::error_code error;
        asio::read(socket, asio::dynamic_buffer(response), error);
        return response;
    }

    asio::io_context clientContext;
    asio::io_context context;
    tcp::acceptor acceptor;
    Relay relay;
    std::shared_ptr<http::Server> controlServer;
    std::uint16_t relayPort = 0;
    std::thread thread;
};

/// Sends \a text and returns the bytes that are echoed.
std::string sendAndReadEcho(tcp::socket& socket, const std::string& text)
{
    asio::write(socket, asio::buffer(text));
    std::string response(text.size(), '\0');
    beast::error_code error;
    response.resize(asio::read(socket, asio::buffer(response), error));
    return response;
}

} // namespace

TEST_CASE("TCP relay")
{
    beast::error_code error;

    SECTION("a stream arrives complete and in order under delay, jitter and loss")
    {
        RelayFixture fixture({ milliseconds(1), milliseconds(2), 2.0 });
        tcp::socket socket = fixture.connect(error);
        std::string text(100'000, '\0');
        for (std::size_t i = 0; i < text.size(); ++i)
            text[i] = static_cast<char>(i * 31 + i / 251);
        CHECK(sendAndReadEcho(socket, text) == text);
        socket.shutdown(tcp::socket::shutdown_send);
        char byte = 0;
        CHECK(asio::read(socket, asio::buffer(&byte, 1), error) == 0);
        CHECK(error == asio::error::eof);
    }

    SECTION("bytes are not delivered before the delay of a direction has passed")
    {
        RelayFixture fixture({ milliseconds(40), milliseconds(0), 0.0 });
        tcp::socket socket = fixture.connect(error);
        const TimePoint start = Clock::now();
        CHECK(sendAndReadEcho(socket, "x") == "x");
        CHECK(Clock::now() - start >= milliseconds(40));
    }

    SECTION("a cut resets the open connection and refuses new ones until it is restored")
    {
        RelayFixture fixture;
        tcp::socket socket = fixture.connect(error);
        CHECK(sendAndReadEcho(socket, "x") == "x");
        CHECK(fixture.sendCommand("POST", "/relays/r/cut").starts_with("HTTP/1.1 200"));
        char byte = 0;
        asio::read(socket, asio::buffer(&byte, 1), error);
        CHECK(error == asio::error::connection_reset);
        fixture.connect(error);
        CHECK(error == asio::error::connection_refused);
        CHECK(fixture.sendCommand("POST", "/relays/all/restore").starts_with("HTTP/1.1 200"));
        tcp::socket restored = fixture.connect(error);
        CHECK(sendAndReadEcho(restored, "y") == "y");
    }

    SECTION("silence of existing connections discards their bytes while new connections work")
    {
        RelayFixture fixture;
        tcp::socket existing = fixture.connect(error);
        CHECK(sendAndReadEcho(existing, "x") == "x");
        fixture.sendCommand("POST", "/relays/r/silence?scope=existing&direction=forward");
        asio::write(existing, asio::buffer(std::string("lost")));
        tcp::socket added = fixture.connect(error);
        CHECK(sendAndReadEcho(added, "y") == "y");
        bool silenced = false;
        for (int i = 0; i < 1000 && !silenced; ++i)
            silenced = fixture.sendCommand("GET", "/relays").find("\"silencedBytes\":4") != std::string::npos;
        CHECK(silenced);
        CHECK(existing.available() == 0);
    }

    SECTION("unknown commands are rejected, so that no experiment runs without its injected failure")
    {
        RelayFixture fixture;
        CHECK(fixture.sendCommand("POST", "/relays/r/cutt").starts_with("HTTP/1.1 404"));
        CHECK(fixture.sendCommand("POST", "/relays/q/cut").starts_with("HTTP/1.1 404"));
        CHECK(fixture.sendCommand("POST", "/relays/r/set?lossPercent=101").starts_with("HTTP/1.1 400"));
        CHECK(fixture.sendCommand("POST", "/relays/r/set?direction=up").starts_with("HTTP/1.1 400"));
    }
}

TEST_CASE("UDP relay")
{
    asio::io_context context;
    udp::socket target(context, { asio::ip::make_address("127.0.0.1"), 0 });
    udp::socket sender(context, { asio::ip::make_address("127.0.0.1"), 0 });
    RelayState state;
    state.listen = { "127.0.0.1", 0 };
    state.target = { "127.0.0.1", target.local_endpoint().port() };
    state.protocol = Protocol::Udp;
    asio::io_context relayContext;
    Relay relay = valueOf(startRelay(relayContext, state));
    const udp::endpoint relayEndpoint(asio::ip::make_address("127.0.0.1"), relay.state->listen.port);
    std::string buffer(2000, '\0');

    SECTION("datagrams go both ways, and all are dropped at a loss of 100 percent")
    {
        sender.send_to(asio::buffer(std::string("ping")), relayEndpoint);
        while (relay.state->paths[0].counters.pieces == 0)
            relayContext.run_one();
        udp::endpoint from;
        CHECK(target.receive_from(asio::buffer(buffer), from) == 4);
        target.send_to(asio::buffer(std::string("pong!")), from);
        while (relay.state->paths[1].counters.pieces == 0)
            relayContext.run_one();
        CHECK(sender.receive_from(asio::buffer(buffer), from) == 5);
        CHECK(from == relayEndpoint);

        relay.state->paths[0].quality.lossPercent = 100;
        sender.send_to(asio::buffer(std::string("ping")), relayEndpoint);
        while (relay.state->paths[0].counters.lost == 0)
            relayContext.run_one();
        CHECK(relay.state->paths[0].counters.pieces == 1);
    }
}
