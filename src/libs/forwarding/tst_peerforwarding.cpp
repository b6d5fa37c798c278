#include "forwarding/callerserver.h"
#include "forwarding/peerforwarding.h"
#include "forwarding/scriptedserver.h"
#include "forwarding/testwirenames.h"

#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;
using asio::ip::tcp;
using requests::AttemptEnd;

namespace {

std::string requestBytes(const std::string& id, const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + id
        + "\r\nX-Left: 3000\r\nClementine-Servers: 7\r\n\r\n";
}

/// An entry instance with one backend service, whose servers a test chooses.
class Instance {
public:
    Instance(asio::io_context& context, const std::string& name, std::vector<std::uint16_t> serverPorts,
        std::size_t peerConnections = 100)
    {
        const InstanceLocation location { "a", "north", { { "a", "north" } } };
        this->catalog = std::make_shared<ServerCatalog>(location);
        ForwarderSettings settings;
        settings.instance = name;
        settings.region = "north";
        settings.names = testWireNames();
        settings.retryAllowance = 100;
        this->forwarder = std::make_shared<Forwarder>(context.get_executor(), settings, this->catalog);
        auto configuration = std::make_shared<Configuration>();
        configuration->version = 1;
        Route safe;
        safe.name = "safe";
        safe.host = "shop.example";
        safe.pathPrefix = "/safe/";
        safe.kind = RouteKind::Idempotent;
        safe.timeout = seconds(3);
        safe.targetLatency = milliseconds(500);
        safe.maximumServers = 3;
        safe.services = { { "stock", 1 } };
        Route once = safe;
        once.name = "once";
        once.pathPrefix = "/once/";
        once.kind = RouteKind::NonIdempotent;
        Route file = safe;
        file.name = "file";
        file.pathPrefix = "/file/";
        file.kind = RouteKind::Download;
        configuration->routes = { safe, once, file };
        Service service;
        service.name = "stock";
        service.coldTime = seconds(3);
        service.coldRequestsPerSecond = 5;
        configuration->services["stock"] = service;
        this->forwarder->configure(configuration);
        for (std::size_t i = 0; i < serverPorts.size(); ++i)
            this->addServer("s" + std::to_string(i), serverPorts[i]);
        this->sessions = std::make_shared<SessionContext>();
        this->sessions->forwarder = this->forwarder;
        this->sessions->names = testWireNames();
        this->callers = std::make_shared<CallerServer>(context.get_executor(), this->sessions, 100);
        this->peerRequests = std::make_shared<CallerServer>(
            context.get_executor(), this->sessions, peerConnections, RequestSource::EntryInstance);
        REQUIRE(isOk(this->callers->listen({ "127.0.0.1", 0 })));
        REQUIRE(isOk(this->peerRequests->listen({ "127.0.0.1", 0 })));
    }

    void addServer(const std::string& id, std::uint16_t port)
    {
        ServerEntry entry;
        entry.id = id;
        entry.service = "stock";
        entry.address = { "127.0.0.1", port };
        entry.zone = "a";
        entry.slots = 4;
        this->catalog->apply(entry, Clock::now());
    }

    Peer asPeer(const std::string& name) const
    {
        return { name, "north", { "127.0.0.1", this->peerRequests->port() } };
    }

    std::shared_ptr<ServerCatalog> catalog;
    std::shared_ptr<Forwarder> forwarder;
    std::shared_ptr<SessionContext> sessions;
    std::shared_ptr<CallerServer> callers;
    std::shared_ptr<CallerServer> peerRequests;
};

/// A port on which nothing listens. It stays bound, as others could get a port that was released.
class ClosedPort {
public:
    explicit ClosedPort(asio::io_context& context)
        : socket(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
    }

    std::uint16_t number() const { return this->socket.local_endpoint().port(); }

private:
    tcp::socket socket;
};

class Fixture {
public:
    Fixture()
        : server(this->context)
        , stranded(this->context, "stranded",
              { this->closed[0].number(), this->closed[1].number(), this->closed[2].number(),
                  this->closed[3].number() })
        , reaching(this->context, "reaching", { this->server.port() })
    {
        this->server.script
            = [](const std::string& request) { return ScriptedResponse { responseBytes(idOf(request), "whole") }; };
        this->stranded.forwarder->peers = [this] { return std::vector<Peer> { this->reaching.asPeer("reaching") }; };
    }

    std::string exchange(std::uint16_t port, const std::string& bytes)
    {
        auto socket = std::make_shared<tcp::socket>(this->context);
        socket->connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
        asio::async_write(*socket, asio::buffer(bytes), [socket](beast::error_code, std::size_t) {});
        std::string text;
        std::array<char, 65536> part {};
        bool isDone = false;
        std::function<void()> read = [&] {
            socket->async_read_some(asio::buffer(part), [&](beast::error_code error, std::size_t count) {
                text.append(part.data(), count);
                const std::size_t end = text.find("\r\n\r\n");
                const std::size_t lengthAt = text.find("Content-Length: ");
                if (!error
                    && (end == std::string::npos || lengthAt == std::string::npos
                        || text.size() < end + 4 + std::stoul(text.substr(lengthAt + 16))))
                    read();
                else
                    isDone = true;
            });
        };
        read();
        const TimePoint limit = Clock::now() + seconds(5);
        while (!isDone && Clock::now() < limit)
            this->context.run_one_for(milliseconds(50));
        REQUIRE(isDone);
        socket->close();
        return text;
    }

    /// Sends requests for files, which the server holds, and keeps their connections open.
    std::vector<std::shared_ptr<tcp::socket>> openHeld(std::uint16_t port, int count)
    {
        this->server.script = [](const std::string& request) {
            return ScriptedResponse { .bytes = responseBytes(idOf(request), "whole"),
                .isHeld = request.starts_with("GET /file/") };
        };
        std::vector<std::shared_ptr<tcp::socket>> sockets;
        for (int i = 0; i < count; ++i) {
            sockets.push_back(std::make_shared<tcp::socket>(this->context));
            sockets.back()->connect({ asio::ip::make_address("127.0.0.1"), port });
            asio::write(*sockets.back(), asio::buffer(requestBytes("held" + std::to_string(i), "/file/1")));
        }
        return sockets;
    }

    void runUntil(const std::function<bool()>& done)
    {
        const TimePoint limit = Clock::now() + seconds(5);
        while (!done() && Clock::now() < limit)
            this->context.run_one_for(milliseconds(50));
        REQUIRE(done());
    }

    std::string ask(const std::string& id, const std::string& path)
    {
        return this->exchange(this->stranded.callers->port(), requestBytes(id, path));
    }

    asio::io_context context;
    std::array<ClosedPort, 4> closed { ClosedPort(this->context), ClosedPort(this->context), ClosedPort(this->context),
        ClosedPort(this->context) };
    ScriptedServer server;
    Instance stranded;
    Instance reaching;
};

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

TEST_CASE("Callers of an entry instance that reaches no backend server")
{
    Fixture fixture;

    SECTION("are served through another instance")
    {
        const std::string response = fixture.ask("r1", "/safe/1");
        CHECK(contains(response, "HTTP/1.1 200"));
        CHECK(contains(response, "whole"));
        CHECK(fixture.server.requests.size() == 1);

        SECTION("with the request unchanged, and nothing of the instances' own in it or in the response")
        {
            CHECK(contains(fixture.server.requests.front(), "X-Id: r1\r\n"));
            CHECK(contains(fixture.server.requests.front(), "Clementine-Servers: 7\r\n"));
            CHECK(fixture.server.requests.front().find("Clementine-Servers", 0)
                == fixture.server.requests.front().rfind("Clementine-Servers"));
            CHECK_FALSE(contains(response, "Clementine-"));
        }

        SECTION("at once after the instance has found out")
        {
            for (int i = 0; i < 20 && !fixture.stranded.forwarder->isStranded(); ++i)
                fixture.context.run_one_for(milliseconds(50));
            REQUIRE(fixture.stranded.forwarder->isStranded());
            CHECK(contains(fixture.ask("r2", "/once/2"), "whole"));
            CHECK(fixture.server.requests.size() == 2);
        }
    }

    SECTION("get long responses whole, and one that breaks off not as whole")
    {
        const std::string body(400 * 1024, 'x');
        fixture.server.script = [&](const std::string& request) {
            const std::string bytes = responseBytes(idOf(request), body);
            return idOf(request) == "cut"
                ? ScriptedResponse { .bytes = bytes.substr(0, bytes.size() - 5), .closes = true }
                : ScriptedResponse { bytes };
        };
        const std::string whole = fixture.ask("whole", "/file/1");
        CHECK(whole.size() > body.size());
        CHECK_FALSE(contains(whole, "Clementine-"));
        CHECK(fixture.ask("cut", "/file/2").size() < body.size() + whole.find("\r\n\r\n") + 4);
    }

    SECTION("are not led astray by a server that sends the fields in which instances tell each other things")
    {
        std::size_t bodyBytes = 5;
        SECTION("in a response") { }
        SECTION("in a streamed response") { bodyBytes = 400000; }
        fixture.server.script = [bodyBytes](const std::string& request) {
            return ScriptedResponse { responseBytes(
                idOf(request), std::string(bodyBytes, 'b'), "X-Seal: s\r\nClementine-Leaving: s1 0\r\n") };
        };
        REQUIRE(contains(fixture.ask("r1", "/file/1"), "HTTP/1.1 200"));
        REQUIRE(fixture.stranded.catalog->find("s1"));
        CHECK_FALSE(fixture.stranded.catalog->find("s1")->isLeaving);
    }

    SECTION("get no part of an answer without a length when its server resets the connection within their upload")
    {
        // Guards against a reset that the write of the upload takes note of, and the read of the answer does not.
        fixture.server.script = [](const std::string& request) {
            return ScriptedResponse {
                .bytes = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: " + idOf(request) + "\r\n\r\npart", .resets = true
            };
        };
        const std::string body(6'000'000, 'u');
        const std::string upload
            = "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\nX-Left: 3000\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        SECTION("at their own instance")
        {
            const std::string response = fixture.exchange(fixture.reaching.callers->port(), upload);
            CHECK(contains(response, "HTTP/1.1 502"));
            CHECK_FALSE(contains(response, "X-Seal"));
        }
        SECTION("through another instance")
        {
            const std::string response = fixture.exchange(fixture.stranded.callers->port(), upload);
            CHECK(contains(response, "HTTP/1.1 502"));
            CHECK_FALSE(contains(response, "X-Seal"));
        }
        CHECK(fixture.server.requests.size() == 1);
    }

    SECTION("that do not read what a server sends without end hold a bounded amount of memory at both instances")
    {
        constexpr std::uint64_t limit = 1'000'000;
        fixture.stranded.sessions->memory = std::make_shared<MemoryBudget>(limit);
        fixture.reaching.sessions->memory = std::make_shared<MemoryBudget>(limit);
        const MemoryBudget& near = *fixture.stranded.sessions->memory;
        const MemoryBudget& far = *fixture.reaching.sessions->memory;
        fixture.server.script = [](const std::string& request) {
            return idOf(request) == "own"
                ? ScriptedResponse { responseBytes("own", "whole") }
                : ScriptedResponse { .bytes = "HTTP/1.1 200 OK\r\nX-Id: " + idOf(request) + "\r\nX-Seal: s\r\n\r\n",
                      .repeated = std::string(65536, 'n') };
        };
        REQUIRE(contains(fixture.ask("own", "/safe/1"), "whole"));
        ServerEntry entry = fixture.reaching.catalog->find("s0")->entry;
        entry.slots = 100;
        ++entry.sequence;
        REQUIRE(fixture.reaching.catalog->apply(entry, Clock::now()));
        std::vector<std::shared_ptr<tcp::socket>> callers;
        for (int i = 0; i < 12; ++i) {
            callers.push_back(std::make_shared<tcp::socket>(fixture.context));
            callers.back()->connect({ asio::ip::make_address("127.0.0.1"), fixture.stranded.callers->port() });
            callers.back()->set_option(tcp::socket::receive_buffer_size(4096));
            asio::write(*callers.back(), asio::buffer(requestBytes("r" + std::to_string(i), "/file/1")));
        }
        const TimePoint end = Clock::now() + seconds(5);
        constexpr std::uint64_t underPressure = limit * 7 / 10;
        while (Clock::now() < end && (near.peakBytes() < underPressure || far.peakBytes() < underPressure))
            fixture.context.run_one_for(milliseconds(50));
        REQUIRE(near.peakBytes() >= underPressure);
        REQUIRE(far.peakBytes() >= underPressure);
        CHECK(near.peakBytes() <= limit);
        CHECK(far.peakBytes() <= limit);
        CHECK(contains(fixture.ask("own", "/safe/2"), "whole"));
    }

    SECTION("are told that a request may have run when the server that got it was lost")
    {
        fixture.server.script = [](const std::string&) { return ScriptedResponse { .bytes = "", .resets = true }; };
        const std::string response = fixture.ask("r1", "/once/1");
        CHECK(contains(response, "HTTP/1.1 502"));
        CHECK(fixture.server.requests.size() == 1);
    }

    SECTION("are told that a request did not run, with the time to come back, when the other instance is full")
    {
        fixture.reaching.sessions->rejectsNewRequests = true;
        const std::string response = fixture.ask("r1", "/once/1");
        CHECK(contains(response, "HTTP/1.1 503"));
        CHECK(contains(response, "Retry-After: "));
        CHECK(fixture.server.requests.empty());
    }

    SECTION("are told that a request did not run when the other instance has no connection left for it")
    {
        Instance crowded(fixture.context, "crowded", { fixture.server.port() }, 3);
        fixture.stranded.forwarder->peers = [&] { return std::vector<Peer> { crowded.asPeer("crowded") }; };
        const auto held = fixture.openHeld(crowded.peerRequests->port(), 3);
        fixture.runUntil([&] { return fixture.server.requests.size() == 3; });
        const std::string response = fixture.ask("r1", "/once/1");
        CHECK(contains(response, "HTTP/1.1 503"));
        CHECK(contains(response, "Retry-After: "));
        CHECK(fixture.server.requests.size() == 3);
    }

    SECTION("are served although requests of another route wait for their servers at the other instance")
    {
        ServerEntry entry = fixture.reaching.catalog->find("s0")->entry;
        entry.slots = 100;
        ++entry.sequence;
        REQUIRE(fixture.reaching.catalog->apply(entry, Clock::now()));
        fixture.reaching.sessions->maximumPeerRequests = 6;
        const auto held = fixture.openHeld(fixture.reaching.peerRequests->port(), 10);
        fixture.runUntil([&] { return fixture.server.requests.size() >= 3; });
        CHECK(contains(fixture.ask("r1", "/once/1"), "whole"));
        CHECK(fixture.server.requests.size() == 4);
    }

    SECTION("do not earn the fleet more retries than other callers")
    {
        ScriptedServer other(fixture.context);
        fixture.reaching.addServer("other", other.port());
        const auto respond
            = [](const std::string& request) { return ScriptedResponse { responseBytes(idOf(request), "whole") }; };
        const auto reset = [](const std::string&) { return ScriptedResponse { .bytes = "", .resets = true }; };
        fixture.server.script = other.script = respond;
        fixture.reaching.forwarder->setRetryAllowance(0);
        for (int i = 0; i < 20; ++i)
            fixture.ask("r" + std::to_string(i), "/safe/1");
        fixture.server.script = other.script = reset;
        const std::size_t before = fixture.server.requests.size() + other.requests.size();
        CHECK(contains(fixture.ask("lost", "/safe/1"), "HTTP/1.1 502"));
        CHECK(fixture.server.requests.size() + other.requests.size() == before + 1);
    }

    SECTION("teach their instance which servers leave")
    {
        std::size_t bodyBytes = 10;
        fixture.server.script = [&](const std::string& request) {
            return ScriptedResponse { responseBytes(
                idOf(request), std::string(bodyBytes, 'x'), "X-Seal: s\r\nX-Leaving: 1\r\n") };
        };
        SECTION("in a response") { }
        SECTION("in a streamed response") { bodyBytes = 400000; }
        const std::string response = fixture.ask("r1", "/file/1");
        CHECK(contains(response, "X-Leaving: 1\r\n"));
        CHECK_FALSE(contains(response, "Clementine-"));
        CHECK(fixture.stranded.catalog->find("s0")->isLeaving);
        CHECK(fixture.reaching.catalog->find("s0")->isLeaving);
        CHECK_FALSE(fixture.stranded.catalog->find("s1")->isLeaving);
    }

    SECTION("have their requests repeated within the budget only, also when servers reject them")
    {
        fixture.server.script = [](const std::string& request) {
            return ScriptedResponse { "HTTP/1.1 503 Busy\r\nX-Id: " + idOf(request)
                + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" };
        };
        fixture.stranded.forwarder->peers = [&] {
            return std::vector<Peer> { fixture.reaching.asPeer("first"), fixture.reaching.asPeer("second") };
        };
        fixture.stranded.forwarder->setRetryAllowance(0);
        SECTION("none is left")
        {
            CHECK(contains(fixture.ask("r1", "/safe/1"), "HTTP/1.1 503"));
            CHECK(fixture.server.requests.size() == 1);
        }
        SECTION("one is left")
        {
            fixture.stranded.forwarder->setRetryAllowance(1);
            CHECK(contains(fixture.ask("r1", "/safe/1"), "HTTP/1.1 503"));
            CHECK(fixture.server.requests.size() == 2);
        }
        SECTION("and requests that no server got are passed to a second instance without one")
        {
            Instance stopping(fixture.context, "stopping", {});
            stopping.sessions->rejectsNewRequests = true;
            fixture.server.script
                = [](const std::string& request) { return ScriptedResponse { responseBytes(idOf(request), "whole") }; };
            fixture.stranded.forwarder->peers = [&] {
                return std::vector<Peer> { stopping.asPeer("first"), fixture.reaching.asPeer("second") };
            };
            for (int i = 0; i < 8; ++i)
                CHECK(contains(fixture.ask("r" + std::to_string(i), "/safe/1"), "whole"));
        }
    }

    SECTION("are not told that a request did not run after a server has run it")
    {
        ScriptedServer failing(fixture.context);
        failing.script = [](const std::string& request) {
            return ScriptedResponse { "HTTP/1.1 500 Error\r\nX-Id: " + idOf(request)
                + "\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n" };
        };
        ServerEntry entry;
        entry.id = "failing";
        entry.service = "stock";
        entry.address = { "127.0.0.1", failing.port() };
        entry.zone = "a";
        entry.slots = 4;
        fixture.stranded.catalog->apply(entry, Clock::now());
        // The servers that cannot be reached are the second choice.
        for (const std::string id : { "s0", "s1", "s2", "s3" })
            fixture.stranded.catalog->find(id)->inFlight = 3;
        fixture.reaching.sessions->rejectsNewRequests = true;
        fixture.stranded.forwarder->peers = [&] {
            return std::vector<Peer> { fixture.reaching.asPeer("first"), fixture.reaching.asPeer("second") };
        };
        CHECK(contains(fixture.ask("r1", "/safe/1"), "HTTP/1.1 500"));
        CHECK(failing.requests.size() == 1);
    }

    SECTION("are not told that a request did not run by a server's status that says so to them only")
    {
        // Guards against charges made twice, as `tst_callersession` does for requests that stay at one instance.
        const std::size_t bodyBytes = GENERATE(4U, 400000U);
        const auto fail = [bodyBytes](const std::string& request) {
            return ScriptedResponse { "HTTP/1.1 503 Failed\r\nX-Id: " + idOf(request)
                + "\r\nX-Seal: s\r\nRetry-After: 0.4\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
                + std::string(bodyBytes, 'f') };
        };
        ScriptedServer older(fixture.context);
        std::string outcome;
        SECTION("through an instance of this release") { fixture.server.script = fail; }
        SECTION("through an instance of an earlier release, which takes the status for an answer")
        {
            outcome = "Clementine-Outcome: answered\r\n";
        }
        SECTION("through something that is no instance") { outcome = "X-Other: 1\r\n"; }
        if (!outcome.empty()) {
            older.script = [&](const std::string& request) {
                ScriptedResponse response = fail(request);
                response.bytes.insert(response.bytes.find("X-Id"), outcome);
                return response;
            };
            const Peer peer { "older", "north", { "127.0.0.1", older.port() } };
            fixture.stranded.forwarder->peers = [peer] { return std::vector<Peer> { peer }; };
        }
        const std::string text = fixture.ask("r1", "/once/1");
        CHECK(contains(text, "HTTP/1.1 502 "));
        CHECK_FALSE(contains(text, "X-Seal"));
        CHECK_FALSE(contains(text, "Retry-After"));
        CHECK(fixture.server.requests.size() + older.requests.size() == 1);
    }

    SECTION("are not told 404 because the other instance does not know the route yet")
    {
        auto older = std::make_shared<Configuration>();
        older->version = 2;
        fixture.reaching.forwarder->configure(older);
        CHECK(contains(fixture.ask("r1", "/safe/1"), "HTTP/1.1 503"));
    }

    SECTION("are rejected when the other instance is stranded too; the request does not circulate")
    {
        Instance another(fixture.context, "another", { fixture.closed[0].number(), fixture.closed[1].number() });
        std::size_t passed = 0;
        another.forwarder->peers = [&] {
            ++passed;
            return std::vector<Peer> { fixture.stranded.asPeer("stranded") };
        };
        fixture.stranded.forwarder->peers = [&] { return std::vector<Peer> { another.asPeer("another") }; };
        CHECK(contains(fixture.ask("r1", "/safe/1"), "HTTP/1.1 503"));
        CHECK(passed == 0);
    }

    SECTION("have a request that is safe to repeat sent through a second instance when the first is lost")
    {
        ScriptedServer lost(fixture.context);
        lost.script = [](const std::string&) { return ScriptedResponse { .bytes = "", .resets = true }; };
        // The instance of the same region is the first choice.
        const Peer lostPeer { "lost", "north", { "127.0.0.1", lost.port() } };
        Peer otherPeer = fixture.reaching.asPeer("reaching");
        otherPeer.region = "south";
        fixture.stranded.forwarder->peers = [&] { return std::vector<Peer> { otherPeer, lostPeer }; };
        CHECK(contains(fixture.ask("r1", "/safe/1"), "whole"));
        CHECK(lost.requests.size() == 1);
        CHECK(fixture.server.requests.size() == 1);

        SECTION("but not one that may have run and must not run twice")
        {
            CHECK(contains(fixture.ask("r2", "/once/2"), "HTTP/1.1 502"));
            CHECK(lost.requests.size() == 2);
            CHECK(fixture.server.requests.size() == 1);
        }
    }
}

TEST_CASE("An entry instance that recovers its links to the backend servers")
{
    asio::io_context context;
    ScriptedServer server(context);
    server.script
        = [](const std::string& request) { return ScriptedResponse { responseBytes(idOf(request), "whole") }; };
    auto catalog = std::make_shared<ServerCatalog>(InstanceLocation { "a", "north", { { "a", "north" } } });
    const auto monitor = std::make_shared<ReachabilityMonitor>(context.get_executor(), catalog);
    ServerEntry entry;
    entry.id = "s1";
    entry.service = "stock";
    entry.zone = "a";
    const ClosedPort closed(context);
    entry.address = { "127.0.0.1", closed.number() };
    catalog->apply(entry, Clock::now());
    unsigned changes = 0;
    monitor->onChanged = [&changes] { ++changes; };
    auto failed = std::make_shared<BackendServer>();
    failed->entry.id = "s2";
    monitor->recordFailure(catalog->find("s1"), Clock::now());
    monitor->recordFailure(failed, Clock::now());
    const auto runUntilChange = [&](unsigned number) {
        const TimePoint limit = Clock::now() + seconds(5);
        while (changes < number && Clock::now() < limit)
            context.run_one_for(milliseconds(50));
    };
    runUntilChange(1);
    REQUIRE(monitor->state().isStranded);
    REQUIRE(changes == 1);

    SECTION("notices it without a request")
    {
        entry.address = { "127.0.0.1", server.port() };
        entry.sequence = 1;
        catalog->apply(entry, Clock::now());
        monitor->verifyIfDue(monitor->state().verifiedAt + verificationInterval);
        runUntilChange(2);
        CHECK_FALSE(monitor->state().isStranded);
        CHECK(server.requests.empty());
    }
}

TEST_CASE("Requests that pass between entry instances")
{
    ForwardedRequest request;
    request.fields = { { "Clementine-Servers", "2" }, { "Clementine-Servers", "9" } };

    SECTION("carry the number of servers that may be tried, and the caller's own field of that name stays")
    {
        REQUIRE(isOk(decodePeerRequest(request)));
        CHECK(request.serversAllowedByPeer == 2U);
        CHECK(request.fields.size() == 1);
    }

    SECTION("are rejected without that number, or with one that is none")
    {
        for (const std::string text : { "", "0", "-1", "1e3", "4294967296", "1001", "two" }) {
            request.fields = { { "Clementine-Servers", text } };
            CHECK_FALSE(isOk(decodePeerRequest(request)));
        }
        request.fields.clear();
        CHECK_FALSE(isOk(decodePeerRequest(request)));
    }

    SECTION("leave one server to try after the loss of the other instance")
    {
        CHECK(serversForPeer(3) == 2);
        CHECK(serversForPeer(1) == 1);
    }

    SECTION("what another instance states wrongly is left out")
    {
        for (const std::string text : { "", "s1", " 5", "s1 ", "s1 x", "s1 5 6", "s1 99999999999999999999" }) {
            ServerResponse response;
            response.end = AttemptEnd::Answered;
            response.message.fields = { { "Clementine-Outcome", "answered" }, { "Clementine-Leaving", text },
                { "Clementine-Tried", text } };
            applyPeerOutcome(response);
            CHECK_FALSE(response.message.leavingServer);
            CHECK_FALSE(response.message.serversTried);
            CHECK(response.message.fields.empty());
        }
    }

    SECTION("a response without an outcome decides nothing, whatever its status")
    {
        ServerResponse response;
        response.end = AttemptEnd::Answered;
        response.message.status = 503;
        applyPeerOutcome(response);
        CHECK(response.end == AttemptEnd::NotDecided);
    }

    SECTION("the outcome of the other instance counts, not that of a server")
    {
        ServerResponse response;
        response.end = AttemptEnd::Answered;
        response.message.status = 503;
        response.message.fields = { { "Clementine-Outcome", "answered" }, { "Clementine-Outcome", "not-run" } };
        applyPeerOutcome(response);
        CHECK(response.end == AttemptEnd::Answered);
        CHECK(response.message.fields.size() == 1);
    }
}

TEST_CASE("What one instance tells another in the head of a response")
{
    SECTION("comes before what a server sends under the same names, also when it has nothing to tell")
    {
        CallerResponse response;
        response.status = 200;
        response.fields = { { "Clementine-Tried", "0" }, { "Clementine-Leaving", "s1 0" } };
        const std::string head = encodePeerResponseHead(response, 0);
        CHECK(head.find("Clementine-Tried: \r\n") < head.find("Clementine-Tried: 0\r\n"));
        CHECK(head.find("Clementine-Leaving: \r\n") < head.find("Clementine-Leaving: s1 0\r\n"));
        response.serversTried = 2;
        response.leavingServer = { "s2", 7 };
        const std::string telling = encodePeerResponseHead(response, 0);
        CHECK(telling.find("Clementine-Tried: 2\r\n") < telling.find("Clementine-Tried: 0\r\n"));
        CHECK(telling.find("Clementine-Leaving: s2 7\r\n") < telling.find("Clementine-Leaving: s1 0\r\n"));
    }
}

TEST_CASE("How many requests of other instances are taken at once")
{
    SECTION("all while there is much room, whatever their route")
    {
        CHECK(hasRoomForPeerRequest({ .limit = 100, .total = 49, .ofRoute = 49, .routes = 5 }));
    }
    SECTION("above half of the limit, an equal part for each route")
    {
        CHECK_FALSE(hasRoomForPeerRequest({ .limit = 100, .total = 50, .ofRoute = 20, .routes = 5 }));
        CHECK(hasRoomForPeerRequest({ .limit = 100, .total = 90, .ofRoute = 19, .routes = 5 }));
    }
    SECTION("none above the limit")
    {
        CHECK_FALSE(hasRoomForPeerRequest({ .limit = 100, .total = 100, .ofRoute = 0, .routes = 5 }));
    }
    SECTION("faulty routes together leave the part of each other one")
    {
        std::array<std::size_t, 5> taken {};
        for (int round = 0; round < 1000; ++round) {
            for (std::size_t route = 0; route < 4; ++route) {
                const std::size_t total = taken[0] + taken[1] + taken[2] + taken[3];
                if (hasRoomForPeerRequest({ .limit = 800, .total = total, .ofRoute = taken[route], .routes = 5 }))
                    ++taken[route];
            }
        }
        const std::size_t total = taken[0] + taken[1] + taken[2] + taken[3];
        CHECK(total == 640);
        CHECK(hasRoomForPeerRequest({ .limit = 800, .total = total, .ofRoute = 0, .routes = 5 }));
    }
}

TEST_CASE("Choice of the instance that a request passes to")
{
    const std::vector<Peer> peers { { "a", "south", {} }, { "b", "north", {} }, { "c", "north", {} },
        { "d", "south", {} } };
    const std::vector<std::string> none;

    SECTION("instances of the same region come first, and the same object goes to the same one")
    {
        for (std::uint64_t object = 1; object < 50; ++object) {
            const auto chosen = choosePeer(peers, "north", none, none, object, object * 7);
            REQUIRE(chosen);
            CHECK(peers[*chosen].region == "north");
            CHECK(chosen == choosePeer(peers, "north", none, none, object, 3));
        }
    }

    SECTION("the requests of a stranded region are spread over the others")
    {
        std::map<std::string, int> counts;
        for (std::uint64_t random = 0; random < 200; ++random)
            ++counts[peers[*choosePeer(peers, "west", none, none, 0, random)].name];
        CHECK(counts.size() == peers.size());
    }

    SECTION("a request stays in the regions that its route allows")
    {
        const std::vector<std::string> allowed { "south" };
        CHECK(peers[*choosePeer(peers, "north", allowed, none, 5, 0)].region == "south");
        const std::vector<std::string> elsewhere { "east" };
        CHECK_FALSE(choosePeer(peers, "north", elsewhere, none, 5, 0));
    }

    SECTION("an instance that was tried is left out")
    {
        const std::vector<std::string> tried { "b", "c" };
        CHECK(peers[*choosePeer(peers, "north", none, tried, 5, 0)].region == "south");
    }
}
