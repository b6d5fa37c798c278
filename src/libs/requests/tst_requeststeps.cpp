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

    SECTION("the first copy runs; a concurrent copy waits and gets the same answer")
    {
        REQUIRE(std::holds_alternative<RunRequest>(homeBegin(table, sequence, body, std::nullopt, start)));
        std::vector<StoredResultPtr> told;
        const auto waiter = [&told](const StoredResultPtr& result) { told.push_back(result); };
        REQUIRE(std::holds_alternative<AwaitResult>(homeBegin(table, sequence, body, std::nullopt, start, waiter)));
        const FinishResult finished = homeFinish(table, sequence, answered("ok"), start);
        for (const Waiter& each : finished.waiters)
            each(finished.result);
        REQUIRE(told.size() == 1);
        CHECK(told.front()->body == "ok");
        CHECK(replyCode(homeBegin(table, sequence, body, std::nullopt, start)) == ResultCode::AnsweredFromRecord);
    }

    SECTION("a refused first copy is final: it is not run later, when capacity is back")
    {
        const auto refused = homeBegin(table, sequence, body, ResultCode::NotRunNoCapacity, start);
        CHECK(replyCode(refused) == ResultCode::NotRunNoCapacity);
        CHECK(replyCode(homeBegin(table, sequence, body, std::nullopt, start)) == ResultCode::NotRunNoCapacity);
    }

    SECTION("a refusal does not hide the answer of an earlier copy")
    {
        homeBegin(table, sequence, body, std::nullopt, start);
        homeFinish(table, sequence, answered("ok"), start);
        CHECK(replyCode(homeBegin(table, sequence, body, ResultCode::NotRunNoCapacity, start))
            == ResultCode::AnsweredFromRecord);
    }

    SECTION("an unissued sequence is not told as not run, because it may be issued later")
    {
        CHECK(replyCode(homeBegin(table, sequence + 2, body, std::nullopt, start)) == ResultCode::UnknownNotDecided);
    }

    SECTION("another body under the same identity runs nothing")
    {
        homeBegin(table, sequence, body, std::nullopt, start);
        CHECK(replyCode(homeBegin(table, sequence, { 9, 9 }, std::nullopt, start)) == ResultCode::IdentityBodyMismatch);
    }
}

TEST_CASE("Codes that an instance tells")
{
    SECTION("a forwarder never claims not run on its own")
    {
        for (const auto end : { ForwardEnd::HomeUnknown, ForwardEnd::HomeReplaced, ForwardEnd::ConnectRefused,
                 ForwardEnd::NothingWritten, ForwardEnd::LostAfterWrite, ForwardEnd::TimedOut,
                 ForwardEnd::ResponseTruncated, ForwardEnd::ResponseInvalid, ForwardEnd::CallerDisconnected })
            CHECK(outcomeOf(codeOfForward(end, ResultCode::NotRunNoCapacity)) == Outcome::Unknown);
        CHECK(codeOfForward(ForwardEnd::HomeResponded, ResultCode::NotRunNoCapacity) == ResultCode::NotRunNoCapacity);
        CHECK(codeOfRejection(RequestRole::Forwarder, ResultCode::NotRunNoBundle) == ResultCode::UnknownNotDecided);
        CHECK(codeOfRejection(RequestRole::Executor, ResultCode::NotRunNoBundle) == ResultCode::NotRunNoBundle);
    }

    SECTION("one attempt that may have run makes the whole request unknown, whatever follows")
    {
        const std::array ends { AttemptEnd::TimedOut, AttemptEnd::ConnectRefused };
        CHECK(codeOfAttempts(ends, ResultCode::NotRunNoServer) == ResultCode::UnknownTimeout);
        CHECK(codeOfAttempts({}, ResultCode::NotRunNoServer) == ResultCode::NotRunNoServer);
    }

    SECTION("an identity of another incarnation is never executed here")
    {
        const Identity identity { "e1", 7, 1 };
        CHECK(routeIdentity(identity, "e1", 7, false) == IdentityRoute::Home);
        CHECK(routeIdentity(identity, "e1", 8, true) == IdentityRoute::HomeReplaced);
        CHECK(routeIdentity(identity, "e2", 7, false) == IdentityRoute::Forward);
        CHECK(routeIdentity(identity, "e2", 7, true) == IdentityRoute::WrongHome);
    }

    SECTION("an answer that belongs to another request or is cut is not passed on as answered")
    {
        CHECK(classifyResponse({ "a.1", "a.1", true, true, true }) == AttemptEnd::Answered);
        CHECK(classifyResponse({ "a.1", "a.2", false, true, true }) == AttemptEnd::ResponseInvalid);
        CHECK(classifyResponse({ "a.1", "", true, true, true }) == AttemptEnd::ResponseInvalid);
        CHECK(classifyResponse({ "a.1", "a.1", true, true, false }) == AttemptEnd::ResponseTruncated);
        CHECK(classifyResponse({ "a.1", "a.1", false, true, true, true }) == AttemptEnd::ShedByServer);
        CHECK(classifyResponse({ "a.1", "a.2", false, true, true, true }) == AttemptEnd::ResponseInvalid);
    }
}
