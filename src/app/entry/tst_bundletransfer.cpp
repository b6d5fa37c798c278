#include "bundletransfer.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::entry;
using peers::BundleKind;

namespace {

/// The text of a bundle with many entries, of which \a changed is another one.
KnownBundle bundleOf(std::uint64_t version, int changed)
{
    std::string text = R"({"version":)" + std::to_string(version);
    for (int i = 0; i < 400; ++i)
        text += R"(,{"name":"server-)" + std::to_string(i) + R"(","slots":)" + (i == changed ? "7" : "3") + "}";
    return { version, "digest-" + std::to_string(version), text + "}", "signatures-" + std::to_string(version) };
}

} // namespace

TEST_CASE("A peer that asks for a newer bundle")
{
    BundleHistory history;
    CHECK(bundleResponse(history, {}).kind == BundleKind::None);
    for (const std::uint64_t version : { 3U, 5U, 8U })
        rememberBundle(history, bundleOf(version, static_cast<int>(version)));
    rememberBundle(history, bundleOf(4, 0));
    BundleHistory peer;
    rememberBundle(peer, bundleOf(5, 5));
    peers::BundleQuery query { .haveVersion = 5, .haveDigest = "digest-5", .acceptsDelta = true };

    SECTION("gets a small delta, which restores the text")
    {
        const peers::BundleResponse response = bundleResponse(history, query);
        CHECK(response.kind == BundleKind::Delta);
        CHECK(response.content.size() < history.bundles.back().text.size() / 20);
        const auto received = receivedBundle(peer, response);
        REQUIRE(isOk(received));
        CHECK(valueOf(received).text == bundleOf(8, 8).text);
        CHECK(valueOf(received).signOffs == "signatures-8");

        SECTION("which it cannot use without the bundle that it is for")
        {
            CHECK_FALSE(isOk(receivedBundle({}, response)));
        }
    }
    SECTION("gets the full bundle")
    {
        SECTION("when it is of an earlier release") { query.acceptsDelta = false; }
        SECTION("when it has another bundle with the same version") { query.haveDigest = "another"; }
        SECTION("when it lags far behind") { query.haveVersion = 1; }
        SECTION("when it has none") { query = { .haveVersion = 0, .haveDigest = {}, .acceptsDelta = true }; }
        const peers::BundleResponse response = bundleResponse(history, query);
        CHECK(response.kind == BundleKind::Full);
        const auto received = receivedBundle({}, response);
        REQUIRE(isOk(received));
        CHECK(valueOf(received).text == bundleOf(8, 8).text);
    }
    SECTION("gets nothing when it has the newest")
    {
        query.haveVersion = 8;
        CHECK(bundleResponse(history, query).kind == BundleKind::None);
        CHECK_FALSE(isOk(receivedBundle(peer, bundleResponse(history, query))));
    }
    SECTION("keeps its bundle when the response is malformed")
    {
        for (const char* content :
            { "", "{}", R"({"signOffs":"s"})", R"({"signOffs":"s","base":5,"delta":"[[0,9999999]]"})",
                R"({"signOffs":"s","base":"5","delta":"[]"})" }) {
            peers::BundleResponse response {
                .kind = BundleKind::Delta, .version = 8, .digest = {}, .content = content, .signOffs = {}
            };
            CHECK_FALSE(isOk(receivedBundle(peer, response)));
            response.kind = BundleKind::Full;
            CHECK_FALSE(isOk(receivedBundle(peer, response)));
        }
    }
    SECTION("finds only the last bundles in the history")
    {
        for (std::uint64_t version = 10; version < 20; ++version)
            rememberBundle(history, bundleOf(version, 1));
        CHECK(history.bundles.size() == BundleHistory::capacity);
        CHECK(history.bundles.back().version == 19);
    }
}
