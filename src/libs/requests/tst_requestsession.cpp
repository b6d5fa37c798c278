#include "http/clientconnection.h"
#include "http/server.h"
#include "requests/callerapi.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <map>

using namespace clementinefall;
using namespace clementinefall::requests;

namespace {

constexpr std::uint64_t maximumBodyBytes = 200'000;

/// Backend server that counts its executions by identity.
class FakeBackend {
public:
    Awaitable<void> handle(std::shared_ptr<http::Exchange> exchange)
    {
        const std::string identity(http::fieldValue(exchange->header(), http::HeaderName::identity));
        const std::string target(exchange->header().target());
        const Result<std::string> body = co_await exchange->receiveWholeBody(2 * maximumBodyBytes);
        if (!isOk(body))
            co_return;
        ++this->executions[identity];
        http::ResponseHeader header;
        header.result(200);
        header.set(http::HeaderName::identity, this->echo.empty() ? identity : this->echo);
        const std::string text = "response to " + target;
        co_await exchange->sendHeader(std::move(header), text.size());
        if (target == "/cut") {
            co_await exchange->sendBody("ans");
            co_return;
        }
        co_await exchange->sendBody(text);
        co_await exchange->endBody();
    }

    std::map<std::string, int> executions;
    std::string echo; ///< If not empty, sent instead of the identity of the request.
};

/// Entry instance without a control thread; the test sets its routing.
struct FakeEntry {
    FakeEntry(asio::io_context& context, const std::string& name, const std::string& zone, std::uint64_t incarnation)
        : state(InstanceIdentity { name, zone, incarnation }, this->spans)
        , thread { this->state, ConnectionPool(context.get_executor(), Random(1)), Random(2) }
        , server(std::make_shared<http::Server>(std::vector<asio::io_context*> { &context }, http::ServerLimits {},
              [this](std::shared_ptr<http::Exchange> exchange) {
                  return handleExchange(std::move(exchange), this->thread);
              }))
    {
        REQUIRE(isOk(this->server->listen({ "127.0.0.1", 0 })));
    }

    HostPort address() const { return { "127.0.0.1", this->server->port() }; }

    void adopt(const bundle::Bundle& bundle)
    {
        auto routing = std::make_shared<PublishedRouting>();
        routing->snapshot = steering::buildSnapshot(bundle, this->state.self.name);
        routing->view = steering::makeFleetView(*routing->snapshot, steering::MemberState::Live);
        routing->incarnations.assign(routing->snapshot->instances.size(), 1);
        this->state.applyServers(*routing->snapshot, *routing->snapshot->localZone, Clock::now());
        this->state.publish(std::move(routing));
    }

    SpanSink spans { "test", "" };
    TrafficState state;
    TrafficThread thread;
    std::shared_ptr<http::Server> server;
};

/// Zone a has the entry instance e1 and no backend server. Zone b of the same region has e2 and the only backend
/// server.
class TwoZoneSetup {
public:
    TwoZoneSetup()
        : backendServer(
            std::make_shared<http::Server>(std::vector<asio::io_context*> { &this->context }, http::ServerLimits {},
                [this](std::shared_ptr<http::Exchange> exchange) { return this->backend.handle(std::move(exchange)); }))
    {
        REQUIRE(isOk(this->backendServer->listen({ "127.0.0.1", 0 })));
        bundle::Bundle bundle;
        bundle.version = 1;
        bundle.zones = { { "a", "r" }, { "b", "r" } };
        bundle.entryInstances
            = { { "e1", "a", this->first.address(), {}, {} }, { "e2", "b", this->second.address(), {}, {} } };
        bundle::Service service;
        service.name = "mixed";
        service.requestClass = bundle::RequestClass::Mixed;
        service.maximumBodyBytes = maximumBodyBytes;
        service.servers = { { "s1", "b", { "127.0.0.1", this->backendServer->port() }, 4, 100 } };
        bundle.services = { service };
        this->first.adopt(bundle);
        this->second.adopt(bundle);
    }

    ~TwoZoneSetup()
    {
        for (const auto& server : { this->first.server, this->second.server, this->backendServer })
            server->close();
        this->context.restart();
        this->context.run();
    }

    Result<http::Response> call(const HostPort& entry, http::Request request)
    {
        auto future
            = asio::co_spawn(this->context, callOnce(this->context, entry, std::move(request)), asio::use_future);
        this->context.restart();
        while (future.wait_for(seconds(0)) != std::future_status::ready)
            this->context.run_one();
        return future.get();
    }

    static Awaitable<Result<http::Response>> callOnce(asio::io_context& context, HostPort entry, http::Request request)
    {
        const auto connection = std::make_shared<http::ClientConnection>(context.get_executor());
        const TimePoint deadline = Clock::now() + seconds(10);
        const Status connected = co_await connection->connect(entry, deadline);
        if (!isOk(connected))
            co_return errorOf(connected);
        co_return co_await connection->exchange(std::move(request), 1'000'000, deadline);
    }

    std::string issue(FakeEntry& entry)
    {
        const auto response = this->call(entry.address(), { http::Verb::post, "/v1/identities?service=mixed", 11 });
        REQUIRE(isOk(response));
        return std::string(boost::json::parse(valueOf(response).body()).at("identities").at(0).as_string());
    }

    asio::io_context context { 1 };
    FakeBackend backend;
    FakeEntry first { this->context, "e1", "a", 11 };
    FakeEntry second { this->context, "e2", "b", 22 };
    std::shared_ptr<http::Server> backendServer;
};

http::Request lookupRequest(const std::string& path)
{
    http::Request request { http::Verb::get, "/v1/services/mixed" + path, 11 };
    request.set(http::HeaderName::requestClass, "idempotent");
    return request;
}

http::Request charge(const std::string& identity, const std::string& body)
{
    http::Request request { http::Verb::post, "/v1/services/mixed/charge", 11 };
    request.set(http::HeaderName::requestClass, "non-idempotent");
    request.set(http::HeaderName::identity, identity);
    request.body() = body;
    return request;
}

std::string resultOf(const Result<http::Response>& response)
{
    REQUIRE(isOk(response));
    return std::string(http::fieldValue(valueOf(response), http::HeaderName::result));
}

} // namespace

TEST_CASE("Requests through entry instances")
{
    TwoZoneSetup setup;

    SECTION("a request without an identity is executed in the zone that has the backend server")
    {
        // Fails if the response is rejected for the lack of an echoed identity although the request has none.
        const auto response = setup.call(setup.first.address(), lookupRequest("/price"));
        CHECK(resultOf(response) == "1000");
        CHECK(valueOf(response).body() == "response to /price");
        CHECK(setup.second.state.counters.executedForPeers == 1);
    }

    SECTION("copies of a charge sent through several instances run once and get the same response")
    {
        const std::string identity = setup.issue(setup.first);
        const auto original = setup.call(setup.first.address(), charge(identity, "one"));
        CHECK(resultOf(original) == "1000");
        const auto copy = setup.call(setup.second.address(), charge(identity, "one"));
        CHECK(resultOf(copy) == "1001");
        CHECK(valueOf(copy).body() == valueOf(original).body());
        CHECK(setup.backend.executions[identity] == 1);

        SECTION("and a different body under the same identity is rejected")
        {
            CHECK(resultOf(setup.call(setup.second.address(), charge(identity, "two"))) == "4006");
            CHECK(setup.backend.executions[identity] == 1);
        }
    }

    SECTION("a request with the identity of an earlier incarnation is never run")
    {
        const std::string identity = formatIdentity({ "e1", 10, 1 });
        for (FakeEntry* entry : { &setup.first, &setup.second })
            CHECK(resultOf(setup.call(entry->address(), charge(identity, "one"))) == "3003");
        CHECK(setup.backend.executions.empty());
    }

    SECTION("a response that echoes the identity of another request is not relayed")
    {
        setup.backend.echo = "e9.0000000000000001.1";
        const std::string identity = setup.issue(setup.second);
        CHECK(resultOf(setup.call(setup.second.address(), charge(identity, "one"))) == "3005");
        CHECK(resultOf(setup.call(setup.second.address(), charge(identity, "one"))) == "3005");
        CHECK(setup.backend.executions[identity] == 1);
    }

    SECTION("a truncated response is never relayed as complete")
    {
        const std::string code = resultOf(setup.call(setup.second.address(), lookupRequest("/cut")));
        CHECK(code == "3008");
    }

    SECTION("invalid requests get a specific result code and reach no backend server")
    {
        http::Request badClass = lookupRequest("/price");
        badClass.set(http::HeaderName::requestClass, "sometimes");
        CHECK(resultOf(setup.call(setup.first.address(), badClass)) == "4005");
        CHECK(resultOf(setup.call(setup.first.address(), charge("", "one"))) == "2012");
        CHECK(resultOf(setup.call(setup.first.address(), charge("e1.1", "one"))) == "2011");
        http::Request tooLong = lookupRequest("/price");
        tooLong.body() = std::string(maximumBodyBytes + 1, 'x');
        CHECK(resultOf(setup.call(setup.second.address(), tooLong)) == "2013");
        http::Request unknown { http::Verb::get, "/v1/services/none/x", 11 };
        CHECK(resultOf(setup.call(setup.first.address(), unknown)) == "2008");
        CHECK(setup.backend.executions.empty());
    }

    SECTION("a lookup ranks the caller's zone first")
    {
        const auto response
            = setup.call(setup.first.address(), { http::Verb::get, "/v1/lookup?service=mixed&zone=b", 11 });
        REQUIRE(isOk(response));
        const auto document = boost::json::parse(valueOf(response).body());
        CHECK(document.at("instances").at(0).at("id").as_string() == "e2");
        CHECK(document.at("instances").as_array().size() == 2);
    }
}
