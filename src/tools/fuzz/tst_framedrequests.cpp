#include "framedrequests.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace clementinefall::fuzz;

namespace {

std::vector<FramedRequest> read(std::string_view bytes) { return readFramedRequests(bytes, "X-Id"); }

} // namespace

TEST_CASE("Requests by the framing of RFC 9112")
{
    const std::string next = "GET /next HTTP/1.1\r\nX-Id: n\r\n\r\n";
    const FramedRequest nextRequest { "GET", "/next", "n" };

    SECTION("are read one after the other")
    {
        const FramedRequest upload { "POST", "/a", "r1" };
        for (const std::string body :
            { "Content-Length: 2\r\n\r\nhi", "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
                "Transfer-Encoding: Chunked\r\n\r\n2;x=\"y\"\r\nhi\r\n0\r\nX-Trailer: t\r\n\r\n", "\r\n" }) {
            INFO(body);
            CHECK(read(fmt::format("POST /a HTTP/1.1\r\nx-id:  r1 \r\n{}{}", body, next))
                == std::vector { upload, nextRequest });
        }
        CHECK(read("\r\n" + next + next).size() == 2);
    }

    SECTION("end where the framing is not certain")
    {
        for (const std::string head : { "Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: +2\r\n",
                 "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip\r\n",
                 "Transfer-Encoding: chunked, identity\r\n",
                 "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: \"chunked\"\r\n",
                 "X-Fold: a\r\n b\r\n", "X-Bare: a\n", "X-Space : a\r\n", "X-Zero: a\0\r\n" }) {
            INFO(head);
            CHECK(read(fmt::format("POST /a HTTP/1.1\r\nX-Id: r1\r\n{}\r\n{}", head, next)).empty());
        }
        CHECK(read("POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next).empty());
        CHECK(read("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\nhi\r\n0\r\n\r\n" + next).empty());
        CHECK(read("GET  /a HTTP/1.1\r\n\r\n" + next).empty());
        CHECK(read("GET /a HTTP/2.0\r\n\r\n" + next).empty());
    }
}
