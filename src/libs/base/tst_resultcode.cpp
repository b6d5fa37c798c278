#include "base/resultcode.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>
#include <sstream>

using namespace clementinefall;

TEST_CASE("Result code table")
{
    const auto table = resultCodeTable();

    SECTION("numbers ascend, so that no number is used twice")
    {
        for (std::size_t i = 1; i < table.size(); ++i)
            CHECK(number(table[i - 1].code) < number(table[i].code));
    }

    SECTION("the thousands give the outcome of answers, refusals and doubts")
    {
        for (const ResultCodeInfo& info : table) {
            const unsigned thousands = number(info.code) / 1000;
            INFO(info.name);
            CHECK((thousands == 1) == (info.outcome == Outcome::Answered));
            if (thousands == 2)
                CHECK(info.outcome == Outcome::NotRun);
            if (thousands == 3)
                CHECK(info.outcome == Outcome::Unknown);
        }
    }

    SECTION("the documentation lists exactly these codes")
    {
        std::ifstream file(CLEMENTINEFALL_DOCS "/RESULT-CODES.md");
        REQUIRE(file);
        std::ostringstream content;
        content << file.rdbuf();
        const std::string text = content.str();
        std::size_t rows = 0;
        for (std::size_t at = text.find("\n| "); at != std::string::npos; at = text.find("\n| ", at + 1))
            ++rows;
        CHECK(rows == table.size() + 1); // one more for the heading
        for (const ResultCodeInfo& info : table) {
            const std::string row = fmt::format(
                "| {} | {} | {} | {} |\n", number(info.code), info.name, outcomeName(info.outcome), info.description);
            INFO(row);
            CHECK(text.find(row) != std::string::npos);
        }
    }

    SECTION("a number that is not in the table gives no code")
    {
        CHECK_FALSE(resultCodeFromNumber(1).has_value());
        CHECK(resultCodeFromNumber(2001) == ResultCode::NotRunShedByServer);
    }
}
