#include "requests/historychecker.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::requests;

namespace {

std::vector<ViolationKind> kindsOf(const HistoryChecker& checker)
{
    std::vector<ViolationKind> kinds;
    for (const Violation& violation : checker.check())
        kinds.push_back(violation.kind);
    return kinds;
}

} // namespace

TEST_CASE("The history checker reports each kind of violation")
{
    using Kinds = std::vector<ViolationKind>;
    HistoryChecker checker;
    checker.recordInvocation("a", "charge a", false);
    checker.recordInvocation("b", "charge b", false);
    checker.recordEffect("a", "s1", "charge a", "receipt a");
    checker.recordResponse("a", ResultCode::Answered, "receipt a");
    checker.recordResponse("a", ResultCode::AnsweredBodyNotKept, "");
    checker.recordResponse("a", ResultCode::UnknownTimeout, "");
    checker.recordResponse("b", ResultCode::NotRunNoCapacity, "");
    REQUIRE(checker.check().empty());

    SECTION("a non-idempotent request that runs twice")
    {
        checker.recordEffect("a", "s2", "charge a", "receipt a");
        CHECK(kindsOf(checker) == Kinds { ViolationKind::DuplicateExecution });
    }

    SECTION("an idempotent request may run twice")
    {
        checker.recordInvocation("a", "charge a", true);
        checker.recordEffect("a", "s2", "charge a", "receipt a");
        CHECK(checker.check().empty());
    }

    SECTION("a response that belongs to another request")
    {
        checker.recordResponse("a", ResultCode::Answered, "receipt b");
        CHECK(kindsOf(checker) == Kinds { ViolationKind::MismatchedResponse });
    }

    SECTION("a truncated response")
    {
        checker.recordResponse("a", ResultCode::AnsweredFromRecord, "receipt");
        CHECK(kindsOf(checker) == Kinds { ViolationKind::TruncatedResponse });
    }

    SECTION("an effect of a request that was reported as not run")
    {
        checker.recordEffect("b", "s1", "charge b", "receipt b");
        CHECK(kindsOf(checker) == Kinds { ViolationKind::FalseNotRun });
    }

    SECTION("an effect without an invocation, and a response without an effect")
    {
        checker.recordEffect("c", "s1", "charge c", "receipt c");
        checker.recordResponse("b", ResultCode::Answered, "receipt b");
        CHECK(kindsOf(checker) == Kinds { ViolationKind::FabricatedResponse, ViolationKind::UnrequestedEffect });
    }
}
