#include "bundle/bundlecodec.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::bundle;

namespace {

Bundle smallBundle()
{
    Bundle bundle;
    bundle.version = 3;
    bundle.author = "ana";
    bundle.zones = { { "sur-a", "sur" }, { "andes-a", "andes" } };
    bundle.entryInstances = { { "e1", "sur-a", { "127.0.0.1", 1 }, { "127.0.0.1", 2 }, { "127.0.0.1", 3 } } };
    Service service;
    service.name = "sellos";
    service.team = "registry";
    service.requestClass = RequestClass::NonIdempotent;
    service.priority = Priority::Critical;
    service.servers = { { "s1", "sur-a", { "127.0.0.1", 9 }, 3, 330 } };
    bundle.services = { service };
    bundle.shiftCaps = { { "sellos", "sur", "andes", 10, 1000, 1 } };
    bundle.links = { { "sur", "andes", 1000, milliseconds(35) } };
    bundle.drains = { { DrainKind::BackendServer, "s1" } };
    bundle.operators = { { "ana", "registry", Role::Approver, "00", "11" } };
    return bundle;
}

ResultCode codeOf(const std::string& text)
{
    const auto result = parseBundle(text);
    REQUIRE_FALSE(isOk(result));
    return errorOf(result).code;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("Bundle codec")
{
    const Bundle bundle = smallBundle();
    const std::string text = serializeBundle(bundle);

    SECTION("a parsed bundle equals the serialized one, and serializing it again gives the same text")
    {
        const auto parsed = parseBundle(text);
        REQUIRE(isOk(parsed));
        CHECK(valueOf(parsed) == bundle);
        CHECK(serializeBundle(valueOf(parsed)) == text);
    }

    SECTION("the base version is written only when it is stated, so that digests of older bundles stay the same")
    {
        CHECK(text.find("baseVersion") == std::string::npos);
        Bundle derived = bundle;
        derived.baseVersion = 2;
        const auto parsed = parseBundle(serializeBundle(derived));
        REQUIRE(isOk(parsed));
        CHECK(valueOf(parsed) == derived);
    }

    SECTION("each kind of error has its own result code and names its path")
    {
        CHECK(codeOf("{") == ResultCode::BundleNotJson);
        CHECK(codeOf("[]") == ResultCode::BundleWrongType);
        CHECK(codeOf(replaced(text, "\"version\":3,", "")) == ResultCode::BundleMissingField);
        CHECK(codeOf(replaced(text, "\"slots\":3", "\"slots\":\"3\"")) == ResultCode::BundleWrongType);
        CHECK(codeOf(replaced(text, "\"slots\":3", "\"slots\":2.5")) == ResultCode::BundleWrongType);
        CHECK(codeOf(replaced(text, "\"slots\":3", "\"slots\":0")) == ResultCode::BundleOutOfRange);
        CHECK(codeOf(replaced(text, "\"slots\":3", "\"slot\":3")) == ResultCode::BundleMissingField);
        CHECK(codeOf(replaced(text, "\"drains\"", "\"drain\"")) == ResultCode::BundleUnknownField);
        CHECK(codeOf(replaced(text, "\"sellos\"", "\"a/../b\"")) == ResultCode::BundleOutOfRange);
        const auto result = parseBundle(replaced(text, "\"slots\":3", "\"slots\":0"));
        CHECK(errorOf(result).message == "services[0].servers[0].slots: 0 is not in 1..1000");
    }

    SECTION("deep nesting is rejected, so that a malicious bundle cannot exhaust the stack")
    {
        CHECK(codeOf(std::string(10'000, '[')) == ResultCode::BundleNotJson);
    }
}
