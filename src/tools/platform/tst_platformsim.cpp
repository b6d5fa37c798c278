#include "platform/platformclient.h"
#include "platformserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::platform;

namespace {

/// Simulator and client on one I/O context, which runs only inside run().
class Fixture {
public:
    Fixture()
        : server(std::make_shared<platform_sim::PlatformServer>(this->context))
    {
        REQUIRE(isOk(this->server->listen({ "127.0.0.1", 0 })));
        ClientSettings settings;
        settings.address = { "127.0.0.1", this->server->port() };
        settings.callsPerSecond = 1000;
        settings.burst = 1000;
        this->client = std::make_shared<PlatformClient>(this->context.get_executor(), settings);
    }

    ~Fixture()
    {
        this->server->close();
        this->context.restart();
        this->context.run();
    }

    template <typename T> T run(Awaitable<T> task)
    {
        auto future = asio::co_spawn(this->context, std::move(task), asio::use_future);
        this->context.restart();
        while (future.wait_for(seconds(0)) != std::future_status::ready)
            this->context.run_one();
        return future.get();
    }

    void setFaults(const std::string& faults) { REQUIRE(isOk(this->run(this->post("/faults", faults)))); }

    Awaitable<Status> post(std::string path, std::string body)
    {
        const auto connection = std::make_shared<http::ClientConnection>(this->context.get_executor());
        const HostPort address { "127.0.0.1", this->server->port() };
        const TimePoint deadline = Clock::now() + seconds(5);
        const Status connected = co_await connection->connect(address, deadline);
        if (!isOk(connected))
            co_return connected;
        http::Request request { http::Verb::put, path, 11 };
        request.body() = std::move(body);
        const auto response = co_await connection->exchange(std::move(request), 10'000, deadline);
        if (!isOk(response))
            co_return errorOf(response);
        co_return okStatus();
    }

    asio::io_context context { 1 };
    std::shared_ptr<platform_sim::PlatformServer> server;
    std::shared_ptr<PlatformClient> client;
};

template <typename T> ResultCode codeOf(const Result<T>& result)
{
    REQUIRE_FALSE(isOk(result));
    return errorOf(result).code;
}

} // namespace

TEST_CASE("Platform simulator and client")
{
    Fixture fixture;
    const auto created = fixture.run(fixture.client->write("k", "a", "one", 0));
    REQUIRE(isOk(created));

    SECTION("writes are conditional, so one of two concurrent writers gets a conflict")
    {
        CHECK(codeOf(fixture.run(fixture.client->write("k", "a", "two", 0))) == ResultCode::PlatformConflict);
        CHECK(isOk(fixture.run(fixture.client->write("k", "a", "two", valueOf(created)))));
        CHECK(codeOf(fixture.run(fixture.client->write("k", "a", "three", valueOf(created))))
            == ResultCode::PlatformConflict);
        CHECK(valueOf(fixture.run(fixture.client->read("k", "a"))).value == "two");
        CHECK(codeOf(fixture.run(fixture.client->read("k", "b"))) == ResultCode::PlatformNotFound);
    }

    SECTION("a watch returns at once if its revision is outdated, and after its wait time if nothing changes")
    {
        const auto behind = fixture.run(fixture.client->watch("k", 0, milliseconds(5000)));
        REQUIRE(isOk(behind));
        CHECK(valueOf(behind).objects.size() == 1);
        const auto unchanged = fixture.run(fixture.client->watch("k", valueOf(behind).revision, milliseconds(5)));
        REQUIRE(isOk(unchanged));
        CHECK(valueOf(unchanged) == valueOf(behind));
    }

    SECTION("names that mean something else in a path are written and read as they are")
    {
        for (const std::string name : { "a/b", "a b", "a?b=c", "a#b", "a%41", "a+b" }) {
            INFO(name);
            CHECK(isOk(fixture.run(fixture.client->write("k", name, "odd", 0))));
            const auto read = fixture.run(fixture.client->read("k", name));
            REQUIRE(isOk(read));
            CHECK(valueOf(read).value == "odd");
        }
        CHECK(valueOf(fixture.run(fixture.client->read("k", "a"))).value == "one");
    }

    SECTION("the client gets an error if the response is lost after the write took effect")
    {
        fixture.setFaults(R"({"loseAnswers":1})");
        CHECK_FALSE(isOk(fixture.run(fixture.client->write("k", "a", "two", valueOf(created)))));
        CHECK(valueOf(fixture.run(fixture.client->read("k", "a"))).value == "two");
    }

    SECTION("a stale read returns the previous value, and the next read the current one")
    {
        REQUIRE(isOk(fixture.run(fixture.client->write("k", "a", "two", valueOf(created)))));
        fixture.setFaults(R"({"staleReads":1})");
        CHECK(valueOf(fixture.run(fixture.client->read("k", "a"))).value == "one");
        CHECK(valueOf(fixture.run(fixture.client->read("k", "a"))).value == "two");
    }

    SECTION("every call fails during an outage and succeeds after its end")
    {
        fixture.setFaults(R"({"outageMs":60000})");
        CHECK(codeOf(fixture.run(fixture.client->read("k", "a"))) == ResultCode::PlatformUnreachable);
        fixture.setFaults("{}");
        CHECK(isOk(fixture.run(fixture.client->read("k", "a"))));
    }

    SECTION("the instance list lags, so that a new instance is not listed at first")
    {
        REQUIRE(isOk(fixture.run(
            fixture.post("/instances", R"({"entryInstances":[{"name":"e1","state":"live"}],"backendServers":[]})"))));
        CHECK(valueOf(fixture.run(fixture.client->instances())).entryInstances.size() == 1);
        fixture.setFaults(R"({"listLagMs":60000})");
        CHECK(valueOf(fixture.run(fixture.client->instances())).entryInstances.empty());
    }
}
