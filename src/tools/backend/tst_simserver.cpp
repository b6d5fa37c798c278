#include "backend/control.h"
#include "backend/filler.h"

#include "http/clientconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace clementinefall;
using namespace clementinefall::backend;
using http::ClientConnection;

namespace {

using Answer = Result<http::Response>;
using ConnectionPtr = std::shared_ptr<ClientConnection>;

constexpr std::size_t maximumAnswerBytes = 8 * 1024 * 1024;

http::Request requestFor(
    const std::string& target, const std::string& identity, std::string body = {}, const std::string& deadlineMs = {})
{
    http::Request request { body.empty() ? http::Verb::get : http::Verb::post, target, 11 };
    if (!identity.empty())
        request.set(http::HeaderName::identity, identity);
    if (!deadlineMs.empty())
        request.set(http::HeaderName::deadlineMs, deadlineMs);
    request.body() = std::move(body);
    return request;
}

Awaitable<Answer> sendOn(ConnectionPtr connection, HostPort address, http::Request request, milliseconds timeout)
{
    const TimePoint deadline = Clock::now() + timeout;
    if (!connection->isOpen()) {
        const Status connected = co_await connection->connect(address, deadline);
        if (!isOk(connected))
            co_return errorOf(connected);
    }
    co_return co_await connection->exchange(std::move(request), maximumAnswerBytes, deadline);
}

/// A server with two slots and its control API, each on the server thread.
class Fixture {
public:
    explicit Fixture(ServerProfile profile = warmProfile())
        : server(std::make_shared<SimServer>(this->serverContext, "shelfwatch",
            bundle::BackendServer { "s1", "zone-a", { "127.0.0.1", 0 }, 2, 10 }, profile, bundle::Priority::Lookup, 1))
        , control(std::make_shared<http::Server>(std::vector<asio::io_context*> { &this->serverContext },
              http::ServerLimits {}, controlHandler({ this->server })))
    {
        REQUIRE(isOk(this->server->start()));
        // Read here, because the server writes it again after a crash on its own thread.
        this->serverPort = this->server->port();
        REQUIRE(isOk(this->control->listen({ "127.0.0.1", 0 })));
        this->serverThread = std::thread([this] { this->serverContext.run(); });
        this->clientThread = std::thread([this] { this->clientContext.run(); });
    }

    ~Fixture()
    {
        asio::post(this->serverContext, [this] { this->server->stop(); });
        this->control->close();
        this->guard.reset();
        this->clientContext.stop();
        this->clientThread.join();
        this->serverThread.join();
    }

    static ServerProfile warmProfile()
    {
        ServerProfile profile;
        profile.coldFactor = 1.0;
        profile.restartTime = milliseconds(200);
        return profile;
    }

    ConnectionPtr connection() { return std::make_shared<ClientConnection>(this->clientContext.get_executor()); }

    std::future<Answer> start(ConnectionPtr on, const http::Request& request, milliseconds timeout = milliseconds(5000))
    {
        const HostPort address { "127.0.0.1", this->serverPort };
        return asio::co_spawn(this->clientContext, sendOn(std::move(on), address, request, timeout), asio::use_future);
    }

    Answer call(const http::Request& request) { return this->start(this->connection(), request).get(); }

    std::string controlCall(http::Verb method, const std::string& target)
    {
        http::Request request { method, target, 11 };
        const HostPort address { "127.0.0.1", this->control->port() };
        const Answer answer = asio::co_spawn(
            this->clientContext, sendOn(this->connection(), address, request, milliseconds(5000)), asio::use_future)
                                  .get();
        REQUIRE(isOk(answer));
        CHECK(valueOf(answer).result_int() == 200);
        return valueOf(answer).body();
    }

    /// Asks for the counters until \a name has reached \a value.
    std::int64_t awaitCounter(const std::string& name, std::int64_t value)
    {
        std::int64_t seen = -1;
        const TimePoint end = Clock::now() + seconds(5);
        while (seen < value && Clock::now() < end) {
            const auto counters = boost::json::parse(this->controlCall(http::Verb::get, "/counters"));
            seen = counters.as_array().at(0).as_object().at(name).to_number<std::int64_t>();
        }
        return seen;
    }

    asio::io_context serverContext;
    asio::io_context clientContext;
    asio::executor_work_guard<asio::io_context::executor_type> guard { this->clientContext.get_executor() };
    std::shared_ptr<SimServer> server;
    std::uint16_t serverPort = 0;
    std::shared_ptr<http::Server> control;
    std::thread serverThread;
    std::thread clientThread;
};

std::string notRunReason(const Answer& answer)
{
    REQUIRE(isOk(answer));
    return std::string(http::fieldValue(valueOf(answer).base(), http::HeaderName::notRun));
}

} // namespace

TEST_CASE("Simulated backend server")
{
    Fixture fixture;

    SECTION("a response names its request and carries the filler of its identity")
    {
        const std::string body(200'000, 'x');
        const Answer answer = fixture.call(requestFor("/items/7?bytes=100000&workMs=1", "e1.a.7", body));
        REQUIRE(isOk(answer));
        const std::string& text = valueOf(answer).body();
        const auto line = boost::json::parse(text.substr(0, text.find('\n'))).as_object();
        CHECK(line.at("identity").as_string() == "e1.a.7");
        CHECK(line.at("path").as_string() == "/items/7");
        CHECK(line.at("bytes").to_number<int>() == 200'000);
        CHECK(std::string(line.at("hash").as_string()) == bodyHash(body));
        std::string filler(100'000, '\0');
        fillBytes("e1.a.7", 0, filler);
        CHECK(text.substr(text.find('\n') + 1) == filler);
        CHECK(fixture.controlCall(http::Verb::get, "/effects").find("\"count\":1") != std::string::npos);
    }

    SECTION("full slots queue, a full queue sheds, and what was refused has no effect")
    {
        std::vector<std::future<Answer>> running;
        running.reserve(2);
        for (int i = 0; i < 2; ++i)
            running.push_back(fixture.start(fixture.connection(), requestFor("/a?workMs=60000", "run")));
        REQUIRE(fixture.awaitCounter("started", 2) == 2);
        auto late = fixture.start(fixture.connection(), requestFor("/a", "late", {}, "30"));
        CHECK(notRunReason(late.get()) == "deadline");
        const ConnectionPtr queuedOn = fixture.connection();
        auto queued = fixture.start(queuedOn, requestFor("/a", "queued"));
        auto next = fixture.start(fixture.connection(), requestFor("/a", "queued"));
        bool isQueued = false;
        for (int i = 0; i < 1000 && !isQueued; ++i) {
            const Answer load = fixture.call(requestFor("/load", {}));
            isQueued = isOk(load) && valueOf(load).body().find("\"queue\":2") != std::string::npos;
        }
        REQUIRE(isQueued);
        CHECK(notRunReason(fixture.call(requestFor("/a", "excess"))) == "shed");

        http::Request cancel { http::Verb::delete_, "/requests/run", 11 };
        CHECK(isOk(fixture.call(cancel)));
        for (auto& future : running)
            CHECK(valueOf(future.get()).result_int() == 409);
        CHECK(valueOf(queued.get()).result_int() == 200);
        CHECK(valueOf(next.get()).result_int() == 200);
        const std::string effects = fixture.controlCall(http::Verb::get, "/effects");
        CHECK(effects.find("late") == std::string::npos);
        CHECK(effects.find("excess") == std::string::npos);
        CHECK(effects.find("\"run\",\"service\":\"shelfwatch\",\"server\":\"s1\",\"count\":2") != std::string::npos);
    }

    SECTION("a caller that closes its connection frees the slot, and its effect stays counted")
    {
        const ConnectionPtr connection = fixture.connection();
        auto running = fixture.start(connection, requestFor("/a?workMs=60000", "left"));
        REQUIRE(fixture.awaitCounter("started", 1) == 1);
        asio::post(fixture.clientContext, [connection] { connection->close(); });
        CHECK_FALSE(isOk(running.get()));
        CHECK(fixture.awaitCounter("cancelled", 1) == 1);
        CHECK(fixture.controlCall(http::Verb::get, "/effects").find("left") != std::string::npos);
    }

    SECTION("a crash breaks every request, refuses connects and ends after the restart time")
    {
        auto bystander = fixture.start(fixture.connection(), requestFor("/a?workMs=60000", "bystander"));
        REQUIRE(fixture.awaitCounter("started", 1) == 1);
        const Answer crashed = fixture.call(requestFor("/a?crash=1&workMs=1", "killer"));
        REQUIRE_FALSE(isOk(crashed));
        CHECK(errorOf(crashed).code == ResultCode::UnknownConnectionLost);
        CHECK_FALSE(isOk(bystander.get()));
        const Answer refused = fixture.call(requestFor("/a", "after"));
        REQUIRE_FALSE(isOk(refused));
        CHECK(errorOf(refused).code == ResultCode::NotRunConnectRefused);
        Answer again = refused;
        const TimePoint end = Clock::now() + seconds(5);
        while (!isOk(again) && Clock::now() < end)
            again = fixture.call(requestFor("/a?workMs=1", "after"));
        CHECK(isOk(again));
    }

    SECTION("silenced connections run requests without an answer while new connections work")
    {
        const ConnectionPtr old = fixture.connection();
        REQUIRE(isOk(fixture.start(old, requestFor("/a?workMs=1", "first")).get()));
        fixture.controlCall(http::Verb::post, "/servers/s1/silence");
        const Answer silent = fixture.start(old, requestFor("/a?workMs=1", "lost"), milliseconds(100)).get();
        REQUIRE_FALSE(isOk(silent));
        CHECK(errorOf(silent).code == ResultCode::UnknownTimeout);
        CHECK(isOk(fixture.call(requestFor("/a?workMs=1", "new"))));
        CHECK(fixture.controlCall(http::Verb::get, "/effects").find("lost") != std::string::npos);
    }

    SECTION("a draining server says so and counts the work that begins after the order")
    {
        fixture.controlCall(http::Verb::post, "/servers/shelfwatch/drain");
        const Answer answer = fixture.call(requestFor("/a?workMs=1", "x"));
        REQUIRE(isOk(answer));
        CHECK(http::fieldValue(valueOf(answer).base(), http::HeaderName::draining) == "1");
        CHECK(fixture.awaitCounter("startedAfterDrain", 1) == 1);
        const Answer health = fixture.call(requestFor("/health", {}));
        CHECK(valueOf(health).body().find("draining") != std::string::npos);
        fixture.controlCall(http::Verb::post, "/servers/all/mislead");
        const Answer misled = fixture.call(requestFor("/health", {}));
        CHECK(valueOf(misled).body().find("healthy") != std::string::npos);
        fixture.controlCall(http::Verb::post, "/reset");
        CHECK(fixture.controlCall(http::Verb::get, "/effects").empty());
    }
}
