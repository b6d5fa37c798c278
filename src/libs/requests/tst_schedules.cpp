#include "requests/simulatedsystem.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::requests;
using namespace clementinefall::requests::simulation;

TEST_CASE("No schedule of failures violates a guarantee of the request path")
{
    std::uint64_t answered = 0;
    std::uint64_t operations = 0;
    std::uint64_t unknownWithoutFailures = 0;
    std::uint64_t operationsWithoutFailures = 0;
    for (std::uint64_t seed = 1; seed <= 280; ++seed) {
        const auto kind = static_cast<FailureKind>(seed % failureKindCount);
        const ScheduleReport report = runSchedule({ seed, kind, false });
        INFO("seed " << seed << ", " << failureKindName(kind));
        for (const Violation& violation : report.violations)
            UNSCOPED_INFO(violationName(violation.kind) << " " << violation.identity << " " << violation.text);
        REQUIRE(report.violations.empty());
        if (kind == FailureKind::None) {
            unknownWithoutFailures += report.unknown;
            operationsWithoutFailures += report.operations;
        }
        answered += report.answered;
        operations += report.operations;
    }
    CHECK(answered * 10 > operations * 7);
    // Without failures, an outcome is unknown only when a server takes longer than the deadline.
    CHECK(unknownWithoutFailures * 50 <= operationsWithoutFailures);
}

TEST_CASE("The schedules make a retrying proxy duplicate effects, report false not-runs and return wrong responses")
{
    // Fails if the schedules provoke no violations or the checker does not detect them.
    std::map<ViolationKind, unsigned> seen;
    for (std::uint64_t seed = 1; seed <= 140; ++seed) {
        const auto kind = static_cast<FailureKind>(seed % failureKindCount);
        for (const Violation& violation : runSchedule({ seed, kind, true }).violations)
            ++seen[violation.kind];
    }
    CHECK(seen[ViolationKind::DuplicateExecution] > 0);
    CHECK(seen[ViolationKind::FalseNotRun] > 0);
    CHECK(seen[ViolationKind::MismatchedResponse] + seen[ViolationKind::FabricatedResponse] > 0);
}

TEST_CASE("A schedule is reproducible from its seed")
{
    const ScheduleOptions options { 77, FailureKind::Combined, false };
    CHECK(runSchedule(options) == runSchedule(options));
}
