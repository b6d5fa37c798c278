#include "load/answercheck.h"
#include "load/htmlreport.h"
#include "load/scenario.h"
#include "load/verification.h"

#include "backend/filler.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::load;

namespace {

Record charge(std::string identity, Outcome outcome)
{
    Record record;
    record.service = "tillgate";
    record.zone = "sur-a";
    record.nonIdempotent = true;
    record.identity = std::move(identity);
    record.outcome = outcome;
    record.latency = milliseconds(10);
    return record;
}

AnswerCheck checkInPieces(const ExpectedAnswer& expected, std::string_view body, std::size_t pieceBytes)
{
    AnswerChecker checker(expected);
    for (std::size_t offset = 0; offset < body.size(); offset += pieceBytes)
        checker.update(body.substr(offset, pieceBytes));
    return checker.finish();
}

} // namespace

TEST_CASE("Verification against effects")
{
    std::vector<Record> records { charge("e1.a.1", Outcome::Answered), charge("e1.a.2", Outcome::NotRun),
        charge("e1.a.3", Outcome::Unknown) };
    std::vector<EffectRecord> effects { { "e1.a.1", "s1", 1 }, { "e1.a.3", "s2", 1 } };

    SECTION("a run that kept every promise has no violation; an unknown outcome may have run")
    {
        const auto reports = verify(records, effects);
        REQUIRE(reports.size() == 1);
        CHECK(reports[0].sent == 3);
        CHECK(reports[0].answered == 1);
        CHECK(reports[0].notRun == 1);
        CHECK(reports[0].unknown == 1);
        CHECK_FALSE(reports[0].hasViolation());
    }

    SECTION("an identity that ran twice on one server is found")
    {
        effects[0].count = 2;
        CHECK(verify(records, effects)[0].runTwice == 1);
        CHECK(verify(records, effects)[0].hasViolation());
    }

    SECTION("an identity that ran once on each of two servers is found, also with an unknown outcome")
    {
        effects.push_back({ "e1.a.3", "s1", 1 });
        CHECK(verify(records, effects)[0].runTwice == 1);
        CHECK(verify(records, effects)[0].hasViolation());
    }

    SECTION("an effect after the final word not run is found")
    {
        effects.push_back({ "e1.a.2", "s1", 1 });
        CHECK(verify(records, effects)[0].effectsAfterNotRun == 1);
        CHECK(verify(records, effects)[0].hasViolation());
    }

    SECTION("wrong and cut answers are found")
    {
        records[0].check = AnswerCheck::Wrong;
        CHECK(verify(records, effects)[0].hasViolation());
        records[0].check = AnswerCheck::Cut;
        CHECK(verify(records, effects)[0].cut == 1);
        CHECK(verify(records, effects)[0].hasViolation());
    }

    SECTION("idempotent requests may run more than once")
    {
        records[0].nonIdempotent = false;
        effects[0].count = 2;
        CHECK_FALSE(verify(records, effects)[0].hasViolation());
    }

    SECTION("the HTML report holds a plot of each kind")
    {
        const std::string html = htmlReport(records, verify(records, effects));
        CHECK(html.find("<polyline") != std::string::npos);
        CHECK(html.find("class=\"bar\"") != std::string::npos);
    }
}

TEST_CASE("Answer check")
{
    const ExpectedAnswer expected { "/load/charge/7", "e1.a.7", 3, "abc", 1000 };
    std::string body = R"({"identity":"e1.a.7","server":"s1","path":"/load/charge/7","bytes":3,"hash":"abc"})"
                       "\n";
    std::string filler(1000, '\0');
    backend::fillBytes("e1.a.7", 0, filler);
    const std::string whole = body + filler;

    for (const std::size_t pieceBytes : { 1UL, 7UL, 64UL, 4096UL })
        CHECK(checkInPieces(expected, whole, pieceBytes) == AnswerCheck::Whole);
    CHECK(checkInPieces(expected, whole.substr(0, whole.size() - 1), 64) == AnswerCheck::Cut);
    CHECK(checkInPieces(expected, body.substr(0, 20), 64) == AnswerCheck::Cut);
    CHECK(checkInPieces(expected, "", 64) == AnswerCheck::Cut);
    std::string damaged = whole;
    damaged[damaged.size() - 500] ^= 1;
    CHECK(checkInPieces(expected, damaged, 64) == AnswerCheck::Cut);
    ExpectedAnswer other = expected;
    other.identity = "e1.a.8";
    CHECK(checkInPieces(other, whole, 64) == AnswerCheck::Wrong);
    other = expected;
    other.path = "/load/charge/8";
    CHECK(checkInPieces(other, whole, 64) == AnswerCheck::Wrong);
}

TEST_CASE("Records and scenarios")
{
    SECTION("effect lines that are damaged are an error, or lost effects would look like a clean run")
    {
        const auto effects = parseEffects("{\"identity\":\"a\",\"server\":\"s\",\"count\":2}\n");
        REQUIRE(isOk(effects));
        CHECK(valueOf(effects).at(0).count == 2);
        CHECK_FALSE(isOk(parseEffects("{\"identity\":\"a\",\"server\":\"s\"}\n")));
    }

    SECTION("a scenario file names its kinds, and a mistake in it is reported")
    {
        const std::string text
            = "[callers]\nzones=sur-a,sur-b\nrequests=stamp\n[request stamp]\nservice=sellos\nnonIdempotent=true\n";
        const auto scenario = readScenario(valueOf(SettingsReader::fromText("s.ini", text)));
        REQUIRE(isOk(scenario));
        CHECK(valueOf(scenario).kinds.at(0).nonIdempotent);
        CHECK_FALSE(isOk(readScenario(valueOf(SettingsReader::fromText("s.ini", text + "wight=3\n")))));
        CHECK_FALSE(isOk(presetScenario("other")));
    }
}
