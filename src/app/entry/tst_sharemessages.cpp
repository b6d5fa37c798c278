#include "sharemessages.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::entry;

TEST_CASE("Share messages")
{
    SECTION("a query and a status are unchanged by serializing and parsing, also with numbers above 2^63")
    {
        const steering::ShareQuery query { "e1", 0xffff'ffff'ffff'fff0, 7 };
        const auto parsedQuery = parseShareQuery(serializeShareQuery(query));
        REQUIRE(parsedQuery);
        CHECK(parsedQuery->incarnation == query.incarnation);
        CHECK(parsedQuery->number == 7);
        const steering::ShareStatus status { "e2", 5, 1, 3, 2, true, 0xffff'ffff'ffff'fff0, 7 };
        const auto parsedStatus = parseShareStatus(serializeShareStatus(status));
        REQUIRE(parsedStatus);
        CHECK(parsedStatus->holder == "e2");
        CHECK(parsedStatus->newest == 3);
        CHECK(parsedStatus->settled == 2);
        CHECK(parsedStatus->hasEnded);
        CHECK(parsedStatus->queryIncarnation == query.incarnation);
    }

    SECTION("a malformed message is rejected, so that it cannot count as a confirmation")
    {
        for (const char* text : { "", "{", "[]", "{}", R"({"holder":1,"incarnation":1,"number":1})" }) {
            INFO(text);
            CHECK_FALSE(parseShareQuery(text));
            CHECK_FALSE(parseShareStatus(text));
        }
    }
}
