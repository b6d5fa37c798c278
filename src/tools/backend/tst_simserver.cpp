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

using CallResult = Result<http::Response>;
using ConnectionPtr = std::shared_ptr<ClientConnection>;

constexpr std::size_t maximumResponseBytes = 8 * 1024 * 1024;

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

Awaitable<CallResult> sendOn(ConnectionPtr connection, HostPort address, http::Request request, milliseconds timeout)
{
    const TimePoint deadline = Clock::now() + timeout;
    if (!connection->isOpen()) {
        const Status connected = co_await connection->connect(address, deadline);
        if (!isOk(connected))
            co_return errorOf(connected);
    }
    co_return co_await connection->exchange(std::move(request), maximumResponseBytes, deadline);
}

/// Server with two slots and its control API, both on the server thread; requests are sent from the client thread.
class Fixture {
public:
    explicit Fixture(ServerProfile profile = warmProfile())
        : server(std::make_shared<SimServer>(this->serverContext, "shelfwatch",
            bundle::BackendServer { "s1", "zone-a", { "127.0.0.1", 0 }, 2, 10 }, profile, bundle::Priority::Lookup, 1))
        , control(std::make_shared<http::Server>(std::vector<asio::io_context*> { &this->serverContext },
              http::ServerLimits {}, controlHandler({ this->server })))
    {
        REQUIRE(isOk(this->server->start()));
        // Read before the threads start, because the server writes the port again when it restarts after a crash.
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

    std::future<CallResult> start(
        ConnectionPtr on, const http::Request& request, milliseconds timeout = milliseconds(5000))
    {
        const HostPort address { "127.0.0.1", this->serverPort };
        return asio::co_spawn(this->clientContext, sendOn(std::move(on), address, request, timeout), asio::use_future);
    }

    CallResult call(const http::Request& request) { return this->start(this->connection(), request).get(); }

    std::string controlCall(http::Verb method, const std::string& target)
    {
        http::Request request { method, target, 11 };
        const HostPort address { "127.0.0.1", this->control->port() };
        const CallResult result = asio::co_spawn(
            this->clientContext, sendOn(this->connection(), address, request, milliseconds(5000)), asio::use_future)
                                      .get();
        REQUIRE(isOk(result));
        CHECK(valueOf(result).result_int() == 200);
        return valueOf(result).body();
    }

    /// Polls the counters until \a name is at least \a value or 5 s have passed. Returns the last value read.
    std::int64_t awaitCounter(const std::string& name, std::int64_t value)
    {
        std::int64_t observed = -1;
        const TimePoint deadline = Clock::now() + seconds(5);
        while (observed < value && Clock::now() < deadline) {
            const auto counters = boost::json::parse(this->controlCall(http::Verb::get, "/counters"));
            observed = counters.as_array().at(0).as_object().at(name).to_number<std::int64_t>();
        }
        return observed;
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

std::string notRunReason(const CallResult& result)
{
    REQUIRE(isOk(result));
    return std::string(http::fieldValue(valueOf(result).base(), http::HeaderName::notRun));
}

} // namespace

TEST_CASE("Simulated backend server")
{
    Fixture fixture;

    SECTION("a response describes its request and has the filler bytes of its identity")
    {
        const std::string body(200'000, 'x');
        const CallResult result = fixture.call(requestFor("/items/7?bytes=100000&workMs=1", "e1.a.7", body));
        REQUIRE(isOk(result));
        const std::string& text = valueOf(result).body();
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

    SECTION("requests queue when all slots are taken, are shed when the queue is full, and have no effect if not run")
    {
        std::vector<std::future<CallResult>> running;
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
            const CallResult load = fixture.call(requestFor("/load", {}));
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

    SECTION("a request is cancelled when its connection closes, and its effect stays counted")
    {
        const ConnectionPtr connection = fixture.connection();
        auto running = fixture.start(connection, requestFor("/a?workMs=60000", "left"));
        REQUIRE(fixture.awaitCounter("started", 1) == 1);
        asio::post(fixture.clientContext, [connection] { connection->close(); });
        CHECK_FALSE(isOk(running.get()));
        CHECK(fixture.awaitCounter("cancelled", 1) == 1);
        CHECK(fixture.controlCall(http::Verb::get, "/effects").find("left") != std::string::npos);
    }

    SECTION("a crash resets all connections and refuses new ones until the restart time has passed")
    {
        auto bystander = fixture.start(fixture.connection(), requestFor("/a?workMs=60000", "bystander"));
        REQUIRE(fixture.awaitCounter("started", 1) == 1);
        const CallResult crashed = fixture.call(requestFor("/a?crash=1&workMs=1", "killer"));
        REQUIRE_FALSE(isOk(crashed));
        CHECK(errorOf(crashed).code == ResultCode::UnknownConnectionLost);
        CHECK_FALSE(isOk(bystander.get()));
        const CallResult refused = fixture.call(requestFor("/a", "after"));
        REQUIRE_FALSE(isOk(refused));
        CHECK(errorOf(refused).code == ResultCode::NotRunConnectRefused);
        CallResult restarted = refused;
        const TimePoint deadline = Clock::now() + seconds(5);
        while (!isOk(restarted) && Clock::now() < deadline)
            restarted = fixture.call(requestFor("/a?workMs=1", "after"));
        CHECK(isOk(restarted));
    }

    SECTION("silenced connections run requests without a response while new connections work")
    {
        const ConnectionPtr silenced = fixture.connection();
        REQUIRE(isOk(fixture.start(silenced, requestFor("/a?workMs=1", "first")).get()));
        fixture.controlCall(http::Verb::post, "/servers/s1/silence");
        auto unanswered = fixture.start(silenced, requestFor("/a?workMs=1", "lost"), seconds(1));
        // The caller closes the connection at its timeout, before the server has seen the request if that is too short.
        REQUIRE(fixture.awaitCounter("started", 2) == 2);
        CHECK(isOk(fixture.call(requestFor("/a?workMs=1", "new"))));
        CHECK(fixture.controlCall(http::Verb::get, "/effects").find("lost") != std::string::npos);
        const CallResult result = unanswered.get();
        REQUIRE_FALSE(isOk(result));
        CHECK(errorOf(result).code == ResultCode::UnknownTimeout);
    }

    SECTION("a draining server announces it and counts the requests that it starts after the drain command")
    {
        fixture.controlCall(http::Verb::post, "/servers/shelfwatch/drain");
        const CallResult result = fixture.call(requestFor("/a?workMs=1", "x"));
        REQUIRE(isOk(result));
        CHECK(http::fieldValue(valueOf(result).base(), http::HeaderName::draining) == "1");
        CHECK(fixture.awaitCounter("startedAfterDrain", 1) == 1);
        const CallResult health = fixture.call(requestFor("/health", {}));
        CHECK(valueOf(health).body().find("draining") != std::string::npos);
        fixture.controlCall(http::Verb::post, "/servers/all/mislead");
        const CallResult misled = fixture.call(requestFor("/health", {}));
        CHECK(valueOf(misled).body().find("healthy") != std::string::npos);
        fixture.controlCall(http::Verb::post, "/reset");
        CHECK(fixture.controlCall(http::Verb::get, "/effects").empty());
    }
}
