#include "forwarding/rejection.h"
#include "forwarding/testwirenames.h"

#include <boost/beast/http/status.hpp>
#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;
using requests::AttemptEnd;

namespace {

http::ResponseHeader headerWith(unsigned status)
{
    http::ResponseHeader header;
    header.result(status);
    return header;
}

AttemptEnd endFor(const http::ResponseHeader& header, bool isIdempotent)
{
    return endOfResponse(header, testWireNames(), isIdempotent);
}

} // namespace

TEST_CASE("What a response says of whether its request has run")
{
    // Guards against a status of a server that becomes a promise on its way to the caller.
    SECTION("each status of a final response is a promise to callers, or none")
    {
        for (unsigned status = 200; status < 600; ++status) {
            INFO(status);
            CHECK(promisesNotRun(status) == (status == 408 || status == 421 || status == 429 || status == 503));
        }
    }

    SECTION("without the server's statement, no promise is passed on for a request that must not run twice")
    {
        for (unsigned status = 200; status < 600; ++status) {
            INFO(status);
            const AttemptEnd end = endFor(headerWith(status), false);
            CHECK_FALSE((end == AttemptEnd::Answered && promisesNotRun(status)));
            if (!promisesNotRun(status))
                CHECK(end == AttemptEnd::Answered);
        }
        CHECK(endFor(headerWith(503), false) == AttemptEnd::RejectedUnproven);
        CHECK_FALSE(requests::isProvenNotRun(AttemptEnd::RejectedUnproven));
        CHECK(outcomeOf(requests::codeOfAttempt(AttemptEnd::RejectedUnproven)) == Outcome::Unknown);
    }

    SECTION("a request that may run twice gets the server's own response")
    {
        for (const unsigned status : { 200U, 408U, 429U, 500U, 503U, 504U })
            CHECK(endFor(headerWith(status), true) == AttemptEnd::Answered);
    }

    SECTION("the server's statement counts, whatever the status, and for all requests")
    {
        for (const bool isIdempotent : { false, true }) {
            for (const unsigned status : { 400U, 429U, 500U, 503U }) {
                http::ResponseHeader header = headerWith(status);
                header.set("X-Not-Run", "1");
                CHECK(endFor(header, isIdempotent) == AttemptEnd::ShedByServer);
                header.insert("X-Not-Run", "1");
                CHECK(endFor(header, isIdempotent) == AttemptEnd::ShedByServer);
            }
            CHECK(endFor(headerWith(421), isIdempotent) == AttemptEnd::ShedByServer);
        }
    }

    SECTION("an empty statement states nothing, also beside another one")
    {
        http::ResponseHeader header = headerWith(503);
        header.set("X-Not-Run", "");
        CHECK(endFor(header, false) == AttemptEnd::RejectedUnproven);
        header.insert("X-Not-Run", "1");
        CHECK(endFor(header, false) == AttemptEnd::RejectedUnproven);
        CHECK(endFor(header, true) == AttemptEnd::Answered);
    }
}
