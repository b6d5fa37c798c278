#include "forwarding/forwardedrequest.h"
#include "forwarding/testwirenames.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

http::RequestHeader validHeader()
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
    return decodeRequest(header, testWireNames(), TimePoint { seconds(1) });
}

} // namespace

TEST_CASE("Decoding a request")
{
    http::RequestHeader header = validHeader();

    SECTION("extracts the id, the target, the affinity key and the deadline")
    {
        const auto request = decode(header);
        REQUIRE(isOk(request));
        CHECK(valueOf(request).id == "id-1");
        CHECK(valueOf(request).target == "/stock/7?full=1");
        CHECK(valueOf(request).affinityKey == "17");
        CHECK(valueOf(request).timeLeft == Duration(milliseconds(3000)));
    }

    SECTION("does not forward hop-by-hop fields, including those named in the Connection field")
    {
        header.set(http::Field::connection, "keep-alive, X-Hop");
        header.set("X-Hop", "1");
        header.set("Keep-Alive", "timeout=5");
        header.set(http::Field::transfer_encoding, "chunked");
        header.set("X-Kept", "1");
        const auto request = decode(header);
        REQUIRE(isOk(request));
        const std::string head = encodeRequestHead(valueOf(request), testWireNames(), "server-1", milliseconds(1500));
        CHECK(head.find("X-Hop") == std::string::npos);
        CHECK(head.find("Keep-Alive") == std::string::npos);
        CHECK(head.find("Transfer-Encoding") == std::string::npos);
        CHECK(head.find("X-Kept: 1\r\n") != std::string::npos);
        CHECK(head.find("X-Id: id-1\r\n") != std::string::npos);
    }

    SECTION("does not forward the server and the deadline that a caller sets")
    {
        header.set("X-Server", "server-of-the-caller");
        const auto request = decode(header);
        const std::string head = encodeRequestHead(valueOf(request), testWireNames(), "server-1", milliseconds(1500));
        CHECK(head.find("X-Server: server-1\r\n") != std::string::npos);
        CHECK(head.find("server-of-the-caller") == std::string::npos);
        CHECK(head.find("X-Left: 1500\r\n") != std::string::npos);
        CHECK(head.find("3000") == std::string::npos);
    }

    SECTION("rejects invalid headers")
    {
        SECTION("no request id") { header.erase("X-Id"); }
        SECTION("two request ids") { header.insert("X-Id", "id-2"); }
        SECTION("no host") { header.erase(http::Field::host); }
        SECTION("two hosts") { header.insert(http::Field::host, "other.example"); }
        SECTION("a target that is not a path") { header.target("http://shop.example/"); }
        SECTION("a deadline that is not a number") { header.set("X-Left", "soon"); }
        SECTION("a negative deadline") { header.set("X-Left", "-5"); }
        const auto request = decode(header);
        REQUIRE_FALSE(isOk(request));
        CHECK(errorOf(request).code == ResultCode::BadRequest);
    }
}

TEST_CASE("Responses created by the instance")
{
    const auto statusFor = [](ResultCode code) {
        return responseForError(makeError(code, "x"), "id-1", testWireNames(), milliseconds(250)).status;
    };

    SECTION("have status 503 only if the request did not run, and 502 or 504 if the outcome is unknown")
    {
        for (const ResultCodeInfo& info : resultCodeTable()) {
            INFO(info.name);
            const unsigned status = statusFor(info.code);
            if (status == 503)
                CHECK(info.outcome == Outcome::NotRun);
            // Mistakes of the caller are detected before anything is sent.
            const bool isCallerError = number(info.code) / 1000 == 4;
            if (info.outcome == Outcome::Unknown && !isCallerError)
                CHECK((status == 502 || status == 504));
        }
    }

    SECTION("have a Retry-After in seconds when the request is rejected")
    {
        const CallerResponse response = responseForError(
            makeError(ResultCode::NotRunNoCapacity, "x"), "id-1", testWireNames(), milliseconds(250));
        const std::string head = encodeResponseHead(response, response.body.size());
        CHECK(head.find("Retry-After: 0.250\r\n") != std::string::npos);
        CHECK(head.find("X-Seal") == std::string::npos);
    }

    SECTION("are chunked without a known length, and have no length with status 204")
    {
        CallerResponse response;
        response.status = 200;
        CHECK(encodeResponseHead(response, std::nullopt).find("Transfer-Encoding: chunked\r\n") != std::string::npos);
        response.status = 204;
        CHECK(encodeResponseHead(response, 0).find("Content-Length") == std::string::npos);
    }
}
