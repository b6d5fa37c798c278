#include "forwarding/servernotice.h"

#include "forwarding/testwirenames.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

ServerNotice noticeOf(unsigned status, const std::vector<std::pair<std::string, std::string>>& fields)
{
    boost::beast::http::fields header;
    for (const auto& [name, value] : fields)
        header.insert(name, value);
    return readServerNotice(header, status, testWireNames());
}

} // namespace

TEST_CASE("What a backend server asks for in a response")
{
    SECTION("a response without the fields asks for nothing") { CHECK(noticeOf(200, { { "X-Id", "r1" } }).isEmpty()); }

    SECTION("it leaves, in responses of any status")
    {
        CHECK(noticeOf(200, { { "X-Leaving", "1" } }).isLeaving);
        CHECK(noticeOf(503, { { "X-Leaving", "1" } }).isLeaving);
        CHECK(noticeOf(500, { { "X-Leaving", "0" }, { "X-Leaving", "1" } }).isLeaving);
    }

    SECTION("a value of another form does not take a server out of use, and is reported")
    {
        for (const std::string value : { "", "yes", "-1", "11", "1,1", "true" }) {
            const ServerNotice notice = noticeOf(200, { { "X-Leaving", value } });
            CHECK_FALSE(notice.isLeaving);
            CHECK_FALSE(notice.invalid.empty());
        }
        CHECK(noticeOf(200, { { "X-Leaving", "0" } }).isEmpty());
    }

    SECTION("a pause, in a rejection only")
    {
        CHECK(noticeOf(503, { { "Retry-After", "2" } }).pause == Duration(seconds(2)));
        CHECK(noticeOf(503, { { "Retry-After", "0.25" } }).pause == Duration(milliseconds(250)));
        CHECK_FALSE(noticeOf(200, { { "Retry-After", "2" } }).pause);
        CHECK_FALSE(noticeOf(429, { { "Retry-After", "2" } }).pause);
    }

    SECTION("no value stops a server for ever")
    {
        CHECK(noticeOf(503, { { "Retry-After", "1e300" } }).pause == Duration(maximumServerPause));
        CHECK(noticeOf(503, { { "Retry-After", "99999999999999999999" } }).pause == Duration(maximumServerPause));
        for (const std::string value :
            { "-1", "inf", "nan", "1e999", "", "soon", "2 s", "0x10", "Fri, 31 Dec 1999 23:59:59 GMT" }) {
            const ServerNotice notice = noticeOf(503, { { "Retry-After", value } });
            CHECK_FALSE(notice.pause);
            CHECK_FALSE(notice.invalid.empty());
        }
    }

    SECTION("of several pauses the longest holds")
    {
        const ServerNotice notice = noticeOf(
            503, { { "Retry-After", "1" }, { "Retry-After", "3" }, { "Retry-After", "-4" }, { "Retry-After", "2" } });
        CHECK(notice.pause == Duration(seconds(3)));
        CHECK_FALSE(notice.invalid.empty());
    }

    SECTION("long invalid values are cut in the log")
    {
        CHECK(noticeOf(200, { { "X-Leaving", std::string(5000, 'y') } }).invalid.size() < 100);
    }
}
