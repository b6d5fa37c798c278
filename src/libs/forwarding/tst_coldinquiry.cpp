#include "forwarding/coldinquiry.h"
#include "forwarding/scriptedserver.h"
#include "forwarding/testwirenames.h"

#include <catch2/catch.hpp>

#include <set>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

const TimePoint start { seconds(1000) };

ServerPointer serverOf(const std::string& id, Locality locality = Locality::SameZone)
{
    auto server = std::make_shared<BackendServer>();
    server->entry.id = id;
    server->entry.zone = "a";
    server->locality = locality;
    return server;
}

http::ResponseHeader healthOf(const std::string& id, const std::string& remaining)
{
    http::ResponseHeader header;
    header.result(200U);
    header.set("X-Instance", id);
    header.set("X-Cold", remaining);
    return header;
}

/// A server that tells its health, and an instance that may ask it.
class Fixture {
public:
    Fixture()
        : server(this->context)
        , catalog(std::make_shared<ServerCatalog>(InstanceLocation { "a", "north", { { "a", "north" } } }))
        , inquiry(std::make_shared<ColdInquiry>(this->context.get_executor(), this->catalog, testWireNames()))
    {
        ServerEntry entry;
        entry.id = "s1";
        entry.service = "stock";
        entry.address = { "127.0.0.1", this->server.port() };
        entry.zone = "a";
        this->catalog->apply(entry, Clock::now());
        this->server.script = [this](const std::string&) {
            return ScriptedResponse { "HTTP/1.1 200 OK\r\nX-Instance: " + this->id + "\r\n" + this->fields
                + "Content-Length: 0\r\n\r\n" };
        };
        this->inquiry->isAsker = [this](const BackendServer&) { return this->isAsker; };
        this->inquiry->healthPath = [](const std::string&) { return std::string("/health"); };
        this->inquiry->onFound = [this] { ++this->found; };
    }

    void run(bool isNeeded, Duration duration)
    {
        for (const TimePoint end = Clock::now() + duration; Clock::now() < end;) {
            this->inquiry->update(isNeeded, Clock::now());
            this->context.restart();
            this->context.run_for(milliseconds(50));
        }
    }

    bool isServerCold() const { return isCold(*this->catalog->find("s1"), Clock::now()); }

    asio::io_context context { 1 };
    ScriptedServer server;
    std::shared_ptr<ServerCatalog> catalog;
    std::shared_ptr<ColdInquiry> inquiry;
    std::string id = "s1";
    std::string fields = "X-Cold: 700\r\n";
    bool isAsker = true;
    unsigned found = 0;
};

} // namespace

TEST_CASE("When servers are asked whether they are cold")
{
    SECTION("not while the store responds, also after a lost answer; but before the bound has passed without it")
    {
        CHECK_FALSE(isColdInquiryNeeded(milliseconds(0), milliseconds(2500)));
        CHECK_FALSE(isColdInquiryNeeded(milliseconds(1900), milliseconds(2500)));
        CHECK(isColdInquiryNeeded(milliseconds(2100), milliseconds(2500)));
        CHECK(isColdInquiryNeeded(Duration::max(), milliseconds(2500)));
    }

    const ColdInquiryTiming timing;
    std::map<std::string, AskedServer> asked;
    std::set<std::string> chosen { "s1", "s2" };
    const std::function<bool(const BackendServer&)> isAsker
        = [&](const BackendServer& server) { return chosen.contains(server.entry.id); };
    const auto idsToAsk = [&](const std::vector<ServerPointer>& servers, TimePoint now) {
        std::vector<std::string> ids;
        for (const ServerPointer& server : serversToAsk(servers, asked, isAsker, timing, now))
            ids.push_back(server->entry.id);
        return ids;
    };

    SECTION("each server by the instance that is chosen for it, once in an interval and one question at a time")
    {
        const std::vector<ServerPointer> servers { serverOf("s1"), serverOf("s2"), serverOf("s3") };
        CHECK(idsToAsk(servers, start) == std::vector<std::string> { "s1", "s2" });
        asked["s1"] = { .askedAt = start, .isPending = false };
        asked["s2"] = { .askedAt = start - seconds(9), .isPending = true };
        CHECK(idsToAsk(servers, start + milliseconds(100)).empty());
        CHECK(idsToAsk(servers, start + timing.interval) == std::vector<std::string> { "s1" });
    }

    SECTION("not those that get no requests anyway, and of other regions those in use only")
    {
        const ServerPointer evacuated = serverOf("s1");
        evacuated->isEvacuated = true;
        const ServerPointer distant = serverOf("s2", Locality::OtherRegion);
        CHECK(idsToAsk({ evacuated, distant }, start).empty());
        distant->report.at = start - milliseconds(500);
        CHECK(idsToAsk({ evacuated, distant }, start) == std::vector<std::string> { "s2" });
    }

    SECTION("of more than one instance may ask, those first that were asked longest ago")
    {
        std::vector<ServerPointer> servers;
        std::set<std::string> all;
        servers.reserve(100);
        for (int i = 0; i < 100; ++i)
            servers.push_back(serverOf("s" + std::to_string(i)));
        for (const ServerPointer& server : servers)
            chosen.insert(server->entry.id);
        for (int round = 0; round < 4; ++round) {
            const TimePoint now = start + round * timing.interval;
            const std::vector<std::string> ids = idsToAsk(servers, now);
            CHECK(ids.size() == 25);
            for (const std::string& id : ids)
                asked[id] = { .askedAt = now };
            all.insert(ids.begin(), ids.end());
        }
        CHECK(all.size() == 100);
    }
}

TEST_CASE("What a health response says of the cold time")
{
    const WireNames names = testWireNames();
    SECTION("counts for the server that responds, in milliseconds, up to a limit")
    {
        CHECK(statedColdTime(healthOf("s1", "2960"), names, "s1") == milliseconds(2960));
        CHECK(statedColdTime(healthOf("s1", "0"), names, "s1") == milliseconds(0));
        CHECK(statedColdTime(healthOf("s1", "99999999999"), names, "s1") == maximumColdTime);
    }
    SECTION("is left out when it is another server's, missing, double or no number")
    {
        CHECK_FALSE(statedColdTime(healthOf("s2", "2960"), names, "s1"));
        for (const std::string text : { "", "-1", "2.5", "1e3", "x", "99999999999999999999", "5 6" })
            CHECK_FALSE(statedColdTime(healthOf("s1", text), names, "s1"));
        http::ResponseHeader header = healthOf("s1", "5");
        header.insert("X-Cold", "6");
        CHECK_FALSE(statedColdTime(header, names, "s1"));
        header.erase("X-Cold");
        CHECK_FALSE(statedColdTime(header, names, "s1"));
    }
}

TEST_CASE("An instance that asks a server whether it is cold")
{
    // Guards against the usual load for servers that have become cold while the store cannot say so.
    Fixture fixture;

    SECTION("takes its word, and tells others once")
    {
        fixture.run(true, milliseconds(600));
        CHECK(fixture.isServerCold());
        CHECK(fixture.server.requests.front().starts_with("GET /health HTTP/1.1\r\n"));
        CHECK(fixture.server.requests.size() >= 2);
        CHECK(fixture.found == 1);
        const auto cold = fixture.inquiry->coldServers(Clock::now());
        REQUIRE(cold.contains("s1"));
        CHECK(cold.at("s1") <= milliseconds(700));

        SECTION("until the time has passed")
        {
            fixture.fields = "";
            fixture.run(true, milliseconds(800));
            CHECK_FALSE(fixture.isServerCold());
            CHECK(fixture.inquiry->coldServers(Clock::now()).empty());
        }
        SECTION("and nothing shortens what it has said")
        {
            fixture.fields = "X-Cold: 1\r\n";
            fixture.run(true, milliseconds(300));
            CHECK(fixture.isServerCold());
        }
    }
    SECTION("does not ask while the store's word is current, or another instance asks")
    {
        fixture.run(false, milliseconds(300));
        fixture.isAsker = false;
        fixture.run(true, milliseconds(300));
        CHECK(fixture.server.requests.empty());
        CHECK_FALSE(fixture.isServerCold());
    }
    SECTION("takes nothing from another server at its address, or from one that says nothing")
    {
        SECTION("another server") { fixture.id = "s2"; }
        SECTION("nothing") { fixture.fields = ""; }
        fixture.run(true, milliseconds(400));
        CHECK_FALSE(fixture.server.requests.empty());
        CHECK_FALSE(fixture.isServerCold());
        CHECK(fixture.found == 0);
    }
    SECTION("goes on when the server does not respond")
    {
        fixture.server.script = [](const std::string&) { return ScriptedResponse { .bytes = "", .isHeld = true }; };
        fixture.run(true, milliseconds(1400));
        CHECK(fixture.server.requests.size() >= 2);
        CHECK_FALSE(fixture.isServerCold());
    }
}
