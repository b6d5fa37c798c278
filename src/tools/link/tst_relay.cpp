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

/// An echo server behind a relay, on one thread; the test's own sockets block.
class Fixture {
public:
    explicit Fixture(PathQuality quality = {})
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
        this->api = std::make_shared<http::Server>(
            std::vector<asio::io_context*> { &this->context }, http::ServerLimits {}, controlHandler({ this->relay }));
        REQUIRE(isOk(this->api->listen({ "127.0.0.1", 0 })));
        this->relayPort = this->relay.state->listen.port;
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~Fixture()
    {
        this->context.stop();
        this->thread.join();
    }

    tcp::socket connect(beast::error_code& error)
    {
        tcp::socket socket(this->own);
        socket.connect({ asio::ip::make_address("127.0.0.1"), this->relayPort }, error);
        return socket;
    }

    std::string order(const std::string& method, const std::string& target)
    {
        tcp::socket socket(this->own);
        socket.connect({ asio::ip::make_address("127.0.0.1"), this->api->port() });
        const std::string request = method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        asio::write(socket, asio::buffer(request));
        std::string answer;
        beast::error_code error;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    asio::io_context own;
    asio::io_context context;
    tcp::acceptor acceptor;
    Relay relay;
    std::shared_ptr<http::Server> api;
    std::uint16_t relayPort = 0;
    std::thread thread;
};

/// Sends \a text and gives what comes back.
std::string echoOf(tcp::socket& socket, const std::string& text)
{
    asio::write(socket, asio::buffer(text));
    std::string answer(text.size(), '\0');
    beast::error_code error;
    answer.resize(asio::read(socket, asio::buffer(answer), error));
    return answer;
}

} // namespace

TEST_CASE("TCP relay")
{
    beast::error_code error;

    SECTION("a stream arrives whole and in order under delay, jitter and loss")
    {
        Fixture fixture({ milliseconds(1), milliseconds(2), 2.0 });
        tcp::socket socket = fixture.connect(error);
        std::string text(100'000, '\0');
        for (std::size_t i = 0; i < text.size(); ++i)
            text[i] = static_cast<char>(i * 31 + i / 251);
        CHECK(echoOf(socket, text) == text);
        socket.shutdown(tcp::socket::shutdown_send);
        char byte = 0;
        CHECK(asio::read(socket, asio::buffer(&byte, 1), error) == 0);
        CHECK(error == asio::error::eof);
    }

    SECTION("the delay of one direction is kept")
    {
        Fixture fixture({ milliseconds(40), milliseconds(0), 0.0 });
        tcp::socket socket = fixture.connect(error);
        const TimePoint start = Clock::now();
        CHECK(echoOf(socket, "x") == "x");
        CHECK(Clock::now() - start >= milliseconds(40));
    }

    SECTION("a cut resets the open connection and refuses new ones until it is restored")
    {
        Fixture fixture;
        tcp::socket socket = fixture.connect(error);
        CHECK(echoOf(socket, "x") == "x");
        CHECK(fixture.order("POST", "/relays/r/cut").starts_with("HTTP/1.1 200"));
        char byte = 0;
        asio::read(socket, asio::buffer(&byte, 1), error);
        CHECK(error == asio::error::connection_reset);
        fixture.connect(error);
        CHECK(error == asio::error::connection_refused);
        CHECK(fixture.order("POST", "/relays/all/restore").starts_with("HTTP/1.1 200"));
        tcp::socket again = fixture.connect(error);
        CHECK(echoOf(again, "y") == "y");
    }

    SECTION("silence of existing connections swallows their bytes while new ones work")
    {
        Fixture fixture;
        tcp::socket old = fixture.connect(error);
        CHECK(echoOf(old, "x") == "x");
        fixture.order("POST", "/relays/r/silence?scope=existing&direction=forward");
        asio::write(old, asio::buffer(std::string("lost")));
        tcp::socket fresh = fixture.connect(error);
        CHECK(echoOf(fresh, "y") == "y");
        bool silenced = false;
        for (int i = 0; i < 1000 && !silenced; ++i)
            silenced = fixture.order("GET", "/relays").find("\"silencedBytes\":4") != std::string::npos;
        CHECK(silenced);
        CHECK(old.available() == 0);
    }

    SECTION("orders that are not known are refused, or an experiment would run without its failure")
    {
        Fixture fixture;
        CHECK(fixture.order("POST", "/relays/r/cutt").starts_with("HTTP/1.1 404"));
        CHECK(fixture.order("POST", "/relays/q/cut").starts_with("HTTP/1.1 404"));
        CHECK(fixture.order("POST", "/relays/r/set?lossPercent=101").starts_with("HTTP/1.1 400"));
        CHECK(fixture.order("POST", "/relays/r/set?direction=up").starts_with("HTTP/1.1 400"));
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
