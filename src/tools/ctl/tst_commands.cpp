#include "httptransport.h"
#include "platformserver.h"
#include "secretfile.h"

#include "admin/adminservice.h"
#include "admin/platformstore.h"
#include "bundle/bundlecodec.h"
#include "bundle/signature.h"
#include "bundle/testbundles.h"
#include "http/server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

using namespace clementinefall;
using namespace clementinefall::ctl;
using bundle::Bundle;

namespace {

/// Platform simulator and administration API on one thread, reached over HTTP on the loopback address.
class Deployment {
public:
    explicit Deployment(const std::vector<std::string>& trustedRoots)
        : platformServer(std::make_shared<platform_sim::PlatformServer>(this->context))
    {
        REQUIRE(isOk(this->platformServer->listen({ "127.0.0.1", 0 })));
        platform::ClientSettings clientSettings;
        clientSettings.address = { "127.0.0.1", this->platformServer->port() };
        clientSettings.callsPerSecond = 1000;
        clientSettings.burst = 1000;
        const auto client = std::make_shared<platform::PlatformClient>(this->context.get_executor(), clientSettings);
        const auto service = std::make_shared<admin::AdminService>(std::make_shared<admin::PlatformStore>(client),
            admin::AdminSettings { trustedRoots, bundle::tokenDigest("first") }, this->hooks());
        this->adminServer = std::make_shared<http::Server>(std::vector<asio::io_context*> { &this->context },
            http::ServerLimits {}, [service](std::shared_ptr<http::Exchange> exchange) {
                return admin::serveAdmin(service, std::move(exchange));
            });
        REQUIRE(isOk(this->adminServer->listen({ "127.0.0.1", 0 })));
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~Deployment()
    {
        // Without servers the context has no more work, so run() returns and the thread ends.
        asio::post(this->context, [this] {
            this->adminServer->close();
            this->platformServer->close();
        });
        this->thread.join();
    }

    Transport transport(const std::string& token) const
    {
        // Connections to port 1 are refused, so the first server in the list is always unreachable.
        return httpTransport(
            { { { "127.0.0.1", 1 }, { "127.0.0.1", this->adminServer->port() } }, token, seconds(10) });
    }

    void setAcceptedBundle(const Bundle& bundle)
    {
        const std::scoped_lock lock(this->mutex);
        this->accepted = std::make_shared<const Bundle>(bundle);
    }

    HostPort platformAddress() const { return { "127.0.0.1", this->platformServer->port() }; }

private:
    admin::InstanceHooks hooks()
    {
        admin::InstanceHooks result;
        result.acceptedBundle = [this] {
            const std::scoped_lock lock(this->mutex);
            return this->accepted;
        };
        result.status = [] { return boost::json::object { { "instance", "e1" } }; };
        result.quarantined = [] { return boost::json::array(); };
        result.release = [](const std::string&) { return false; };
        result.explain = [](const auto&) { return Result<boost::json::object>(boost::json::object()); };
        result.now = [] { return WallClock::time_point(); };
        return result;
    }

    asio::io_context context { 1 };
    std::shared_ptr<platform_sim::PlatformServer> platformServer;
    std::shared_ptr<http::Server> adminServer;
    std::mutex mutex;
    std::shared_ptr<const Bundle> accepted;
    std::thread thread;
};

/// Temporary folder that is removed with its files.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "clementinefall-ctl-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()));
        this->path = pattern;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(this->path); }
    std::string file(const std::string& name) const { return this->path + "/" + name; }

private:
    std::string path;
};

struct Output {
    ExitCode code = ExitCode::Ok;
    std::string out;
    std::string err;
};

Output runCtl(const Transport& transport, const std::vector<std::string>& arguments, const Options& options = {})
{
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = runCommand(options, arguments, transport, out, err);
    UNSCOPED_INFO(out.str() << err.str());
    return { code, out.str(), err.str() };
}

Result<ApiResponse> unreachableTransport(const ApiRequest&) { return makeError(ResultCode::PeerUnreachable, "down"); }

} // namespace

TEST_CASE("Command line over HTTP, the administration API and the platform simulator")
{
    const bundle::TestOperators testOperators;
    const TemporaryFolder folder;
    Deployment deployment({ testOperators.keys.at("ana").publicKey });
    const auto keyOptions = [&folder, &testOperators](const std::string& name) {
        const std::string file = folder.file(name + ".key");
        if (!std::filesystem::exists(file))
            REQUIRE(isOk(writeSecretFile(file, testOperators.keys.at(name).secretKey)));
        Options options;
        options.keyFile = file;
        return options;
    };
    const Bundle first = testOperators.bundle(1, "ida");
    std::ofstream(folder.file("1.json")) << bundle::serializeBundle(first);
    const Transport bootstrap = deployment.transport("first");
    REQUIRE(runCtl(bootstrap, { "submit", folder.file("1.json") }).code == ExitCode::Ok);
    CHECK(runCtl(bootstrap, { "accept", "1" }).code == ExitCode::Rejected);
    Options signFirst = keyOptions("ana");
    signFirst.signer = "ana";
    REQUIRE(runCtl(bootstrap, { "sign", "1" }, signFirst).code == ExitCode::Ok);
    REQUIRE(runCtl(bootstrap, { "accept", "1" }).code == ExitCode::Ok);
    deployment.setAcceptedBundle(first);

    const Transport ana = deployment.transport("ana-token");
    const Transport ben = deployment.transport("ben-token");

    SECTION("a drain is submitted, signed with a key from a file and accepted; history and audit list it")
    {
        REQUIRE(runCtl(ben, { "drain", "backend-server", "s-sur-a" }).code == ExitCode::Ok);
        CHECK(runCtl(ana, { "diff", "2" }).out.find("+ drains[backend-server s-sur-a]") != std::string::npos);
        CHECK(runCtl(ben, { "sign", "2" }, keyOptions("ben")).err.find("6012") != std::string::npos);
        REQUIRE(runCtl(ana, { "sign", "2" }, keyOptions("ana")).code == ExitCode::Ok);
        REQUIRE(runCtl(ana, { "stage", "2", "sur-a", "sur-b" }).code == ExitCode::Ok);
        REQUIRE(runCtl(ana, { "accept", "2" }).code == ExitCode::Ok);
        CHECK(runCtl(ana, { "withdraw", "2" }).code == ExitCode::Rejected);
        CHECK(runCtl(ana, { "history" }).out.find("state: accepted") != std::string::npos);
        CHECK(runCtl(ana, { "audit" }).out.find("command: drain") != std::string::npos);
        CHECK(runCtl(ana, { "rollback", "1" }).code == ExitCode::Ok);
    }

    SECTION("an acceptance is reported as done even if the response of the platform is lost")
    {
        REQUIRE(runCtl(ben, { "drain", "zone", "andes-a" }).code == ExitCode::Ok);
        REQUIRE(runCtl(ana, { "sign", "2" }, keyOptions("ana")).code == ExitCode::Ok);
        const Transport platformTransport = httpTransport({ { deployment.platformAddress() }, "", seconds(5) });
        // The responses to the audit entry, the acceptance and the second audit entry are lost.
        REQUIRE(valueOf(platformTransport({ "POST", "/faults", R"({"loseAnswers":3})", "", "", true })).status == 200);
        CHECK(runCtl(ana, { "accept", "2" }).code == ExitCode::Ok);
        CHECK(runCtl(ana, { "status" }).out.find("version: 2") != std::string::npos);
    }

    SECTION("an unknown token is rejected; a dry run changes nothing; JSON output is the body of the response")
    {
        CHECK(runCtl(deployment.transport("stranger"), { "status" }).err.find("9004") != std::string::npos);
        Options options;
        options.isDryRun = true;
        options.isJson = true;
        CHECK(boost::json::parse(runCtl(ben, { "drain", "zone", "andes-a" }, options).out).at("dryRun") == true);
        CHECK(runCtl(ben, { "show", "2" }).code == ExitCode::Rejected);
    }
}

TEST_CASE("Command line without connection")
{
    const TemporaryFolder folder;

    SECTION("keygen does not print the secret, makes the file inaccessible to other users and overwrites no file")
    {
        const Output generated = runCtl(unreachableTransport, { "keygen", "key", folder.file("k") });
        const auto secret = readSecretFile(folder.file("k"));
        REQUIRE(isOk(secret));
        CHECK(generated.out.find(valueOf(secret)) == std::string::npos);
        CHECK(generated.out.find(valueOf(bundle::keyPairFromSecret(valueOf(secret))).publicKey) != std::string::npos);
        CHECK(runCtl(unreachableTransport, { "keygen", "key", folder.file("k") }).code == ExitCode::Usage);
        std::filesystem::permissions(
            folder.file("k"), std::filesystem::perms::group_read, std::filesystem::perm_options::add);
        CHECK_FALSE(isOk(readSecretFile(folder.file("k"))));
        const Output token = runCtl(unreachableTransport, { "keygen", "token", folder.file("t") });
        CHECK(token.out.find(bundle::tokenDigest(valueOf(readSecretFile(folder.file("t"))))) != std::string::npos);
    }

    SECTION("an argument cannot change the call that it is a part of")
    {
        std::vector<std::string> targets;
        const Transport recorder = [&targets](const ApiRequest& request) {
            targets.push_back(request.target);
            return unreachableTransport(request);
        };
        runCtl(recorder, { "show", "2/diff" });
        runCtl(recorder, { "diff", "2", "1&dryRun=true" });
        runCtl(recorder, { "undrain", "backend-server", "a b#c" });
        runCtl(recorder, { "accept", "2?dryRun=true" });
        CHECK(targets
            == std::vector<std::string> { "/v1/admin/bundles/2%2Fdiff",
                "/v1/admin/bundles/2/diff?from=1%26dryRun%3Dtrue", "/v1/admin/drains/backend-server/a%20b%23c",
                "/v1/admin/bundles/2%3FdryRun%3Dtrue/accept" });
    }

    SECTION("check and codes need no connection; exit codes distinguish rejection, usage errors and an unreachable API")
    {
        std::ofstream(folder.file("bad.json")) << "{\n\"version\": 0}";
        const Output checked = runCtl(unreachableTransport, { "check", folder.file("bad.json") });
        CHECK(checked.code == ExitCode::Rejected);
        CHECK(checked.out.find("bad.json: error 6003 bundle-out-of-range line 2 version") != std::string::npos);
        CHECK(runCtl(unreachableTransport, { "codes", "9001" }).out.find("admin-conflict") != std::string::npos);
        CHECK(runCtl(unreachableTransport, { "codes", "1" }).code == ExitCode::Usage);
        CHECK(runCtl(unreachableTransport, { "check", folder.file("missing") }).code == ExitCode::Usage);
        CHECK(runCtl(unreachableTransport, { "launch" }).code == ExitCode::Usage);
        CHECK(runCtl(unreachableTransport, { "accept" }).code == ExitCode::Usage);
        const Output unreachable = runCtl(unreachableTransport, { "accept", "2" });
        CHECK(unreachable.code == ExitCode::Unreachable);
        CHECK(unreachable.err.find("--operation=") != std::string::npos);
    }
}
