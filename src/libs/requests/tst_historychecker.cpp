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

TEST_CASE("The history checker sees each planted fault")
{
    using Kinds = std::vector<ViolationKind>;
    HistoryChecker checker;
    checker.noteInvocation("a", "charge a", false);
    checker.noteInvocation("b", "charge b", false);
    checker.noteEffect("a", "s1", "charge a", "receipt a");
    checker.noteAnswer("a", ResultCode::Answered, "receipt a");
    checker.noteAnswer("a", ResultCode::AnsweredBodyNotKept, "");
    checker.noteAnswer("a", ResultCode::UnknownTimeout, "");
    checker.noteAnswer("b", ResultCode::NotRunNoCapacity, "");
    REQUIRE(checker.check().empty());

    SECTION("a double run")
    {
        checker.noteEffect("a", "s2", "charge a", "receipt a");
        CHECK(kindsOf(checker) == Kinds { ViolationKind::DoubleRun });
    }

    SECTION("two effects of an idempotent request are none")
    {
        checker.noteInvocation("a", "charge a", true);
        checker.noteEffect("a", "s2", "charge a", "receipt a");
        CHECK(checker.check().empty());
    }

    SECTION("a foreign answer")
    {
        checker.noteAnswer("a", ResultCode::Answered, "receipt b");
        CHECK(kindsOf(checker) == Kinds { ViolationKind::ForeignAnswer });
    }

    SECTION("a cut answer")
    {
        checker.noteAnswer("a", ResultCode::AnsweredFromRecord, "receipt");
        CHECK(kindsOf(checker) == Kinds { ViolationKind::CutAnswer });
    }

    SECTION("an effect after not run was told")
    {
        checker.noteEffect("b", "s1", "charge b", "receipt b");
        CHECK(kindsOf(checker) == Kinds { ViolationKind::FalseNotRun });
    }

    SECTION("an effect of another request, and an answer without an effect")
    {
        checker.noteEffect("c", "s1", "charge c", "receipt c");
        checker.noteAnswer("b", ResultCode::Answered, "receipt b");
        CHECK(kindsOf(checker) == Kinds { ViolationKind::InventedAnswer, ViolationKind::UnaskedEffect });
    }
}
