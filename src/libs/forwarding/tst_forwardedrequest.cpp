#include "forwarding/forwardedrequest.h"
#include "forwarding/testwire.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

http::RequestHeader headerOf()
{
    http::RequestHeader header;
    header.method(http::Verb::get);
    header.target("/stock/7?full=1");
    header.version(11);
    header.set(http::Field::host, "shop.example");
    header.set("X-Id", "id-1");
    header.set("X-Left", "3000");
    header.set(http::Field::cookie, "a=b; object=17; c=d");
    return header;
}

Result<ForwardedRequest> decode(const http::RequestHeader& header)
{
    return decodeRequest(header, testNames(), TimePoint { seconds(1) });
}

} // namespace

TEST_CASE("Decoding a request")
{
    http::RequestHeader header = headerOf();

    SECTION("the parts that decide its way are read")
    {
        const auto request = decode(header);
        REQUIRE(isOk(request));
        CHECK(valueOf(request).id == "id-1");
        CHECK(valueOf(request).target == "/stock/7?full=1");
        CHECK(valueOf(request).affinityKey == "17");
        CHECK(valueOf(request).timeLeft == Duration(milliseconds(3000)));
    }

    SECTION("fields of one connection, also those that Connection names, are not passed on")
    {
        header.set(http::Field::connection, "keep-alive, X-Hop");
        header.set("X-Hop", "1");
        header.set("Keep-Alive", "timeout=5");
        header.set(http::Field::transfer_encoding, "chunked");
        header.set("X-Kept", "1");
        const auto request = decode(header);
        REQUIRE(isOk(request));
        const std::string head = encodeRequestHead(valueOf(request), testNames(), "server-1", milliseconds(1500));
        CHECK(head.find("X-Hop") == std::string::npos);
        CHECK(head.find("Keep-Alive") == std::string::npos);
        CHECK(head.find("Transfer-Encoding") == std::string::npos);
        CHECK(head.find("X-Kept: 1\r\n") != std::string::npos);
        CHECK(head.find("X-Id: id-1\r\n") != std::string::npos);
    }

    SECTION("a caller cannot choose the server or the time that is handed on")
    {
        header.set("X-Server", "server-of-the-caller");
        const auto request = decode(header);
        const std::string head = encodeRequestHead(valueOf(request), testNames(), "server-1", milliseconds(1500));
        CHECK(head.find("X-Server: server-1\r\n") != std::string::npos);
        CHECK(head.find("server-of-the-caller") == std::string::npos);
        CHECK(head.find("X-Left: 1500\r\n") != std::string::npos);
        CHECK(head.find("3000") == std::string::npos);
    }

    SECTION("mistakes are told and not passed on")
    {
        SECTION("no id") { header.erase("X-Id"); }
        SECTION("two ids") { header.insert("X-Id", "id-2"); }
        SECTION("no host") { header.erase(http::Field::host); }
        SECTION("two hosts") { header.insert(http::Field::host, "other.example"); }
        SECTION("a target that is no path") { header.target("http://shop.example/"); }
        SECTION("a time that is no number") { header.set("X-Left", "soon"); }
        SECTION("a negative time") { header.set("X-Left", "-5"); }
        const auto request = decode(header);
        REQUIRE_FALSE(isOk(request));
        CHECK(errorOf(request).code == ResultCode::BadRequest);
    }
}

TEST_CASE("Answers of the instance's own")
{
    const auto statusFor = [](ResultCode code) {
        return answerForError(makeError(code, "x"), "id-1", testNames(), milliseconds(250)).status;
    };

    SECTION("503 promises that nothing ran, so only codes that say so get it")
    {
        for (const ResultCodeInfo& info : resultCodeTable()) {
            INFO(info.name);
            const unsigned status = statusFor(info.code);
            if (status == 503)
                CHECK(info.outcome == Outcome::NotRun);
            // Mistakes of the caller are found before anything is sent.
            const bool isCallerError = number(info.code) / 1000 == 4;
            if (info.outcome == Outcome::Unknown && !isCallerError)
                CHECK((status == 502 || status == 504));
        }
    }

    SECTION("a refusal says when to come back, in seconds")
    {
        const CallerAnswer answer
            = answerForError(makeError(ResultCode::NotRunNoCapacity, "x"), "id-1", testNames(), milliseconds(250));
        const std::string head = encodeAnswerHead(answer, answer.body.size());
        CHECK(head.find("Retry-After: 0.250\r\n") != std::string::npos);
        CHECK(head.find("X-Seal") == std::string::npos);
    }

    SECTION("an answer without a known length is chunked")
    {
        CallerAnswer answer;
        answer.status = 200;
        CHECK(encodeAnswerHead(answer, std::nullopt).find("Transfer-Encoding: chunked\r\n") != std::string::npos);
        answer.status = 204;
        CHECK(encodeAnswerHead(answer, 0).find("Content-Length") == std::string::npos);
    }
}
