#include "http/clientconnection.h"
#include "http/growingbody.h"
#include "http/readsome.h"
#include "http/responsecheck.h"
#include "http/server.h"
#include "http/spawn.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <new>
#include <thread>

using namespace clementinefall;
using namespace clementinefall::http;

namespace {

/// Server and client contexts with a thread each.
class Fixture {
public:
    explicit Fixture(Handler handler, ServerLimits limits = {})
        : server(std::make_shared<Server>(
            std::vector<asio::io_context*> { &this->serverContext }, limits, std::move(handler)))
    {
        REQUIRE(isOk(this->server->listen({ "127.0.0.1", 0 })));
        this->serverThread = std::thread([this] { this->serverContext.run(); });
        this->clientThread = std::thread([this] { this->clientContext.run(); });
    }

    ~Fixture()
    {
        this->server->close();
        this->guard.reset();
        this->serverGuard.reset();
        this->clientThread.join();
        this->serverThread.join();
    }

    template <typename T> T run(Awaitable<T> task)
    {
        return asio::co_spawn(this->clientContext, std::move(task), asio::use_future).get();
    }

    HostPort address() const { return { "127.0.0.1", this->server->port() }; }

    asio::io_context serverContext;
    asio::io_context clientContext;
    asio::executor_work_guard<asio::io_context::executor_type> guard { this->clientContext.get_executor() };
    asio::executor_work_guard<asio::io_context::executor_type> serverGuard { this->serverContext.get_executor() };
    std::shared_ptr<Server> server;
    std::thread serverThread;
    std::thread clientThread;
};

TimePoint soon() { return Clock::now() + seconds(5); }

Request postRequest(std::string body)
{
    Request request { Verb::post, "/echo", 11 };
    request.body() = std::move(body);
    return request;
}

Awaitable<Result<Response>> callOnce(asio::any_io_executor executor, HostPort address, Request request)
{
    const auto connection = std::make_shared<ClientConnection>(executor);
    const Status connected = co_await connection->connect(address, soon());
    if (!isOk(connected))
        co_return errorOf(connected);
    co_return co_await connection->exchange(std::move(request), 64 * 1024 * 1024, soon());
}

/// Sends raw bytes and returns all that comes back until the server closes.
std::string rawExchange(const HostPort& address, const std::string& bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address(address.host), address.port });
    beast::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

/// The result of a call to a server that responds with \a bytes to its first request.
Result<Response> callServerOf(const std::string& bytes)
{
    asio::io_context serverContext;
    asio::ip::tcp::acceptor acceptor(serverContext, { asio::ip::make_address("127.0.0.1"), 0 });
    std::thread serverThread([&] {
        asio::ip::tcp::socket socket(serverContext);
        acceptor.accept(socket);
        std::string request;
        beast::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        asio::write(socket, asio::buffer(bytes), error);
    });
    asio::io_context context;
    const HostPort address { "127.0.0.1", acceptor.local_endpoint().port() };
    auto result
        = asio::co_spawn(context, callOnce(context.get_executor(), address, { Verb::get, "/", 11 }), asio::use_future);
    context.run();
    serverThread.join();
    return result.get();
}

Awaitable<void> echo(std::shared_ptr<Exchange> exchange)
{
    const Result<std::string> body = co_await exchange->receiveWholeBody(32 * 1024 * 1024);
    if (!isOk(body)) {
        Response refused = errorResponse(errorOf(body));
        co_await exchange->respond(std::move(refused));
        co_return;
    }
    Response response = jsonResponse(200, valueOf(body));
    co_await exchange->respond(std::move(response));
}

Awaitable<void> cutShort(std::shared_ptr<Exchange> exchange)
{
    ResponseHeader header;
    header.result(200);
    co_await exchange->sendHeader(std::move(header), 1000);
    co_await exchange->sendBody("only a part");
}

Awaitable<void> cutShortChunked(std::shared_ptr<Exchange> exchange)
{
    ResponseHeader header;
    header.result(200);
    co_await exchange->sendHeader(std::move(header), std::nullopt);
    co_await exchange->sendBody("only a part");
}

} // namespace

TEST_CASE("HTTP server and client")
{
    SECTION("bodies from nothing to many buffers arrive whole, on one connection")
    {
        Fixture fixture(echo);
        const auto connection = std::make_shared<ClientConnection>(fixture.clientContext.get_executor());
        REQUIRE(isOk(fixture.run(connection->connect(fixture.address(), soon()))));
        for (const std::size_t size : { 0, 1, 65'535, 65'536, 65'537, 5'000'000 }) {
            const std::string body(size, 'x');
            const auto response = fixture.run(connection->exchange(postRequest(body), 8'000'000, soon()));
            REQUIRE(isOk(response));
            CHECK(valueOf(response).body() == body);
            CHECK(connection->isReusable());
        }
    }

    SECTION("a response that is cut short is an error and its connection is not used again")
    {
        for (const Handler& handler : { Handler(cutShort), Handler(cutShortChunked) }) {
            Fixture fixture(handler);
            const auto connection = std::make_shared<ClientConnection>(fixture.clientContext.get_executor());
            REQUIRE(isOk(fixture.run(connection->connect(fixture.address(), soon()))));
            const auto response = fixture.run(connection->exchange(postRequest(""), 8'000'000, soon()));
            REQUIRE_FALSE(isOk(response));
            CHECK(outcomeOf(errorOf(response).code) == Outcome::Unknown);
            CHECK_FALSE(connection->isReusable());
        }
    }

    SECTION("a client takes no head whose fields have other names than HTTP allows, or go on in a further line")
    {
        // Guards against a store or an instance in trouble: a folded line hides a field, such as the one with the
        // length.
        const std::string start = "HTTP/1.1 200 OK\r\nX-First: 1\r\n";
        const std::string rest = "Content-Length: 2\r\n\r\nhi";
        CHECK(isOk(callServerOf(start + "X-Name: 1\r\n" + rest)));
        for (const std::string fields : { "X Name: 1\r\n", "X-Name : 1\r\n", ": 1\r\n", "X\x01: 1\r\n", "X\x7f: 1\r\n",
                 "X\xff: 1\r\n", "X(Y): 1\r\n", "X-Name\r\n", " X-Name: 1\r\n", "\tX-Name: 1\r\n",
                 "X-Name: 1\r\n 2\r\n", " Content-Length: 1\r\n", "Content-Length : 1\r\n", "X-Name: a\x01\r\n" }) {
            INFO(fields);
            const auto response = callServerOf(fmt::format("{}{}{}", start, fields, rest));
            REQUIRE_FALSE(isOk(response));
            CHECK(errorOf(response).code == ResultCode::UnknownAnswerInvalid);
        }
        const auto interim = callServerOf("HTTP/1.1 100 Continue\r\nX-Name: 1\r\n 2\r\n\r\n" + start + rest);
        REQUIRE_FALSE(isOk(interim));
        CHECK(errorOf(interim).code == ResultCode::UnknownAnswerInvalid);
    }

    SECTION("a client skips interim responses and takes no other bytes than a final response")
    {
        // Guards against statuses that no response has, which the client took for an answer of the platform's store.
        const std::string rest = "\r\nContent-Length: 2\r\n\r\nhi";
        const auto response = callServerOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" + rest);
        REQUIRE(isOk(response));
        CHECK(valueOf(response).result_int() == 200);
        CHECK(valueOf(response).body() == "hi");
        for (const char* begin : { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
                 "HTTP/1.1 101 Other", "HTTP/3.7 200 OK" }) {
            INFO(begin);
            const auto invalid = callServerOf(begin + rest);
            REQUIRE_FALSE(isOk(invalid));
            CHECK(errorOf(invalid).code == ResultCode::UnknownAnswerInvalid);
        }
        std::string endless;
        for (unsigned i = 0; i <= maximumInterimResponses; ++i)
            endless += "HTTP/1.1 100 Continue\r\n\r\n";
        CHECK_FALSE(isOk(callServerOf(endless + "HTTP/1.1 200 OK" + rest)));
    }

    SECTION("hostile input gets a numbered error and the server goes on")
    {
        Fixture fixture(echo);
        CHECK(rawExchange(fixture.address(), "NONSENSE\r\n\r\n").find("\"result\":4000") != std::string::npos);
        CHECK(rawExchange(fixture.address(), "GET / HTTP/1.1\r\nx: " + std::string(20'000, 'a') + "\r\n\r\n")
                  .find("\"result\":4001")
            != std::string::npos);
        CHECK(rawExchange(fixture.address(), "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")
                  .find("\"result\":4002")
            != std::string::npos);
        CHECK(rawExchange(fixture.address(), "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
                  .find("\"result\":4000")
            != std::string::npos);
        const auto response = fixture.run(
            callOnce(fixture.clientContext.get_executor(), fixture.address(), postRequest("still there")));
        REQUIRE(isOk(response));
        CHECK(valueOf(response).body() == "still there");
    }

    SECTION("an exception in a handler costs its own connection only, and frees it")
    {
        ServerLimits limits;
        limits.maximumConnections = 1;
        const Handler failing = [](std::shared_ptr<Exchange> exchange) -> Awaitable<void> {
            if (exchange->header().target() == "/fail")
                throw std::bad_alloc();
            co_await echo(exchange);
        };
        Fixture fixture(failing, limits);
        for (int i = 0; i < 3; ++i) {
            Request request { Verb::post, "/fail", 11 };
            const auto failed
                = fixture.run(callOnce(fixture.clientContext.get_executor(), fixture.address(), std::move(request)));
            CHECK_FALSE(isOk(failed));
        }
        // The task runs after the end of the connection's coroutine, which closed the connection.
        asio::post(fixture.serverContext, asio::use_future).get();
        CHECK(fixture.server->activeExchanges() == 0);
        const auto response
            = fixture.run(callOnce(fixture.clientContext.get_executor(), fixture.address(), postRequest("next")));
        REQUIRE(isOk(response));
        CHECK(valueOf(response).body() == "next");
    }

    SECTION("connections over the limit for one peer are closed, and the others work on")
    {
        ServerLimits limits;
        limits.maximumConnectionsPerPeer = 1;
        Fixture fixture(echo, limits);
        const auto first = std::make_shared<ClientConnection>(fixture.clientContext.get_executor());
        REQUIRE(isOk(fixture.run(first->connect(fixture.address(), soon()))));
        REQUIRE(isOk(fixture.run(first->exchange(postRequest("a"), 100, soon()))));
        const auto second
            = fixture.run(callOnce(fixture.clientContext.get_executor(), fixture.address(), postRequest("b")));
        CHECK_FALSE(isOk(second));
        CHECK(isOk(fixture.run(first->exchange(postRequest("c"), 100, soon()))));
    }

    SECTION("a drained server finishes the exchange in flight and takes no new connection")
    {
        asio::io_context* serverContext = nullptr;
        std::weak_ptr<Server> weakServer;
        const Handler drainingEcho = [&weakServer](std::shared_ptr<Exchange> exchange) -> Awaitable<void> {
            weakServer.lock()->drain();
            co_await echo(exchange);
        };
        Fixture fixture(drainingEcho);
        serverContext = &fixture.serverContext;
        weakServer = fixture.server;
        const HostPort address = fixture.address();
        const auto connection = std::make_shared<ClientConnection>(fixture.clientContext.get_executor());
        REQUIRE(isOk(fixture.run(connection->connect(address, soon()))));
        const auto response = fixture.run(connection->exchange(postRequest("last"), 100, soon()));
        REQUIRE(isOk(response));
        CHECK(valueOf(response).body() == "last");
        // The acceptor is closed by a task on the server's thread that was posted before this one.
        asio::post(*serverContext, asio::use_future).get();
        const auto refused = fixture.run(callOnce(fixture.clientContext.get_executor(), address, postRequest("late")));
        REQUIRE_FALSE(isOk(refused));
        CHECK(errorOf(refused).code == ResultCode::NotRunConnectRefused);
    }
}

TEST_CASE("A folded field is found in whatever parts its head arrives")
{
    const std::string start = "HTTP/1.1 200 OK\r\nX-First: 1\r\n";
    for (const std::string& head : { start + " X-Name: 1\r\n\r\n", start + "\tX-Name: 1\r\n\r\n" }) {
        for (std::size_t checked = 0; checked < head.size(); ++checked) {
            INFO(checked);
            CHECK((hasFoldedField(head.substr(0, checked), 0) || hasFoldedField(head, checked)));
        }
    }
    // A body may begin with a blank, and hold any lines.
    const std::string withBody = start + "\r\n body\r\n line";
    for (std::size_t checked = 0; checked < start.size() + 2; ++checked)
        CHECK_FALSE(hasFoldedField(withBody, checked));
}

TEST_CASE("An exception that leaves a coroutine or a handler ends neither the process nor other work")
{
    asio::io_context context;
    unsigned runs = 0;
    bool hasEnded = false;

    SECTION("a coroutine on which the process depends is started again")
    {
        spawnLoop(context.get_executor(), "loop", [&]() -> Awaitable<void> {
            if (++runs < 3)
                throw std::bad_alloc();
            hasEnded = true;
            co_return;
        });
        runHandlers(context);
        CHECK(runs == 3);
    }

    SECTION("another coroutine ends, and its owner cleans up")
    {
        const auto fail = [&]() -> Awaitable<void> {
            ++runs;
            throw std::bad_alloc();
            co_return;
        };
        spawn(context.get_executor(), "single", fail, [&] { hasEnded = true; });
        runHandlers(context);
        CHECK(runs == 1);
    }

    SECTION("handlers behind one that throws are run")
    {
        asio::post(context, [] { throw std::bad_alloc(); });
        asio::post(context, [&] { hasEnded = true; });
        runHandlers(context);
    }

    CHECK(hasEnded);
}

TEST_CASE("Memory of a body that arrives in parts")
{
    std::string body;
    beast::http::header<false, beast::http::fields> header;
    GrowingBody::Reader reader(header, body);
    beast::error_code error;
    const std::string part(GENERATE(1, 700, 16384), 'b');
    std::size_t largestUnused = 0;
    for (std::size_t received = part.size(); received <= 300'000; received += part.size()) {
        reader.put(asio::buffer(part), error);
        REQUIRE_FALSE(error);
        REQUIRE(body.size() == received);
        if (received > 1000)
            largestUnused = std::max(largestUnused, (body.capacity() - received) * 100 / received);
    }
    // Many bodies of the same length would otherwise take twice what the account of messages has.
    CHECK(largestUnused <= 25);
}
