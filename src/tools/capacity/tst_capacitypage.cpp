#include "capacitypage.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::capacity;

TEST_CASE("Figures of the capacity page")
{
    const std::vector<Figure> measured { { "bytes", 750, 100 }, { "step_us", 750, 10 } };

    SECTION("figures within the tolerance are not reported")
    {
        const auto stated = parseFigures("text\n```capacity\nbytes 750 109\nstep_us 750 4\n```\n");
        REQUIRE(isOk(stated));
        CHECK(compareFigures(measured, valueOf(stated)).empty());
    }
    SECTION("outdated, missing and no longer measured figures are each reported")
    {
        const auto stated = parseFigures("```capacity\nbytes 750 120\nbytes 12 50\n```\n");
        REQUIRE(isOk(stated));
        CHECK(compareFigures(measured, valueOf(stated)).size() == 3);
    }
    SECTION("a processor time beyond the allowed factor is reported whether higher or lower")
    {
        CHECK(compareFigures({ { "step_us", 1, 31 } }, { { "step_us", 1, 10 } }).size() == 1);
        CHECK(compareFigures({ { "step_us", 1, 3 } }, { { "step_us", 1, 10 } }).size() == 1);
    }
    SECTION("a malformed page is an error, not a page without figures")
    {
        CHECK_FALSE(isOk(parseFigures("no block")));
        CHECK_FALSE(isOk(parseFigures("```capacity\nbytes 750 1\n")));
        CHECK_FALSE(isOk(parseFigures("```capacity\nbytes many 1\n```\n")));
    }
}
