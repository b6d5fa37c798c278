#include "forwarding/serverreachability.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

const TimePoint start { seconds(1000) };

ServerPointer serverOf(const std::string& id, Locality locality)
{
    auto server = std::make_shared<BackendServer>();
    server->entry.id = id;
    server->locality = locality;
    return server;
}

} // namespace

TEST_CASE("An entry instance whose connections to backend servers fail")
{
    ServerReachability reachability;

    SECTION("takes the failures of one server for those of the server")
    {
        recordServerFailure(reachability, "s1", start);
        recordServerFailure(reachability, "s1", start + milliseconds(100));
        CHECK_FALSE(isVerificationDue(reachability, start + milliseconds(100)));
    }

    SECTION("verifies its own links when several servers fail")
    {
        recordServerFailure(reachability, "s1", start);
        recordServerFailure(reachability, "s2", start + milliseconds(100));
        CHECK(isVerificationDue(reachability, start + milliseconds(100)));

        SECTION("but not when another server accepted a connection meanwhile")
        {
            recordServerConnected(reachability);
            CHECK_FALSE(isVerificationDue(reachability, start + milliseconds(200)));
        }
        SECTION("but not for failures long before each other")
        {
            CHECK_FALSE(isVerificationDue(reachability, start + failureMemory + milliseconds(150)));
        }
        SECTION("is not stranded when one of the servers accepts a connection")
        {
            CHECK_FALSE(recordVerification(reachability, 3, 1));
            CHECK_FALSE(reachability.isStranded);
            CHECK_FALSE(isSuspicious(reachability, start + milliseconds(200)));
        }
        SECTION("is not stranded while there is no server that it could reach")
        {
            CHECK_FALSE(recordVerification(reachability, 0, 0));
            CHECK_FALSE(reachability.isStranded);
        }
        SECTION("is stranded when none accepts a connection")
        {
            reachability.verifiedAt = start + milliseconds(100);
            CHECK(recordVerification(reachability, 3, 0));
            CHECK(reachability.isStranded);

            SECTION("and goes on verifying, at intervals")
            {
                CHECK_FALSE(isVerificationDue(reachability, start + milliseconds(200)));
                CHECK(isVerificationDue(reachability, start + milliseconds(100) + verificationInterval));
                CHECK(isVerificationDue(reachability, start + seconds(60)));
            }
            SECTION("and stays so while it reaches only a part of the servers")
            {
                CHECK_FALSE(recordVerification(reachability, 3, 1));
                CHECK(reachability.isStranded);
            }
            SECTION("until most of them accept connections again")
            {
                CHECK(recordVerification(reachability, 3, 2));
                CHECK_FALSE(reachability.isStranded);
                CHECK(reachability.failures.empty());
            }
        }
    }

    SECTION("verifies with servers that have not failed, its own region's first")
    {
        Random random(1);
        std::vector<ServerPointer> servers { serverOf("far", Locality::OtherRegion),
            serverOf("failed", Locality::SameZone), serverOf("gone", Locality::SameZone),
            serverOf("near", Locality::SameRegion), serverOf("own", Locality::SameZone) };
        servers[2]->isRemoved = true;
        recordServerFailure(reachability, "failed", start);
        const auto chosen = serversToVerify(reachability, servers, random);
        REQUIRE(chosen.size() == verifiedServers);
        CHECK(chosen[0]->locality != Locality::OtherRegion);
        CHECK(chosen[1]->locality != Locality::OtherRegion);
        CHECK(chosen[2]->entry.id == "far");
    }
}
