#include "platform/platformprotocol.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::platform;

TEST_CASE("Messages of the platform's object API")
{
    SECTION("lists and entity tags are unchanged after serializing and parsing")
    {
        const ObjectList objects { 7, { { "a", 1 }, { "b", 5 } } };
        CHECK(valueOf(parseObjectList(serializeObjectList(objects))) == objects);
        const InstanceList instances { { { "e1", InstanceState::Live } }, { { "b1", InstanceState::Leaving } } };
        CHECK(valueOf(parseInstanceList(serializeInstanceList(instances))) == instances);
        CHECK(valueOf(parseEntityTag(formatEntityTag(12))) == 12);
    }

    SECTION("a malformed response is an error and is not taken for an empty list")
    {
        for (const char* text : { "", "{", "{}", "[]", R"({"revision":-1,"objects":[]})",
                 R"({"revision":1,"objects":[{"name":1,"version":1}]})" }) {
            INFO(text);
            CHECK_FALSE(isOk(parseObjectList(text)));
            CHECK_FALSE(isOk(parseInstanceList(text)));
        }
        for (const char* text : { "", "\"", "\"\"", "12", "\"x\"", "\"1" })
            CHECK_FALSE(isOk(parseEntityTag(text)));
    }
}
