#include "http/responsecheck.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <optional>

using namespace clementinefall;
using namespace clementinefall::http;

namespace {

/// The check of a header as the library parses it; nothing if the library refuses the bytes itself.
std::optional<ResponseCheck> checkBytes(const std::string& head)
{
    beast::http::response_parser<beast::http::empty_body> parser;
    beast::error_code error;
    parser.put(asio::buffer(head + "\r\n"), error);
    if (error || !parser.is_header_done())
        return std::nullopt;
    return checkResponseHeader(parser.get().base());
}

bool isInvalid(const std::string& head)
{
    const auto check = checkBytes(head);
    return !check || (check->kind == ResponseKind::Invalid && !check->fault.empty());
}

bool isFinal(const std::string& head)
{
    const auto check = checkBytes(head);
    return check && check->kind == ResponseKind::Final && check->fault.empty();
}

} // namespace

TEST_CASE("Bytes that only look like a response are none")
{
    // Guards against faulty servers whose bytes pass the library's parser and reach callers as a response.
    SECTION("of all statuses that the library accepts, only those of RFC 9110 section 15 are taken")
    {
        for (unsigned status = 0; status <= 999; ++status) {
            const std::string head = fmt::format("HTTP/1.1 {:03} Text\r\n", status);
            INFO(head);
            if (status >= 200 && status <= 599) {
                CHECK(isFinal(head));
            } else if (status / 100 == 1 && status != 101) {
                const auto check = checkBytes(head);
                REQUIRE(check);
                CHECK(check->kind == ResponseKind::Interim);
            } else {
                CHECK(isInvalid(head));
            }
        }
    }

    SECTION("statuses with another number of digits, signs and letters")
    {
        for (const char* status : { "", "2", "20", "2000", "+20", "-20", "2x0", " 200", "0x2" })
            CHECK(isInvalid(fmt::format("HTTP/1.1 {} Text\r\n", status)));
    }

    SECTION("versions other than 1.0 and 1.1")
    {
        CHECK(isFinal("HTTP/1.0 200 OK\r\n"));
        for (const char* version : { "0.9", "1.2", "2.0", "7.3" })
            CHECK(isInvalid(fmt::format("HTTP/{} 200 OK\r\n", version)));
    }

    SECTION("transfer codings that leave the length of the body open, RFC 9112 section 6.3")
    {
        CHECK(isFinal("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"));
        CHECK(isFinal("HTTP/1.1 200 OK\r\nTransfer-Encoding:  Chunked \r\n"));
        for (const char* coding : { "gzip", "identity", "gzip, chunked", "chunked, chunked", "" })
            CHECK(isInvalid(fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: {}\r\n", coding)));
        CHECK(isInvalid("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"));
        CHECK(isInvalid("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"));
        CHECK(isInvalid("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n"));
    }

    SECTION("bodies where none can be")
    {
        CHECK(isFinal("HTTP/1.1 204 No Content\r\n"));
        CHECK(isFinal("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n"));
        CHECK(isInvalid("HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n"));
        CHECK(isInvalid("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n"));
        CHECK(isInvalid("HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n"));
        // The length of the response that was not modified, RFC 9110 section 8.6.
        CHECK(isFinal("HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n"));
    }
}
