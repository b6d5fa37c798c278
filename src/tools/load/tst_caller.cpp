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

/// Reaction of the stand-in for an entry instance to a request.
enum class Reaction : std::uint8_t { Answer, Break, NotRun, Unknown, AnswerOther, AnswerShort };

/// Stand-in with a closed first address in its lookup answers. It reacts in turn as told and then answers.
class EntryStandIn {
public:
    explicit EntryStandIn(std::vector<Reaction> turns)
        : reactions(std::move(turns))
        , server(
              std::make_shared<http::Server>(std::vector<asio::io_context*> { &this->context }, http::ServerLimits {},
                  [this](std::shared_ptr<http::Exchange> exchange) { return this->handle(std::move(exchange)); }))
    {
        REQUIRE(isOk(this->server->listen({ "127.0.0.1", 0 })));
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~EntryStandIn()
    {
        this->server->close();
        this->thread.join();
    }

    Record invoke(const RequestKind& kind)
    {
        asio::io_context callers;
        const std::vector<HostPort> seeds { { "127.0.0.1", 1 }, { "127.0.0.1", this->server->port() } };
        const auto group = std::make_shared<CallerGroup>(callers.get_executor(), "sur-a", seeds);
        auto result = asio::co_spawn(callers, group->invoke(kind, 7), asio::use_future);
        callers.run();
        return result.get();
    }

    std::vector<std::string> seenIdentities;

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
            const Reaction reaction = this->next();
            this->seenIdentities.emplace_back(http::fieldValue(exchange->header(), http::HeaderName::identity));
            if (reaction == Reaction::Break)
                co_return;
            response = this->answer(reaction, target->path.substr(target->path.find("/load/")), valueOf(body));
        }
        co_await exchange->respond(std::move(response));
    }

    Reaction next()
    {
        const std::size_t turn = this->seenIdentities.size();
        return turn < this->reactions.size() ? this->reactions[turn] : Reaction::Answer;
    }

    http::Response answer(Reaction reaction, const std::string& path, const std::string& body)
    {
        if (reaction == Reaction::NotRun)
            return http::errorResponse(makeError(ResultCode::NotRunNoCapacity, "full"));
        if (reaction == Reaction::Unknown)
            return http::errorResponse(makeError(ResultCode::UnknownConnectionLost, "lost"));
        const boost::json::object line { { "identity", "e1.a.7" }, { "server", "s1" },
            { "path", reaction == Reaction::AnswerOther ? "/load/stamp/8" : path }, { "bytes", body.size() },
            { "hash", backend::bodyHash(body) } };
        std::string filler(reaction == Reaction::AnswerShort ? 99 : 100, '\0');
        backend::fillBytes("e1.a.7", 0, filler);
        http::Response response = http::jsonResponse(200, boost::json::serialize(line) + "\n" + filler);
        http::setResultFields(response.base(), ResultCode::Answered);
        return response;
    }

    std::vector<Reaction> reactions;
    asio::io_context context;
    std::shared_ptr<http::Server> server;
    std::thread thread;
};

RequestKind stamp() { return { "stamp", "sellos", true, 1.0, 200'000, 100, milliseconds(5000), {} }; }

} // namespace

TEST_CASE("Caller")
{
    SECTION("a closed instance leads to the next one of the list, which answers whole")
    {
        EntryStandIn entry({});
        const Record record = entry.invoke(stamp());
        CHECK(record.outcome == Outcome::Answered);
        CHECK(record.check == AnswerCheck::Whole);
        CHECK(record.attempts == 2);
        CHECK(record.entryZone == "sur-b");
    }

    SECTION("a broken connection and an unknown outcome are resent with the same identity")
    {
        EntryStandIn entry({ Reaction::Break, Reaction::Unknown });
        RequestKind kind = stamp();
        kind.bodyBytes = 10;
        const Record record = entry.invoke(kind);
        CHECK(record.identity == "e1.a.7");
        CHECK(entry.seenIdentities == std::vector<std::string>(2, "e1.a.7"));
        CHECK(record.outcome == Outcome::Unknown);
    }

    SECTION("not run is final: a resend under the same identity could run what was reported as not run")
    {
        EntryStandIn entry({ Reaction::NotRun });
        const Record record = entry.invoke(stamp());
        CHECK(record.outcome == Outcome::NotRun);
        CHECK(record.resultCode == number(ResultCode::NotRunNoCapacity));
        CHECK(entry.seenIdentities.size() == 1);
    }

    SECTION("answers of another request and short answers are marked")
    {
        EntryStandIn entry({ Reaction::AnswerOther, Reaction::AnswerShort });
        CHECK(entry.invoke(stamp()).check == AnswerCheck::Wrong);
        CHECK(entry.invoke(stamp()).check == AnswerCheck::Cut);
    }

    SECTION("without any instance nothing was sent, so the request was not run")
    {
        LoadSettings settings;
        settings.scenario = { { "sur-a" }, { stamp() } };
        settings.entries = { { "127.0.0.1", 1 } };
        settings.duration = milliseconds(50);
        const LoadResult result = runLoad(settings);
        REQUIRE_FALSE(result.records.empty());
        for (const Record& record : result.records) {
            CHECK(record.outcome == Outcome::NotRun);
            CHECK(record.attempts == 0);
        }
    }
}
