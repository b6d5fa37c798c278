#include "base/random.h"
#include "bundle/bundlecodec.h"
#include "bundle/testbundles.h"
#include "bundle/textdelta.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::bundle;

namespace {

constexpr std::size_t limit = 1'000'000;

/// The text after a delta was encoded and applied again.
std::string roundTrip(const std::string& before, const std::string& after)
{
    const auto result = applyTextDelta(before, encodeTextDelta(before, after), limit);
    REQUIRE(isOk(result));
    return valueOf(result);
}

} // namespace

TEST_CASE("The delta between two versions of a bundle")
{
    const TestOperators operators;
    Bundle before = operators.bundle(1, "ana");
    for (std::uint16_t i = 0; i < 500; ++i) {
        before.services[0].servers.push_back(
            { "server-" + std::to_string(i), "sur-a", { "127.0.0.1", static_cast<std::uint16_t>(1000 + i) }, 3, 330 });
    }
    Bundle after = before;
    after.version = 2;
    const auto bytes = [&] { return encodeTextDelta(serializeBundle(before), serializeBundle(after)).size(); };
    const auto isRestored
        = [&] { return roundTrip(serializeBundle(before), serializeBundle(after)) == serializeBundle(after); };

    SECTION("is small for a server that is drained")
    {
        after.drains.push_back({ DrainKind::BackendServer, "server-7" });
        CHECK(isRestored());
        CHECK(bytes() < 300);
    }
    SECTION("is small for a server that leaves, and for one that joins")
    {
        after.services[0].servers.erase(after.services[0].servers.begin() + 250);
        after.services[0].servers.push_back({ "server-new", "sur-b", { "127.0.0.1", 9000 }, 3, 330 });
        CHECK(isRestored());
        CHECK(bytes() < 600);
    }
    SECTION("restores a bundle that has little in common with the one before")
    {
        after = operators.bundle(9, "eva");
        CHECK(isRestored());
        std::swap(before, after);
        CHECK(isRestored());
    }
}

TEST_CASE("Any two texts have a delta")
{
    Random random(7);
    const auto text = [&](std::size_t length) {
        std::string result;
        for (std::size_t i = 0; i < length; ++i)
            result += "ab,c"[static_cast<std::size_t>(randomUnit(random) * 4)];
        return result;
    };
    for (int i = 0; i < 300; ++i) {
        const std::string before = text(static_cast<std::size_t>(randomUnit(random) * 200));
        std::string after = before;
        for (int edits = 0; edits < 3; ++edits) {
            const auto at = static_cast<std::size_t>(randomUnit(random) * static_cast<double>(after.size()));
            after.replace(at, static_cast<std::size_t>(randomUnit(random) * 30), text(3));
        }
        REQUIRE(roundTrip(before, after) == after);
    }
    CHECK(roundTrip("", "").empty());
    CHECK(roundTrip("", "a,b") == "a,b");
    CHECK(roundTrip("a,b", "").empty());
}

TEST_CASE("A malformed delta is an error")
{
    for (const char* delta : { "", "{}", "[1]", "[[1]]", "[[0,4]]", "[[4,0]]", "[[2,2]]", "[[-1,1]]",
             "[[0,18446744073709551615]]", R"([["0",1]])" })
        CHECK_FALSE(isOk(applyTextDelta("abc", delta, limit)));
    CHECK_FALSE(isOk(applyTextDelta("abc", "[[0,3],[0,3]]", 5)));
}
