#include "base/settings.h"

#include <catch2/catch.hpp>

using namespace clementinefall;

namespace {

SettingsReader readerFor(const std::string& text)
{
    auto result = SettingsReader::fromText("test.ini", text);
    REQUIRE(isOk(result));
    return valueOf(result);
}

} // namespace

TEST_CASE("Settings reader")
{
    SECTION("values are read with their types")
    {
        auto reader = readerFor("[instance]\nname = a1\naddress = 127.0.0.1:80\nttl = 250\nfast = true\n"
                                "peers = x, y\nratio = 0.5\n");
        CHECK(reader.requiredText("instance", "name") == "a1");
        CHECK(reader.address("instance", "address") == HostPort { "127.0.0.1", 80 });
        CHECK(reader.duration("instance", "ttl", milliseconds(1), milliseconds(0), milliseconds(500))
            == milliseconds(250));
        CHECK(reader.boolean("instance", "fast", false));
        CHECK(reader.list("instance", "peers") == std::vector<std::string> { "x", "y" });
        CHECK(reader.real("instance", "ratio", 1.0, 0.0, 1.0) == 0.5);
        CHECK(reader.finish().empty());
    }

    SECTION("each mistake is reported once with file, section, key and range")
    {
        auto reader = readerFor("[traffic]\nthreads = 99\nttl = soon\nadress = 1\n[instance]\naddress = host:80\n");
        CHECK(reader.integer("traffic", "threads", 2, 1, 64) == 2);
        CHECK(reader.duration("traffic", "ttl", milliseconds(5), milliseconds(0), milliseconds(9)) == milliseconds(5));
        reader.address("instance", "address");
        reader.requiredText("instance", "name");
        const auto errors = reader.finish();
        REQUIRE(errors.size() == 5);
        CHECK(errors[0].code == ResultCode::SettingsOutOfRange);
        CHECK(errors[0].message == "test.ini: [traffic] threads = 99 is not in 1..64");
        CHECK(errors[1].code == ResultCode::SettingsNotANumber);
        CHECK(errors[2].code == ResultCode::SettingsBadAddress);
        CHECK(errors[3].code == ResultCode::SettingsMissingKey);
        CHECK(errors[4].code == ResultCode::SettingsUnknownKey);
        CHECK(errors[4].message == "test.ini: [traffic] adress is not known");
    }

    SECTION("a file that is not INI gives the line")
    {
        const auto result = SettingsReader::fromText("test.ini", "[ok]\na = 1\nnonsense\n");
        REQUIRE_FALSE(isOk(result));
        CHECK(errorOf(result).code == ResultCode::SettingsUnreadable);
        CHECK(errorOf(result).message.find("test.ini:3") == 0);
    }
}
