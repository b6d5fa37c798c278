#include "peers/controlloop.h"
#include "peers/peerclient.h"
#include "peers/peerserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <optional>

using namespace clementinefall;
using namespace clementinefall::peers;
namespace asio = boost::asio;

namespace {

constexpr milliseconds deadline { 5000 };

struct Fixture {
    Fixture()
    {
        this->settings.address = { "127.0.0.1", 0 };
        this->settings.key.fill(3);
        this->handlers.getBundle = [this](const BundleQuery& query) {
            this->lastQuery = query;
            BundleResponse response = this->stored;
            if (query.haveVersion == response.version)
                response = { BundleKind::None, query.haveVersion, response.digest, {}, {} };
            return response;
        };
        this->handlers.announce = [this](const PeerIdentity& peer, std::uint64_t version, const std::string&) {
            this->announced = { peer.name, version };
        };
        this->handlers.reportCrash = [this](const PeerIdentity&, const CrashReport& report) { this->crash = report; };
        this->handlers.status = [](const PeerIdentity&, const std::string& content) { return "seen " + content; };
        this->stored
            = { BundleKind::Full, 9, std::string("\0\xff", 2), std::string(900'000, 'b'), { { "ana", "sig" } } };
    }

    PeerClientSettings clientSettings() const
    {
        PeerClientSettings result;
        result.key = this->settings.key;
        result.self = { "entry-1", 77 };
        result.initialBackoff = milliseconds(50);
        return result;
    }

    void start()
    {
        this->server = std::make_unique<PeerServer>(this->context, this->settings, this->handlers);
        REQUIRE(isOk(this->server->listen()));
        this->address = { "127.0.0.1", this->server->port() };
    }

    /// Runs the loop until \a call has completed and returns its result.
    template <typename T> Result<T> callAndWait(const std::function<void(PeerCallback<T>)>& call)
    {
        std::optional<Result<T>> response;
        call([&](Result<T> result) {
            response = std::move(result);
            this->loop.stop();
        });
        this->loop.run();
        return *response;
    }

    Result<std::string> status(PeerClient& client, milliseconds limit = deadline)
    {
        return this->callAndWait<std::string>(
            [&](PeerCallback<std::string> done) { client.status(this->address, "hello", limit, std::move(done)); });
    }

    void runFor(milliseconds time)
    {
        asio::steady_timer timer(this->context, time);
        timer.async_wait([this](const boost::system::error_code&) { this->loop.stop(); });
        this->loop.run();
    }

    asio::io_context context;
    ControlLoop loop { this->context };
    PeerServerSettings settings;
    PeerHandlers handlers;
    BundleResponse stored;
    BundleQuery lastQuery;
    std::optional<std::pair<std::string, std::uint64_t>> announced;
    std::optional<CrashReport> crash;
    std::unique_ptr<PeerServer> server;
    HostPort address;
};

} // namespace

TEST_CASE("Calls between entry instances over loopback")
{
    Fixture fixture;
    fixture.start();
    PeerClient client(fixture.context, fixture.clientSettings(), Random(1));

    SECTION("all calls share one connection and transfer their data unchanged")
    {
        const auto bundle = fixture.callAndWait<BundleResponse>([&](PeerCallback<BundleResponse> done) {
            client.getBundle(fixture.address, { 8, "d", true }, deadline, std::move(done));
        });
        REQUIRE(isOk(bundle));
        CHECK(valueOf(bundle) == fixture.stored);
        CHECK((fixture.lastQuery.haveVersion == 8 && fixture.lastQuery.haveDigest == "d"
            && fixture.lastQuery.acceptsDelta));
        const auto same = fixture.callAndWait<BundleResponse>([&](PeerCallback<BundleResponse> done) {
            client.getBundle(fixture.address, { 9, "d", false }, deadline, std::move(done));
        });
        CHECK(valueOf(same).kind == BundleKind::None);
        CHECK_FALSE(fixture.lastQuery.acceptsDelta);
        CHECK(isOk(fixture.callAndWait<std::monostate>([&](PeerCallback<std::monostate> done) {
            client.announce(fixture.address, 12, "e", deadline, std::move(done));
        })));
        CHECK(fixture.announced == std::pair<std::string, std::uint64_t>("entry-1", 12));
        const CrashReport report { "tillgate", "t-3", std::string("\x01\0", 2), 0.5 };
        CHECK(isOk(fixture.callAndWait<std::monostate>([&](PeerCallback<std::monostate> done) {
            client.reportCrash(fixture.address, report, deadline, std::move(done));
        })));
        CHECK(fixture.crash == report);
        CHECK(valueOf(fixture.status(client)) == "seen hello");
        CHECK(fixture.server->connectionCount() == 1);
    }

    SECTION("a crash report with a weight out of range is rejected and does not reach the handler")
    {
        const auto result = fixture.callAndWait<std::monostate>([&](PeerCallback<std::monostate> done) {
            client.reportCrash(fixture.address, { "s", "t", "f", 7.0 }, deadline, std::move(done));
        });
        CHECK(errorOf(result).code == ResultCode::PeerBadMessage);
        CHECK_FALSE(fixture.crash);
    }

    SECTION("while the peer restarts, calls fail and reconnection backs off; afterwards calls succeed again")
    {
        REQUIRE(isOk(fixture.status(client)));
        fixture.server.reset();
        CHECK(errorOf(fixture.status(client)).code == ResultCode::PeerUnreachable);
        CHECK(errorOf(fixture.status(client)).code == ResultCode::PeerUnreachable);
        const auto delayed = fixture.status(client);
        CHECK(errorOf(delayed).message.find("delayed by its backoff") != std::string::npos);
        fixture.settings.address.port = fixture.address.port;
        fixture.start();
        fixture.runFor(milliseconds(120));
        CHECK(isOk(fixture.status(client)));
    }
}

TEST_CASE("Calls from an instance without the cluster key are rejected")
{
    Fixture fixture;
    fixture.start();
    PeerClientSettings settings = fixture.clientSettings();
    settings.key[0] ^= 1U;
    PeerClient client(fixture.context, settings, Random(2));
    CHECK(errorOf(fixture.status(client)).code == ResultCode::PeerBadAuthenticator);
}

TEST_CASE("Peers that never respond, never authenticate or use another protocol")
{
    Fixture fixture;

    SECTION("a call to a peer that accepts but never responds fails at its deadline")
    {
        asio::ip::tcp::acceptor silentAcceptor(fixture.context, { asio::ip::make_address("127.0.0.1"), 0 });
        fixture.address = { "127.0.0.1", silentAcceptor.local_endpoint().port() };
        PeerClient client(fixture.context, fixture.clientSettings(), Random(3));
        const TimePoint start = Clock::now();
        CHECK(errorOf(fixture.status(client, milliseconds(200))).code == ResultCode::PeerUnreachable);
        CHECK(Clock::now() - start < seconds(3));
        CHECK(client.connectionCount() == 0);
    }

    SECTION("connections that do not authenticate count towards the limit and are closed")
    {
        fixture.settings.maximumConnections = 2;
        fixture.settings.authenticationTimeout = milliseconds(150);
        fixture.start();
        std::vector<asio::ip::tcp::socket> sockets;
        for (int i = 0; i < 4; ++i) {
            sockets.emplace_back(fixture.context);
            sockets.back().connect({ asio::ip::make_address("127.0.0.1"), fixture.address.port });
        }
        asio::write(sockets[0], asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        fixture.runFor(milliseconds(60));
        CHECK(fixture.server->connectionCount() <= 2);
        fixture.runFor(milliseconds(300));
        CHECK(fixture.server->connectionCount() == 0);
        PeerClient client(fixture.context, fixture.clientSettings(), Random(4));
        CHECK(isOk(fixture.status(client)));
    }
}
