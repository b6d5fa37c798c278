#include "requests/identity.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::requests;

TEST_CASE("Identity text")
{
    SECTION("formatting and parsing return the same identity, also with dots in the instance name")
    {
        const Identity identity { "sur-a.e1", 0xab, 42 };
        CHECK(formatIdentity(identity) == "sur-a.e1.00000000000000ab.42");
        const auto parsed = parseIdentity(formatIdentity(identity));
        REQUIRE(isOk(parsed));
        CHECK(valueOf(parsed) == identity);
    }

    SECTION("alternative spellings are rejected, because a request could run once per spelling of its identity")
    {
        const std::string name65(65, 'a');
        for (const std::string& text :
            std::vector<std::string> { "", ".", "..", "e1.00000000000000ab", "e1.ab.1", ".00000000000000ab.1",
                "e1.00000000000000AB.1", "e1.00000000000000ab.01", "e1.00000000000000ab.+1", "e1.00000000000000ab.0",
                "e1.00000000000000ab.1 ", "e 1.00000000000000ab.1", "e1.00000000000000ab.-1",
                "e1.00000000000000ab.18446744073709551616", "e1.0x000000000000ab.1", name65 + ".00000000000000ab.1" }) {
            INFO(text);
            const auto parsed = parseIdentity(text);
            REQUIRE_FALSE(isOk(parsed));
            CHECK(errorOf(parsed).code == ResultCode::NotRunInvalidIdentity);
        }
    }
}

TEST_CASE("Identity issuer")
{
    const TimePoint start = TimePoint {} + std::chrono::hours(1);
    IdentityIssuer issuer(minutes(15), 100);

    SECTION("identities expire after their lifetime, at most one second late")
    {
        CHECK(issuer.issue(3, start)->first == 1);
        CHECK(issuer.issue(2, start + milliseconds(900))->first == 4);
        CHECK(issuer.issue(1, start + seconds(5))->first == 6);
        issuer.expire(start + minutes(15));
        CHECK(issuer.floor() == 1);
        issuer.expire(start + minutes(15) + milliseconds(900));
        CHECK(issuer.floor() == 6);
    }

    SECTION("the floor does not decrease when a thread passes an earlier time")
    {
        issuer.issue(1, start);
        issuer.expire(start + minutes(16));
        issuer.issue(1, start);
        CHECK(issuer.floor() == 2);
        CHECK(issuer.next() == 3);
    }

    SECTION("the number of open identities is bounded, and expiry allows new ones")
    {
        CHECK(issuer.issue(100, start).has_value());
        CHECK_FALSE(issuer.issue(1, start).has_value());
        CHECK_FALSE(issuer.issue(0, start + minutes(16)).has_value());
        CHECK(issuer.issue(100, start + minutes(16))->first == 101);
    }
}
