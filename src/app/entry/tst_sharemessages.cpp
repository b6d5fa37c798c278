#include "sharemessages.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::entry;

TEST_CASE("Share messages")
{
    SECTION("a query and a status survive writing and reading, with numbers above 2^63")
    {
        const steering::ShareQuery query { "e1", 0xffff'ffff'ffff'fff0, 7 };
        const auto readQuery = parseShareQuery(serializeShareQuery(query));
        REQUIRE(readQuery);
        CHECK(readQuery->incarnation == query.incarnation);
        CHECK(readQuery->number == 7);
        const steering::ShareStatus status { "e2", 5, 1, 3, 2, true, 0xffff'ffff'ffff'fff0, 7 };
        const auto readStatus = parseShareStatus(serializeShareStatus(status));
        REQUIRE(readStatus);
        CHECK(readStatus->holder == "e2");
        CHECK(readStatus->newest == 3);
        CHECK(readStatus->settled == 2);
        CHECK(readStatus->hasEnded);
        CHECK(readStatus->queryIncarnation == query.incarnation);
    }

    SECTION("a malformed message gives nothing, so that it cannot count as a confirmation")
    {
        for (const char* text : { "", "{", "[]", "{}", R"({"holder":1,"incarnation":1,"number":1})" }) {
            INFO(text);
            CHECK_FALSE(parseShareQuery(text));
            CHECK_FALSE(parseShareStatus(text));
        }
    }
}
