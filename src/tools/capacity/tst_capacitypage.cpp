#include "capacitypage.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::capacity;

TEST_CASE("Figures of the capacity page")
{
    const std::vector<Figure> measured { { "bytes", 750, 100 }, { "step_us", 750, 10 } };

    SECTION("a page that states what was measured has no differences")
    {
        const auto stated = parseFigures("text\n```capacity\nbytes 750 109\nstep_us 750 4\n```\n");
        REQUIRE(isOk(stated));
        CHECK(compareFigures(measured, valueOf(stated)).empty());
    }
    SECTION("an outdated figure, one that is missing and one that is not measured any more are each reported")
    {
        const auto stated = parseFigures("```capacity\nbytes 750 120\nbytes 12 50\n```\n");
        REQUIRE(isOk(stated));
        CHECK(compareFigures(measured, valueOf(stated)).size() == 3);
    }
    SECTION("a processor time beyond the factor is reported in both directions")
    {
        CHECK(compareFigures({ { "step_us", 1, 31 } }, { { "step_us", 1, 10 } }).size() == 1);
        CHECK(compareFigures({ { "step_us", 1, 3 } }, { { "step_us", 1, 10 } }).size() == 1);
    }
    SECTION("a damaged page does not pass as one without figures")
    {
        CHECK_FALSE(isOk(parseFigures("no block")));
        CHECK_FALSE(isOk(parseFigures("```capacity\nbytes 750 1\n")));
        CHECK_FALSE(isOk(parseFigures("```capacity\nbytes many 1\n```\n")));
    }
}
