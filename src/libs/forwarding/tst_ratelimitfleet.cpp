#include "forwarding/forwarder.h"
#include "forwarding/scriptedserver.h"
#include "forwarding/testwirenames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

class IgnoringSink : public ResponseSink {
public:
    Awaitable<bool> begin(const CallerResponse&, std::optional<std::size_t>) override { co_return true; }
    Awaitable<bool> write(std::string_view) override { co_return true; }
    bool canPassOn() const override { return true; }
};

/// Several entry instances in one process, which exchange permit messages over a simulated network. The first one is
/// the coordinator of all servers.
class Fleet {
public:
    static constexpr std::size_t instanceCount = 12;

    Fleet()
        : limited(this->context)
        , unlimited(this->context)
    {
        this->limited.script = [this](const std::string& request) {
            const std::string limit = this->statedLimit.empty() ? "" : "X-Limit: " + this->statedLimit + "\r\n";
            return ScriptedResponse { responseBytes(idOf(request), "whole", "X-Seal: s\r\n" + limit) };
        };
        this->unlimited.script
            = [](const std::string& request) { return ScriptedResponse { responseBytes(idOf(request), "whole") }; };
        for (std::size_t i = 0; i < instanceCount; ++i)
            this->addInstance(i);
    }

    /// Lets each instance forward \a count requests, one after the other. Returns how many succeeded.
    std::size_t forward(std::size_t count)
    {
        std::size_t succeeded = 0;
        std::size_t running = instanceCount;
        for (const auto& instance : this->instances) {
            asio::co_spawn(
                this->context,
                [this, instance, count, &succeeded, &running]() -> Awaitable<void> {
                    for (std::size_t i = 0; i < count; ++i) {
                        const unsigned status = co_await this->forwardOne(instance);
                        succeeded += status == 200 ? 1 : 0;
                    }
                    --running;
                },
                asio::detached);
        }
        while (running > 0)
            this->context.run_one();
        return succeeded;
    }

    /// Leaves only \a count servers, all of which have a limit without permits left.
    void exhaustServers(std::size_t count)
    {
        for (std::size_t i = 0; i < instanceCount; ++i) {
            for (const char* id : { "limited", "unlimited" })
                this->catalogs[i]->remove(id, Clock::now());
            std::map<std::string, RateLimitState> limits;
            for (std::size_t server = 0; server < count; ++server) {
                const std::string id = "exhausted-" + std::to_string(server);
                addServer(*this->catalogs[i], id, this->limited.port());
                limits[id] = { 0.0, Clock::now() };
            }
            this->instances[i]->recordRateLimits(limits);
        }
    }

    /// Lets the instance with \a index, which is not the coordinator, forward one request.
    unsigned forwardOneAt(std::size_t index)
    {
        unsigned status = 0;
        asio::co_spawn(
            this->context,
            [this, index, &status]() -> Awaitable<void> { status = co_await this->forwardOne(this->instances[index]); },
            asio::detached);
        while (status == 0)
            this->context.run_one();
        return status;
    }

    asio::io_context context { 1 };
    ScriptedServer limited;
    ScriptedServer unlimited;
    std::string statedLimit = "2"; ///< Of the limited server; empty without a limit.
    bool losesMessages = false;
    milliseconds messageDelay { 0 }; ///< Of a request for a permit and its reply together.
    unsigned permitRequests = 0;
    std::vector<std::shared_ptr<Forwarder>> instances;
    std::vector<std::shared_ptr<ServerCatalog>> catalogs;

private:
    void addInstance(std::size_t index)
    {
        auto catalog = std::make_shared<ServerCatalog>(InstanceLocation { "a", "north", { { "a", "north" } } });
        ForwarderSettings settings;
        settings.instance = "instance-" + std::to_string(index);
        settings.region = "north";
        settings.names = testWireNames();
        auto instance = std::make_shared<Forwarder>(this->context.get_executor(), settings, catalog);
        instance->configure(configuration());
        for (const auto& [id, port] :
            { std::pair { "limited", this->limited.port() }, std::pair { "unlimited", this->unlimited.port() } }) {
            addServer(*catalog, id, port);
        }
        // The port stands for the number of the instance.
        instance->permitCoordinator = [index](const BackendServer&) -> std::optional<HostPort> {
            return index == 0 ? std::nullopt : std::optional(HostPort { "instance", 0 });
        };
        const auto from = static_cast<std::uint16_t>(index);
        instance->permitClient().send = [this, from](const HostPort& to, const std::string& text) {
            ++this->permitRequests;
            auto timer = std::make_shared<asio::steady_timer>(this->context, this->messageDelay);
            timer->async_wait([this, timer, from, to, text](beast::error_code) { this->deliver(from, to.port, text); });
        };
        this->instances.push_back(std::move(instance));
        this->catalogs.push_back(std::move(catalog));
    }

    static void addServer(ServerCatalog& catalog, const std::string& id, std::uint16_t port)
    {
        ServerEntry entry;
        entry.id = id;
        entry.service = "stock";
        entry.address = { "127.0.0.1", port };
        entry.zone = "a";
        entry.slots = 100;
        catalog.apply(entry, Clock::now());
    }

    static std::shared_ptr<Configuration> configuration()
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->version = 1;
        Route route;
        route.name = "safe";
        route.host = "shop.example";
        route.pathPrefix = "/safe/";
        route.kind = RouteKind::Idempotent;
        route.timeout = seconds(3);
        route.targetLatency = milliseconds(500);
        route.maximumServers = 3;
        route.services = { { "stock", 1 } };
        configuration->routes = { route };
        configuration->services["stock"].name = "stock";
        return configuration;
    }

    void deliver(std::uint16_t from, std::uint16_t to, const std::string& text)
    {
        if (this->losesMessages)
            return;
        const TimePoint now = Clock::now();
        const Result<PermitMessage> message = decodePermitMessage(text, now);
        REQUIRE(isOk(message));
        if (const auto* reply = std::get_if<PermitReply>(&valueOf(message))) {
            this->instances[to]->permitClient().receive(*reply);
            return;
        }
        const auto& request = std::get<PermitRequest>(valueOf(message));
        const PermitReply reply = this->instances[to]->answerPermitRequest(request, now);
        if (request.number != 0)
            this->deliver(to, from, encodePermitMessage(reply, now));
    }

    Awaitable<unsigned> forwardOne(std::shared_ptr<Forwarder> instance)
    {
        auto request = std::make_shared<ForwardedRequest>();
        request->id = "r" + std::to_string(++this->requestCount);
        request->method = "GET";
        request->host = "shop.example";
        request->target = "/safe/1";
        request->fields = { { "X-Id", request->id } };
        request->receivedAt = Clock::now();
        auto requestContext = std::make_shared<RequestContext>();
        requestContext->request = request;
        requestContext->sink = &this->sink;
        requestContext->memory = std::make_shared<MessageMemory>(this->memory->open([] {}));
        const Forwarder::Outcome outcome = co_await instance->forward(requestContext);
        co_return outcome.response.status;
    }

    IgnoringSink sink;
    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>(64'000'000);
    std::size_t requestCount = 0;
};

/// What the rule allows in four seconds.
constexpr double allowedAtTwoPerSecond = 1.5 * 4 * 2 + 5;

} // namespace

TEST_CASE("The instances of a fleet keep to a backend server's rate limit together")
{
    Fleet fleet;
    // Each instance learns the limit from a response of its own.
    while (fleet.limited.requests.size() < Fleet::instanceCount)
        REQUIRE(fleet.forward(1) == Fleet::instanceCount);
    fleet.limited.requests.clear();
    const TimePoint begin = Clock::now();

    SECTION("and their callers are served by other servers")
    {
        CHECK(fleet.forward(20) == 20 * Fleet::instanceCount);
        CHECK(fleet.limited.requests.size() <= allowedAtTwoPerSecond);
    }
    SECTION("also when the coordinator cannot be reached")
    {
        fleet.losesMessages = true;
        CHECK(fleet.forward(20) == 20 * Fleet::instanceCount);
        CHECK(fleet.limited.requests.size() <= allowedAtTwoPerSecond);
    }
    SECTION("until the server names none any more")
    {
        fleet.statedLimit.clear();
        const TimePoint limit = Clock::now() + seconds(10);
        while (fleet.limited.requests.size() < 5 * Fleet::instanceCount && Clock::now() < limit) {
            fleet.forward(1);
            for (const auto& instance : fleet.instances)
                instance->recordRateLimits(fleet.instances[0]->coordinatedRateLimits(Clock::now()));
        }
        CHECK(fleet.limited.requests.size() >= 5 * Fleet::instanceCount);
        return;
    }
    CHECK(Clock::now() - begin < seconds(4));
}

TEST_CASE("A request that many limited servers deny is rejected before its time has passed")
{
    Fleet fleet;
    fleet.messageDelay = milliseconds(100);
    fleet.exhaustServers(30);
    const TimePoint begin = Clock::now();
    // Asking all servers one after the other takes the three seconds until the deadline.
    CHECK(fleet.forwardOneAt(5) == 503);
    CHECK(Clock::now() - begin < milliseconds(1500));
    CHECK(fleet.permitRequests > 0);
    CHECK(fleet.permitRequests <= 12);
    CHECK(fleet.limited.requests.empty());
}

TEST_CASE("A coordinator that became ready long after its start does not double a rate limit")
{
    Fleet fleet;
    const TimePoint ready = Clock::now();
    const auto grantsBetween = [&](milliseconds from, milliseconds until) {
        int granted = 0;
        for (TimePoint now = ready + from; now < ready + until; now += milliseconds(10)) {
            const PermitRequest request {
                .number = 1, .server = "limited", .maximumDelay = {}, .limit = { 10.0, now }
            };
            granted += fleet.instances[0]->answerPermitRequest(request, now).isGranted ? 1 : 0;
        }
        return granted;
    };
    // The coordinator before it may grant 30 in this time.
    CHECK(grantsBetween(milliseconds(0), permitHandoverTime) <= 15);
    CHECK(grantsBetween(permitHandoverTime + milliseconds(100), 2 * permitHandoverTime) >= 25);
}
