#include "entrysettings.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::entry;

TEST_CASE("Settings of an entry instance")
{
    const std::string valid = "[instance]\nname = e1\nzone = sur-a\n[listen]\ntraffic = 127.0.0.1:1\n"
                              "peer = 127.0.0.1:2\nadmin = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n"
                              "[cluster]\nkey = 00\n";

    SECTION("a complete file has no errors")
    {
        const auto report = parseEntrySettings("e1.ini", valid);
        CHECK(report.errors.empty());
        CHECK(report.settings.zone == "sur-a");
        CHECK(report.settings.trafficThreads == 2);
    }

    SECTION("all errors of a file are reported at once")
    {
        const auto report = parseEntrySettings("e1.ini", valid + "[traffic]\nthreads = 0\nthread = 1\n");
        REQUIRE(report.errors.size() == 2);
        CHECK(report.errors[0].message == "e1.ini: [traffic] threads = 0 is not in 1..64");
        CHECK(report.errors[1].code == ResultCode::SettingsUnknownKey);
        CHECK(parseEntrySettings("e1.ini", "").errors.size() == 7);
    }
}
