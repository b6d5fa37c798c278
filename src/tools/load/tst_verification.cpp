#include "load/responsecheck.h"
#include "load/htmlreport.h"
#include "load/scenario.h"
#include "load/verification.h"

#include "backend/filler.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::load;

namespace {

RequestRecord chargeRecord(std::string identity, Outcome outcome)
{
    RequestRecord record;
    record.service = "tillgate";
    record.zone = "sur-a";
    record.nonIdempotent = true;
    record.identity = std::move(identity);
    record.outcome = outcome;
    record.latency = milliseconds(10);
    return record;
}

ResponseCheck checkInPieces(const ExpectedResponse& expected, std::string_view body, std::size_t pieceBytes)
{
    ResponseChecker checker(expected);
    for (std::size_t offset = 0; offset < body.size(); offset += pieceBytes)
        checker.update(body.substr(offset, pieceBytes));
    return checker.finish();
}

} // namespace

TEST_CASE("Verification against effects")
{
    std::vector<RequestRecord> records { chargeRecord("e1.a.1", Outcome::Answered),
        chargeRecord("e1.a.2", Outcome::NotRun), chargeRecord("e1.a.3", Outcome::Unknown) };
    std::vector<EffectRecord> effects { { "e1.a.1", "s1", 1 }, { "e1.a.3", "s2", 1 } };

    SECTION("a run that kept all guarantees has no violation; a request with an unknown outcome may have been executed")
    {
        const auto reports = verify(records, effects);
        REQUIRE(reports.size() == 1);
        CHECK(reports[0].sent == 3);
        CHECK(reports[0].answered == 1);
        CHECK(reports[0].notRun == 1);
        CHECK(reports[0].unknown == 1);
        CHECK_FALSE(reports[0].hasViolation());
    }

    SECTION("an identity that was executed twice on one server is detected")
    {
        effects[0].count = 2;
        CHECK(verify(records, effects)[0].duplicateExecutions == 1);
        CHECK(verify(records, effects)[0].hasViolation());
    }

    SECTION("an identity that was executed once on each of two servers is detected, even if its outcome is unknown")
    {
        effects.push_back({ "e1.a.3", "s1", 1 });
        CHECK(verify(records, effects)[0].duplicateExecutions == 1);
        CHECK(verify(records, effects)[0].hasViolation());
    }

    SECTION("an execution of a request whose final outcome is not run is detected")
    {
        effects.push_back({ "e1.a.2", "s1", 1 });
        CHECK(verify(records, effects)[0].effectsAfterNotRun == 1);
        CHECK(verify(records, effects)[0].hasViolation());
    }

    SECTION("responses to another request and corrupted responses are detected")
    {
        records[0].check = ResponseCheck::OtherRequest;
        CHECK(verify(records, effects)[0].hasViolation());
        records[0].check = ResponseCheck::Corrupted;
        CHECK(verify(records, effects)[0].corrupted == 1);
        CHECK(verify(records, effects)[0].hasViolation());
    }

    SECTION("idempotent requests may be executed more than once")
    {
        records[0].nonIdempotent = false;
        effects[0].count = 2;
        CHECK_FALSE(verify(records, effects)[0].hasViolation());
    }

    SECTION("the HTML report contains line plots and a bar chart")
    {
        const std::string html = htmlReport(records, verify(records, effects));
        CHECK(html.find("<polyline") != std::string::npos);
        CHECK(html.find("class=\"bar\"") != std::string::npos);
    }
}

TEST_CASE("Response check")
{
    const ExpectedResponse expected { "/load/charge/7", "e1.a.7", 3, "abc", 1000 };
    std::string body = R"({"identity":"e1.a.7","server":"s1","path":"/load/charge/7","bytes":3,"hash":"abc"})"
                       "\n";
    std::string filler(1000, '\0');
    backend::fillBytes("e1.a.7", 0, filler);
    const std::string whole = body + filler;

    for (const std::size_t pieceBytes : { 1UL, 7UL, 64UL, 4096UL })
        CHECK(checkInPieces(expected, whole, pieceBytes) == ResponseCheck::Complete);
    CHECK(checkInPieces(expected, whole.substr(0, whole.size() - 1), 64) == ResponseCheck::Corrupted);
    CHECK(checkInPieces(expected, body.substr(0, 20), 64) == ResponseCheck::Corrupted);
    CHECK(checkInPieces(expected, "", 64) == ResponseCheck::Corrupted);
    std::string damaged = whole;
    damaged[damaged.size() - 500] ^= 1;
    CHECK(checkInPieces(expected, damaged, 64) == ResponseCheck::Corrupted);
    ExpectedResponse other = expected;
    other.identity = "e1.a.8";
    CHECK(checkInPieces(other, whole, 64) == ResponseCheck::OtherRequest);
    other = expected;
    other.path = "/load/charge/8";
    CHECK(checkInPieces(other, whole, 64) == ResponseCheck::OtherRequest);
}

TEST_CASE("Records and scenarios")
{
    SECTION("an invalid effect line is an error, because a run with missing effects would seem free of violations")
    {
        const auto effects = parseEffects("{\"identity\":\"a\",\"server\":\"s\",\"count\":2}\n");
        REQUIRE(isOk(effects));
        CHECK(valueOf(effects).at(0).count == 2);
        CHECK_FALSE(isOk(parseEffects("{\"identity\":\"a\",\"server\":\"s\"}\n")));
    }

    SECTION("a scenario file defines the request kinds, and an unknown key in it is an error")
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
