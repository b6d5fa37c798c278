#include "requests/requeststeps.h"

#include <catch2/catch.hpp>

#include <array>
#include <vector>

using namespace clementinefall;
using namespace clementinefall::requests;

namespace {

const Hash128 body { 1, 2 };
const TimePoint start = TimePoint {} + std::chrono::hours(1);

StoredResult answered(const std::string& text)
{
    StoredResult result;
    result.code = ResultCode::Answered;
    result.httpStatus = 200;
    result.body = text;
    return result;
}

ResultCode replyCode(const HomeStep& step)
{
    REQUIRE(std::holds_alternative<ReplyNow>(step));
    return std::get<ReplyNow>(step).code;
}

} // namespace

TEST_CASE("Steps at the home of an identity")
{
    ExecutionTable table;
    const std::uint64_t sequence = table.issue(2, start)->first;

    SECTION("the first copy runs; a concurrent copy waits and gets the same response")
    {
        REQUIRE(std::holds_alternative<RunRequest>(homeBegin(table, sequence, body, std::nullopt, start)));
        std::vector<StoredResultPtr> received;
        const auto waiter = [&received](const StoredResultPtr& result) { received.push_back(result); };
        REQUIRE(std::holds_alternative<AwaitResult>(homeBegin(table, sequence, body, std::nullopt, start, waiter)));
        const FinishResult finished = homeFinish(table, sequence, answered("ok"), start);
        for (const Waiter& each : finished.waiters)
            each(finished.result);
        REQUIRE(received.size() == 1);
        CHECK(received.front()->body == "ok");
        CHECK(replyCode(homeBegin(table, sequence, body, std::nullopt, start)) == ResultCode::AnsweredFromRecord);
    }

    SECTION("a rejected first copy is final: a later copy does not run when there is capacity again")
    {
        const auto rejected = homeBegin(table, sequence, body, ResultCode::NotRunNoCapacity, start);
        CHECK(replyCode(rejected) == ResultCode::NotRunNoCapacity);
        CHECK(replyCode(homeBegin(table, sequence, body, std::nullopt, start)) == ResultCode::NotRunNoCapacity);
    }

    SECTION("a rejection does not replace the response to an earlier copy")
    {
        homeBegin(table, sequence, body, std::nullopt, start);
        homeFinish(table, sequence, answered("ok"), start);
        CHECK(replyCode(homeBegin(table, sequence, body, ResultCode::NotRunNoCapacity, start))
            == ResultCode::AnsweredFromRecord);
    }

    SECTION("an unissued sequence is not reported as not run, because it may be issued and run later")
    {
        CHECK(replyCode(homeBegin(table, sequence + 2, body, std::nullopt, start)) == ResultCode::UnknownNotDecided);
    }

    SECTION("a request with a known identity but another body does not run")
    {
        homeBegin(table, sequence, body, std::nullopt, start);
        CHECK(replyCode(homeBegin(table, sequence, { 9, 9 }, std::nullopt, start)) == ResultCode::IdentityBodyMismatch);
    }
}

TEST_CASE("Codes that an entry instance reports")
{
    SECTION("a forwarder does not report not run unless the home does")
    {
        for (const auto end : { ForwardEnd::HomeUnknown, ForwardEnd::HomeReplaced, ForwardEnd::ConnectRefused,
                 ForwardEnd::NothingWritten, ForwardEnd::LostAfterWrite, ForwardEnd::TimedOut,
                 ForwardEnd::ResponseTruncated, ForwardEnd::ResponseInvalid, ForwardEnd::CallerDisconnected })
            CHECK(outcomeOf(codeOfForward(end, ResultCode::NotRunNoCapacity)) == Outcome::Unknown);
        CHECK(codeOfForward(ForwardEnd::HomeResponded, ResultCode::NotRunNoCapacity) == ResultCode::NotRunNoCapacity);
        CHECK(codeOfRejection(RequestRole::Forwarder, ResultCode::NotRunNoBundle) == ResultCode::UnknownNotDecided);
        CHECK(codeOfRejection(RequestRole::Executor, ResultCode::NotRunNoBundle) == ResultCode::NotRunNoBundle);
    }

    SECTION("one attempt that may have run makes the outcome of the request unknown, whatever follows")
    {
        const std::array ends { AttemptEnd::TimedOut, AttemptEnd::ConnectRefused };
        CHECK(codeOfAttempts(ends, ResultCode::NotRunNoServer) == ResultCode::UnknownTimeout);
        CHECK(codeOfAttempts({}, ResultCode::NotRunNoServer) == ResultCode::NotRunNoServer);
    }

    SECTION("a request whose identity belongs to another incarnation is not executed here")
    {
        const Identity identity { "e1", 7, 1 };
        CHECK(routeIdentity(identity, "e1", 7, false) == IdentityRoute::Home);
        CHECK(routeIdentity(identity, "e1", 8, true) == IdentityRoute::HomeReplaced);
        CHECK(routeIdentity(identity, "e2", 7, false) == IdentityRoute::Forward);
        CHECK(routeIdentity(identity, "e2", 7, true) == IdentityRoute::WrongHome);
    }

    SECTION("a truncated response or one to another request is not passed on as answered")
    {
        CHECK(classifyResponse({ "a.1", "a.1", true, true, true }) == AttemptEnd::Answered);
        CHECK(classifyResponse({ "a.1", "a.2", false, true, true }) == AttemptEnd::ResponseInvalid);
        CHECK(classifyResponse({ "a.1", "", true, true, true }) == AttemptEnd::ResponseInvalid);
        CHECK(classifyResponse({ "a.1", "a.1", true, true, false }) == AttemptEnd::ResponseTruncated);
        CHECK(classifyResponse({ "a.1", "a.1", false, true, true, true }) == AttemptEnd::ShedByServer);
        CHECK(classifyResponse({ "a.1", "a.2", false, true, true, true }) == AttemptEnd::ResponseInvalid);
    }
}
