#include "admin/adminservice.h"

#include "bundle/bundlecodec.h"
#include "bundle/testbundles.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::admin;
using bundle::Bundle;

namespace {

/// Platform in memory. The next write of `lostResponseKey` takes effect but its response is lost.
class MemoryStore : public AdminStore {
public:
    Awaitable<Result<bundle::StoredObject>> read(std::string key) override
    {
        if (this->isDown)
            co_return makeError(ResultCode::PlatformUnreachable, "down");
        const auto found = this->objects.find(key);
        co_return found == this->objects.end() ? bundle::StoredObject { key, 0, "" } : found->second;
    }

    Awaitable<Status> write(bundle::ConditionalWrite write) override
    {
        auto& object = this->objects[write.key];
        if (object.version != write.ifVersion)
            co_return makeError(ResultCode::PlatformConflict, "changed");
        object = { write.key, ++this->revision, write.value };
        if (write.key != this->lostResponseKey)
            co_return okStatus();
        this->lostResponseKey.clear();
        co_return makeError(ResultCode::PlatformTimeout, "lost");
    }

    Awaitable<Result<std::vector<std::uint64_t>>> bundleVersions() override
    {
        std::vector<std::uint64_t> versions;
        for (std::uint64_t version = 1; this->objects.contains(bundle::bundleKey(version)); ++version)
            versions.push_back(version);
        co_return versions;
    }

    std::map<std::string, bundle::StoredObject> objects;
    std::uint64_t revision = 0;
    std::string lostResponseKey;
    bool isDown = false;
};

class Fixture {
public:
    Fixture()
    {
        InstanceHooks hooks;
        hooks.acceptedBundle = [this] { return this->accepted; };
        hooks.status = [] { return boost::json::object { { "instance", "e1" } }; };
        hooks.quarantined = [] { return boost::json::array { "f1" }; };
        hooks.release = [](const std::string& fingerprint) { return fingerprint == "f1"; };
        hooks.explain = [](const auto&) { return Result<boost::json::object>(boost::json::object()); };
        hooks.now = [] { return WallClock::time_point(); };
        const AdminSettings settings { { this->testOperators.keys.at("ana").publicKey }, bundle::tokenDigest("first") };
        this->service = std::make_shared<AdminService>(this->store, settings, std::move(hooks));
    }

    AdminResponse call(const std::string& name, const std::string& method, const std::string& path,
        const std::string& body = "", const std::string& operation = "", const std::string& ifMatch = "")
    {
        AdminRequest request { method, "/v1/admin/" + path, "Bearer " + name, ifMatch, operation, body };
        asio::io_context context;
        AdminResponse response;
        asio::co_spawn(
            context,
            [this, request, &response]() -> Awaitable<void> { response = co_await this->service->handle(request); },
            asio::detached);
        context.run();
        return response;
    }

    ResultCode codeOf(const std::string& name, const std::string& method, const std::string& path,
        const std::string& body = "", const std::string& operation = "", const std::string& ifMatch = "")
    {
        const AdminResponse response = this->call(name, method, path, body, operation, ifMatch);
        UNSCOPED_INFO(boost::json::serialize(response.body));
        return response.code;
    }

    std::string signBody(const std::string& name, const Bundle& bundle) const
    {
        const bundle::SignOff signOff = this->testOperators.sign(name, bundle);
        return boost::json::serialize(boost::json::object {
            { "signer", signOff.signer }, { "publicKey", signOff.publicKey }, { "signature", signOff.signature } });
    }

    Bundle stored(std::uint64_t version) const
    {
        return valueOf(bundle::parseBundle(this->store->objects.at(bundle::bundleKey(version)).value));
    }

    /// Signs and accepts a submitted version and makes the instance adopt it.
    void accept(std::uint64_t version, const std::string& signer, const std::string& token)
    {
        const std::string path = fmt::format("bundles/{}/", version);
        const Bundle bundle = this->stored(version);
        const std::string signerToken = this->accepted ? signer + "-token" : token;
        REQUIRE(this->codeOf(signerToken, "POST", path + "signoffs", this->signBody(signer, bundle))
            == ResultCode::Answered);
        REQUIRE(this->codeOf(token, "POST", path + "accept") == ResultCode::Answered);
        this->accepted = std::make_shared<const Bundle>(bundle);
    }

    void acceptInitialBundle()
    {
        const std::string text = bundle::serializeBundle(this->testOperators.bundle(1, "ida"));
        REQUIRE(this->codeOf("first", "POST", "bundles", text) == ResultCode::Answered);
        this->accept(1, "ana", "first");
    }

    bundle::TestOperators testOperators;
    std::shared_ptr<MemoryStore> store = std::make_shared<MemoryStore>();
    std::shared_ptr<const Bundle> accepted;
    std::shared_ptr<AdminService> service;
};

} // namespace

TEST_CASE("Administration API")
{
    Fixture fixture;
    fixture.acceptInitialBundle();

    SECTION("unknown tokens are rejected, and the bootstrap token too once a bundle has been accepted")
    {
        CHECK(fixture.codeOf("stranger", "GET", "status") == ResultCode::AdminUnauthenticated);
        CHECK(fixture.codeOf("", "GET", "status") == ResultCode::AdminUnauthenticated);
        CHECK(fixture.codeOf("first", "GET", "status") == ResultCode::AdminUnauthenticated);
        fixture.accepted = nullptr; // as in an instance that has just started
        CHECK(fixture.codeOf("first", "GET", "status") == ResultCode::AdminUnauthenticated);
    }

    SECTION("a bundle is submitted, signed, staged and accepted, and no step is possible before the previous one")
    {
        const Bundle next = fixture.testOperators.bundle(2, "ida");
        CHECK(fixture.codeOf("ben-token", "POST", "bundles/2/accept") == ResultCode::AdminNotFound);
        CHECK(fixture.codeOf("ida-token", "POST", "bundles", bundle::serializeBundle(next)) == ResultCode::Answered);
        CHECK(fixture.codeOf("ben-token", "POST", "bundles/2/accept") == ResultCode::BundleNotEnoughSignatures);
        CHECK(fixture.codeOf("ben-token", "POST", "bundles/2/signoffs", fixture.signBody("ana", next))
            == ResultCode::AdminForbidden);
        CHECK(fixture.codeOf("ana-token", "POST", "bundles/2/signoffs", fixture.signBody("ana", next))
            == ResultCode::Answered);
        CHECK(fixture.codeOf("ida-token", "POST", "bundles/2/stage", R"({"zones":["sur-a"]})")
            == ResultCode::AdminForbidden);
        CHECK(fixture.codeOf("ben-token", "POST", "bundles/2/stage", R"({"zones":["sur"]})")
            == ResultCode::BundleUnknownReference);
        CHECK(fixture.codeOf("ben-token", "POST", "bundles/2/stage", R"({"zones":["sur-a"]})") == ResultCode::Answered);
        CHECK(fixture.call("ana-token", "GET", "status").body.at("staged").at("version") == 2);
        CHECK(fixture.codeOf("ben-token", "POST", "bundles/2/accept?dryRun=true") == ResultCode::Answered);
        CHECK(fixture.call("ana-token", "GET", "status").body.at("accepted").at("version") == 1);
        CHECK(fixture.codeOf("ben-token", "POST", "bundles/2/accept") == ResultCode::Answered);
        CHECK(fixture.codeOf("ana-token", "POST", "bundles/2/accept") == ResultCode::AdminConflict);
        CHECK(fixture.codeOf("ana-token", "POST", "bundles/2/withdraw") == ResultCode::AdminBadState);
        CHECK(fixture.call("ana-token", "GET", "bundles").body.at("bundles").at(0).at("state") == "accepted");
        const auto audit = fixture.call("ana-token", "GET", "audit").body;
        CHECK(audit.at("entries").as_array().size() == 14); // seven writing commands, two entries each
        CHECK(audit.at("entries").as_array().back().at("outcome") == "done");
    }

    SECTION("an accept whose response is lost is found to have taken effect, and repeating it writes nothing")
    {
        const Bundle next = fixture.testOperators.bundle(2, "ida");
        REQUIRE(fixture.codeOf("ida-token", "POST", "bundles", bundle::serializeBundle(next)) == ResultCode::Answered);
        REQUIRE(fixture.codeOf("ana-token", "POST", "bundles/2/signoffs", fixture.signBody("ana", next))
            == ResultCode::Answered);
        fixture.store->lostResponseKey = "bundles/accepted";
        CHECK(fixture.codeOf("ben-token", "POST", "bundles/2/accept", "", "op-1") == ResultCode::Answered);
        const auto revision = fixture.store->revision;
        CHECK(fixture.codeOf("ben-token", "POST", "bundles/2/accept", "", "op-1") == ResultCode::Answered);
        CHECK(fixture.store->revision == revision);
    }

    SECTION("If-Match rejects a command on an object that has changed since it was read")
    {
        const std::string tag = fixture.call("ben-token", "GET", "status").entityTag;
        const Bundle next = fixture.testOperators.bundle(2, "ida");
        REQUIRE(fixture.codeOf("ida-token", "POST", "bundles", bundle::serializeBundle(next)) == ResultCode::Answered);
        CHECK(
            fixture.codeOf("ida-token", "POST", "bundles/2/withdraw", "", "", "\"999\"") == ResultCode::AdminConflict);
        CHECK(fixture.codeOf("ida-token", "POST", "bundles/2/withdraw", "", "", tag) == ResultCode::Answered);
        CHECK(fixture.codeOf("ana-token", "POST", "bundles/2/signoffs", fixture.signBody("ana", next))
            == ResultCode::AdminBadState);
    }

    SECTION("an editor can change only what belongs to their team")
    {
        Bundle next = fixture.testOperators.bundle(2, "ida");
        next.services[0].deadline = milliseconds(1500);
        next.shiftCaps[0].perSecond = 12;
        CHECK(fixture.codeOf("ida-token", "POST", "bundles?dryRun=true", bundle::serializeBundle(next))
            == ResultCode::Answered);
        Bundle link = next;
        link.links[0].bytesPerSecond += 1;
        CHECK(fixture.codeOf("ida-token", "POST", "bundles", bundle::serializeBundle(link))
            == ResultCode::AdminForbidden);
        Bundle role = next;
        role.operators[3].role = bundle::Role::Administrator;
        CHECK(fixture.codeOf("ida-token", "POST", "bundles", bundle::serializeBundle(role))
            == ResultCode::AdminForbidden);
        Bundle team = next;
        team.services[0].team = "platform";
        CHECK(fixture.codeOf("ida-token", "POST", "bundles", bundle::serializeBundle(team))
            == ResultCode::AdminForbidden);
        CHECK(fixture.codeOf("ida-token", "POST", "drains", R"({"kind":"zone","name":"sur-a"})")
            == ResultCode::AdminForbidden);
        CHECK(fixture.codeOf("ida-token", "POST", "drains", R"({"kind":"backend-server","name":"s-sur-a"})")
            == ResultCode::Answered);
    }

    SECTION("of two drains based on the same version, the second cannot be accepted after the first")
    {
        REQUIRE(fixture.codeOf("ida-token", "POST", "drains", R"({"kind":"backend-server","name":"s-sur-a"})")
            == ResultCode::Answered);
        REQUIRE(fixture.codeOf("eva-token", "POST", "drains", R"({"kind":"zone","name":"andes-a"})")
            == ResultCode::Answered);
        fixture.accept(2, "ana", "ben-token");
        REQUIRE(fixture.codeOf("ana-token", "POST", "bundles/3/signoffs", fixture.signBody("ana", fixture.stored(3)))
            == ResultCode::Answered);
        CHECK(fixture.codeOf("ben-token", "POST", "bundles/3/accept") == ResultCode::AdminConflict);
        CHECK(fixture.codeOf("eva-token", "DELETE", "drains/zone/andes-a") == ResultCode::AdminBadState);
        CHECK(fixture.codeOf("eva-token", "DELETE", "drains/backend-server/s-sur-a") == ResultCode::Answered);
        CHECK(fixture.stored(4).drains.empty());
    }

    SECTION("a rollback is a new version that keeps the current operators and shift cap epochs")
    {
        Bundle next = fixture.testOperators.bundle(2, "eva");
        next.operators.pop_back();
        next.services[0].team = "platform";
        next.shiftCaps[0].epoch = 5;
        next.lookupTtl = milliseconds(100);
        REQUIRE(fixture.codeOf("eva-token", "POST", "bundles", bundle::serializeBundle(next)) == ResultCode::Answered);
        fixture.accept(2, "ana", "ben-token");
        REQUIRE(fixture.codeOf("eva-token", "POST", "bundles/1/rollback") == ResultCode::Answered);
        const Bundle restored = fixture.stored(3);
        CHECK(restored.operators.size() == 3);
        CHECK(restored.shiftCaps[0].epoch == 5);
        CHECK(restored.lookupTtl == milliseconds(5000));
        CHECK(fixture.call("eva-token", "GET", "bundles/3/diff").body.at("changes").as_array().size() > 3);
    }

    SECTION("findings name their lines; the status is available while the platform is down")
    {
        const auto rejected = fixture.call("ida-token", "POST", "bundles", "{\n\"version\": 0}");
        CHECK(rejected.code == ResultCode::BundleOutOfRange);
        CHECK(rejected.body.at("findings").at(0).at("line") == 2);
        fixture.store->isDown = true;
        CHECK(fixture.codeOf("ida-token", "GET", "status") == ResultCode::Answered);
        CHECK(fixture.codeOf("ida-token", "GET", "history") == ResultCode::PlatformUnreachable);
        CHECK(fixture.codeOf("ida-token", "DELETE", "quarantine/f1") == ResultCode::AdminForbidden);
        CHECK(fixture.codeOf("ben-token", "DELETE", "quarantine/f2") == ResultCode::AdminNotFound);
        CHECK(fixture.codeOf("ben-token", "DELETE", "quarantine/f1") == ResultCode::Answered);
        CHECK(fixture.codeOf("ben-token", "GET", "nothing") == ResultCode::NotFound);
    }
}
