#include "bundle/bundlecodec.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <sodium.h>

#include <array>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

using namespace clementinefall;
using namespace clementinefall::bundle;

namespace {

using Digest = std::array<unsigned char, 32>;

Bundle readExample(const std::string& name)
{
    std::ifstream file(std::string(CLEMENTINEFALL_EXAMPLES) + "/" + name + "/bundle.json");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const auto parsed = parseBundle(text);
    if (!isOk(parsed))
        FAIL(errorOf(parsed).text());
    return valueOf(parsed);
}

Digest digestOf(const std::string& text)
{
    Digest digest {};
    crypto_generichash(
        digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr, 0);
    return digest;
}

std::string hex(const Digest& bytes)
{
    std::string text;
    for (const unsigned char byte : bytes)
        text += fmt::format("{:02x}", byte);
    return text;
}

std::string publicKeyOf(const std::string& seedText)
{
    Digest key {};
    std::array<unsigned char, crypto_sign_SECRETKEYBYTES> secret {};
    crypto_sign_seed_keypair(key.data(), secret.data(), digestOf(seedText).data());
    return hex(key);
}

std::set<std::uint16_t> checkAddresses(const Bundle& bundle)
{
    std::set<std::string> addresses;
    std::set<std::uint16_t> ports;
    const auto record = [&](const HostPort& address) {
        CHECK(address.host.starts_with("127."));
        // Ports from 32768 are ephemeral: an outgoing connection may occupy them.
        CHECK(address.port < 32768);
        CHECK(addresses.insert(address.text()).second);
        ports.insert(address.port);
    };
    for (const EntryInstance& instance : bundle.entryInstances) {
        record(instance.traffic);
        record(instance.peer);
        record(instance.admin);
    }
    for (const Service& service : bundle.services) {
        for (const BackendServer& server : service.servers)
            record(server.address);
    }
    return ports;
}

void checkDeployment(const Bundle& bundle, const std::map<std::string, std::size_t>& serverCounts)
{
    CHECK(bundle.zones.size() == 6);
    CHECK(bundle.entryInstances.size() == 12);
    CHECK(bundle.links.size() == 6);
    REQUIRE(bundle.services.size() == serverCounts.size());
    for (const Service& service : bundle.services) {
        CHECK(service.servers.size() == serverCounts.at(service.name));
        std::set<std::string> zones;
        for (const BackendServer& server : service.servers)
            zones.insert(server.zone);
        CHECK(zones.size() == 6);
    }
    for (const Operator& person : bundle.operators)
        CHECK(person.tokenDigest == hex(digestOf("demo-token-" + person.name)));
    REQUIRE(bundle.operators.size() == 3);
    CHECK(bundle.operators[1].publicKey == publicKeyOf("demo-key-ben"));
    CHECK(bundle.operators[2].publicKey == publicKeyOf("demo-key-eva"));
}

} // namespace

TEST_CASE("Example bundles")
{
    REQUIRE(sodium_init() >= 0);
    const Bundle graniteRidge = readExample("granite-ridge");
    const Bundle inat = readExample("inat");

    SECTION("each describes its deployment, and its keys and token digests derive from the demo seeds and tokens")
    {
        checkDeployment(graniteRidge, { { "shelfwatch", 16 }, { "tillgate", 12 }, { "ledgerbin", 14 } });
        checkDeployment(inat, { { "catalogo", 12 }, { "sellos", 12 }, { "planos", 12 } });
    }

    SECTION("each address is unique, and the deployments share no port, so both can run on one machine")
    {
        const auto first = checkAddresses(graniteRidge);
        for (const std::uint16_t port : checkAddresses(inat))
            CHECK_FALSE(first.contains(port));
    }
}
