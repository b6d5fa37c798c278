#include "http/target.h"

#include <catch2/catch.hpp>

using namespace clementinefall::http;

TEST_CASE("Request targets")
{
    SECTION("path and query are split and decoded")
    {
        const auto target = parseTarget("/v1/services/sellos/a%20b/?x=1&y=%2F&z");
        REQUIRE(target);
        CHECK(target->segments == std::vector<std::string> { "v1", "services", "sellos", "a b" });
        CHECK(target->parameter("x") == "1");
        CHECK(target->parameter("y") == "/");
        CHECK(target->parameter("z").empty());
        CHECK(target->path == "/v1/services/sellos/a%20b/");
    }

    SECTION("malformed targets are refused")
    {
        CHECK_FALSE(parseTarget(""));
        CHECK_FALSE(parseTarget("v1"));
        CHECK_FALSE(parseTarget("/a%2"));
        CHECK_FALSE(parseTarget("/a%zz"));
        CHECK_FALSE(parseTarget("/a%00"));
        CHECK_FALSE(parseTarget("/?a=%0a"));
        CHECK_FALSE(parseTarget("/a b"));
    }

    SECTION("any text is one segment or one value when it is encoded, and is decoded to itself")
    {
        for (const std::string text :
            { "a&b", "a=b", "a+b", "a#b", "a%41", "a b", "a/b", "a?b", "..;", "\x7f", "\xc3\xa9", "-._~Az09" }) {
            INFO(text);
            const auto target = parseTarget("/" + percentEncoded(text) + "?x=" + percentEncoded(text) + "&y=2");
            REQUIRE(target);
            CHECK(target->segments == std::vector<std::string> { text });
            CHECK(target->parameter("x") == text);
            CHECK(target->parameter("y") == "2");
        }
        CHECK(percentEncoded("a\r\n+") == "a%0D%0A%2B");
        CHECK(percentEncoded("i-7f3a91c2") == "i-7f3a91c2");
    }
}
