#include "bundle/bundlecheck.h"
#include "bundle/bundlecodec.h"
#include "bundle/testbundles.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::bundle;

namespace {

/// True when a finding has this code, severity and path.
bool hasFinding(const Bundle& bundle, ResultCode code, Severity severity, const std::string& path)
{
    for (const Finding& finding : checkBundle(bundle)) {
        UNSCOPED_INFO(finding.text());
        if (finding.code == code && finding.severity == severity && finding.path == path)
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("Bundle checks")
{
    const TestOperators testOperators;
    Bundle bundle = testOperators.bundle(2, "ida");
    REQUIRE(checkBundle(bundle).empty());

    SECTION("a reference to something that does not exist is reported with its path")
    {
        bundle.entryInstances[1].zone = "nowhere";
        bundle.services[0].servers[2].zone = "nowhere";
        bundle.shiftCaps[0].service = "nothing";
        bundle.shiftCaps.push_back({ "sellos", "nowhere", "andes", 1, 1, 1 });
        bundle.links.push_back({ "sur", "nowhere", 1, milliseconds(1) });
        bundle.drains = { { DrainKind::BackendServer, "s9" }, { DrainKind::Zone, "sur" },
            { DrainKind::EntryInstance, "s-sur-a" } };
        for (const char* path : { "entryInstances[1].zone", "services[0].servers[2].zone", "shiftCaps[0].service",
                 "shiftCaps[1].from", "links[2].to", "drains[0].name", "drains[1].name", "drains[2].name" })
            CHECK(hasFinding(bundle, ResultCode::BundleUnknownReference, Severity::Error, path));
    }

    SECTION("a name, address, key or entry that is used twice is reported")
    {
        bundle.zones[1].name = "sur-a";
        bundle.entryInstances[1].peer = bundle.entryInstances[0].traffic;
        Service copy = bundle.services[0];
        copy.name = "planos";
        bundle.services.push_back(copy);
        bundle.operators[1].publicKey = bundle.operators[0].publicKey;
        bundle.operators[1].tokenDigest = bundle.operators[0].tokenDigest;
        bundle.links.push_back(bundle.links[0]);
        for (const char* path : { "zones[1].name", "entryInstances[1].peer", "services[1].servers[0].name",
                 "services[1].servers[0].address", "operators[1].publicKey", "operators[1].tokenDigest", "links[2]" })
            CHECK(hasFinding(bundle, ResultCode::BundleDuplicateName, Severity::Error, path));
    }

    SECTION("a zone without entry instances and a region without links are reported as unreachable")
    {
        bundle.entryInstances.pop_back();
        bundle.zones.push_back({ "norte-a", "norte" });
        CHECK(hasFinding(bundle, ResultCode::BundleZoneUnreachable, Severity::Error, "zones[3]"));
        CHECK(hasFinding(bundle, ResultCode::BundleZoneUnreachable, Severity::Error, "zones[4].region"));
    }

    SECTION("caps above the link budget, alone or in total, are reported, without integer overflow")
    {
        bundle.shiftCaps[0].perSecond = 1'000'000 / minimumRequestBytes + 1;
        CHECK(hasFinding(bundle, ResultCode::BundleCapAboveLink, Severity::Error, "shiftCaps[0]"));
        bundle.shiftCaps[0].perSecond = 1'000;
        CHECK(hasFinding(bundle, ResultCode::BundleCapAboveLink, Severity::Warning, "shiftCaps[0]"));
        bundle.shiftCaps.push_back({ "sellos", "sur-a", "andes-b", 1'000, 1, 1 });
        CHECK(hasFinding(bundle, ResultCode::BundleCapAboveLink, Severity::Error, "shiftCaps[1]"));
        bundle.shiftCaps[0].perSecond = 1ULL << 60U;
        CHECK(hasFinding(bundle, ResultCode::BundleCapAboveLink, Severity::Error, "shiftCaps[0]"));
    }

    SECTION("a service without a spare zone is an error, but a drain that leaves servers in only one zone is a warning")
    {
        bundle.drains = { { DrainKind::Zone, "sur-a" }, { DrainKind::Zone, "sur-b" }, { DrainKind::Zone, "andes-a" } };
        CHECK_FALSE(hasErrors(checkBundle(bundle)));
        CHECK(hasFinding(bundle, ResultCode::BundleNoSpareZone, Severity::Warning, "services[0].servers"));
        bundle.drains.push_back({ DrainKind::Zone, "andes-b" });
        CHECK(hasFinding(bundle, ResultCode::BundleNoSpareZone, Severity::Error, "services[0].servers"));
        bundle.drains.clear();
        bundle.services[0].servers.resize(1);
        CHECK(hasFinding(bundle, ResultCode::BundleNoSpareZone, Severity::Error, "services[0].servers"));
    }

    SECTION("too few signers for a successor by any author are an error, since the bundle could never be replaced")
    {
        bundle.requiredSignatures = 3;
        CHECK_FALSE(hasErrors(checkBundle(bundle))); // ida is the author, the other three sign
        bundle.operators[3].role = Role::Viewer;
        CHECK(hasFinding(bundle, ResultCode::BundleNotEnoughSignatures, Severity::Error, "operators"));
    }

    SECTION("a finding in a source text gives the line of the faulty value")
    {
        bundle.drains = { { DrainKind::Zone, "nowhere" } };
        std::string text = serializeBundle(bundle);
        text.insert(text.find("\"drains\""), "\n\n");
        text.insert(text.find("\"nowhere\""), "\n");
        const CheckedText checked = checkBundleText(text);
        REQUIRE(checked.findings.size() == 1);
        CHECK(checked.findings[0].text()
            == "error 6004 bundle-unknown-reference line 4 drains[0].name: zone nowhere does not exist");
        const CheckedText missing = checkBundleText("{\n\"version\": 1,\n\"author\": 7}");
        REQUIRE(missing.findings.size() == 1);
        CHECK(missing.findings[0].line == 3);
        CHECK(missing.findings[0].path == "author");
        CHECK(checkBundleText("{\n\"version\": 1,,\n}").findings.at(0).line == 2);
        CHECK(checkBundleText("{}").findings.at(0).text()
            == "error 6001 bundle-missing-field line 1 version: is required");
    }
}
