#include "load/loadrun.h"

#include "backend/filler.h"
#include "http/server.h"
#include "http/target.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <mutex>
#include <thread>

using namespace clementinefall;
using namespace clementinefall::load;

namespace {

/// Behavior of the fake entry instance for one request.
enum class Behavior : std::uint8_t { Respond, CloseConnection, NotRun, Unknown, RespondToOther, RespondTruncated };

/// Fake entry instance. The first address in its lookup responses is closed. It applies the given behaviors in order,
/// one for each request, and responds normally afterwards.
class FakeEntryInstance {
public:
    explicit FakeEntryInstance(std::vector<Behavior> requestBehaviors)
        : behaviors(std::move(requestBehaviors))
        , server(
              std::make_shared<http::Server>(std::vector<asio::io_context*> { &this->context }, http::ServerLimits {},
                  [this](std::shared_ptr<http::Exchange> exchange) { return this->handle(std::move(exchange)); }))
    {
        REQUIRE(isOk(this->server->listen({ "127.0.0.1", 0 })));
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~FakeEntryInstance()
    {
        this->server->close();
        this->thread.join();
    }

    RequestRecord invoke(const RequestKind& kind)
    {
        asio::io_context callers;
        const std::vector<HostPort> seeds { { "127.0.0.1", 1 }, { "127.0.0.1", this->server->port() } };
        const auto group = std::make_shared<CallerGroup>(callers.get_executor(), "sur-a", seeds);
        auto result = asio::co_spawn(callers, group->invoke(kind, 7), asio::use_future);
        callers.run();
        return result.get();
    }

    std::vector<std::string> receivedIdentities;

private:
    Awaitable<void> handle(std::shared_ptr<http::Exchange> exchange)
    {
        const auto target = http::parseTarget(exchange->header().target());
        http::Response response;
        if (target->path == "/v1/lookup") {
            response = http::jsonResponse(200,
                fmt::format(R"({{"ttlMs":5000,"instances":[{{"address":"127.0.0.1","port":1,"zone":"sur-a"}},)"
                            R"({{"address":"127.0.0.1","port":{},"zone":"sur-b"}}]}})",
                    this->server->port()));
        } else if (target->path == "/v1/identities") {
            response = http::jsonResponse(200, R"({"identities":["e1.a.7"],"lifetimeMs":900000})");
        } else {
            const Result<std::string> body = co_await exchange->receiveWholeBody(1024 * 1024);
            const Behavior behavior = this->nextBehavior();
            this->receivedIdentities.emplace_back(http::fieldValue(exchange->header(), http::HeaderName::identity));
            if (behavior == Behavior::CloseConnection)
                co_return;
            response = this->makeResponse(behavior, target->path.substr(target->path.find("/load/")), valueOf(body));
        }
        co_await exchange->respond(std::move(response));
    }

    Behavior nextBehavior()
    {
        const std::size_t index = this->receivedIdentities.size();
        return index < this->behaviors.size() ? this->behaviors[index] : Behavior::Respond;
    }

    http::Response makeResponse(Behavior behavior, const std::string& path, const std::string& body)
    {
        if (behavior == Behavior::NotRun)
            return http::errorResponse(makeError(ResultCode::NotRunNoCapacity, "full"));
        if (behavior == Behavior::Unknown)
            return http::errorResponse(makeError(ResultCode::UnknownConnectionLost, "lost"));
        const boost::json::object line { { "identity", "e1.a.7" }, { "server", "s1" },
            { "path", behavior == Behavior::RespondToOther ? "/load/stamp/8" : path }, { "bytes", body.size() },
            { "hash", backend::bodyHash(body) } };
        std::string filler(behavior == Behavior::RespondTruncated ? 99 : 100, '\0');
        backend::fillBytes("e1.a.7", 0, filler);
        http::Response response = http::jsonResponse(200, boost::json::serialize(line) + "\n" + filler);
        http::setResultFields(response.base(), ResultCode::Answered);
        return response;
    }

    std::vector<Behavior> behaviors;
    asio::io_context context;
    std::shared_ptr<http::Server> server;
    std::thread thread;
};

RequestKind stampKind() { return { "stamp", "sellos", true, 1.0, 200'000, 100, milliseconds(5000), {} }; }

} // namespace

TEST_CASE("Caller")
{
    SECTION("an instance that refuses connections is skipped and the next one sends a complete response")
    {
        FakeEntryInstance entry({});
        const RequestRecord record = entry.invoke(stampKind());
        CHECK(record.outcome == Outcome::Answered);
        CHECK(record.check == ResponseCheck::Complete);
        CHECK(record.attempts == 2);
        CHECK(record.entryZone == "sur-b");
    }

    SECTION("a request is retried with the same identity after a lost connection and after an unknown outcome")
    {
        FakeEntryInstance entry({ Behavior::CloseConnection, Behavior::Unknown });
        RequestKind kind = stampKind();
        kind.bodyBytes = 10;
        const RequestRecord record = entry.invoke(kind);
        CHECK(record.identity == "e1.a.7");
        CHECK(entry.receivedIdentities == std::vector<std::string>(2, "e1.a.7"));
        CHECK(record.outcome == Outcome::Unknown);
    }

    SECTION("not run is final: a retry with the same identity could execute a request that was reported as not run")
    {
        FakeEntryInstance entry({ Behavior::NotRun });
        const RequestRecord record = entry.invoke(stampKind());
        CHECK(record.outcome == Outcome::NotRun);
        CHECK(record.resultCode == number(ResultCode::NotRunNoCapacity));
        CHECK(entry.receivedIdentities.size() == 1);
    }

    SECTION("responses to another request and truncated responses are detected")
    {
        FakeEntryInstance entry({ Behavior::RespondToOther, Behavior::RespondTruncated });
        CHECK(entry.invoke(stampKind()).check == ResponseCheck::OtherRequest);
        CHECK(entry.invoke(stampKind()).check == ResponseCheck::Corrupted);
    }

    SECTION("if no instance is reachable, nothing is sent and the request is not run")
    {
        LoadSettings settings;
        settings.scenario = { { "sur-a" }, { stampKind() } };
        settings.entries = { { "127.0.0.1", 1 } };
        settings.duration = milliseconds(50);
        const LoadResult result = runLoad(settings);
        REQUIRE_FALSE(result.records.empty());
        for (const RequestRecord& record : result.records) {
            CHECK(record.outcome == Outcome::NotRun);
            CHECK(record.attempts == 0);
        }
    }
}
