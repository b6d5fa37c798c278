#include "requests/simulatedsystem.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::requests;
using namespace clementinefall::requests::simulation;

TEST_CASE("No schedule of failures breaks a guarantee of the request path")
{
    std::uint64_t answered = 0;
    std::uint64_t operations = 0;
    std::uint64_t quietUnknown = 0;
    std::uint64_t quietOperations = 0;
    for (std::uint64_t seed = 1; seed <= 280; ++seed) {
        const auto kind = static_cast<FailureKind>(seed % failureKindCount);
        const ScheduleReport report = runSchedule({ seed, kind, false });
        INFO("seed " << seed << ", " << failureKindName(kind));
        for (const Violation& violation : report.violations)
            UNSCOPED_INFO(violationName(violation.kind) << " " << violation.identity << " " << violation.text);
        REQUIRE(report.violations.empty());
        if (kind == FailureKind::None) {
            quietUnknown += report.unknown;
            quietOperations += report.operations;
        }
        answered += report.answered;
        operations += report.operations;
    }
    CHECK(answered * 10 > operations * 7);
    // Without failures only servers that run for longer than the deadline leave an outcome unknown.
    CHECK(quietUnknown * 50 <= quietOperations);
}

TEST_CASE("A proxy that retries everything breaks each guarantee in the same schedules")
{
    // Guards against schedules or a checker that would see nothing.
    std::map<ViolationKind, unsigned> seen;
    for (std::uint64_t seed = 1; seed <= 140; ++seed) {
        const auto kind = static_cast<FailureKind>(seed % failureKindCount);
        for (const Violation& violation : runSchedule({ seed, kind, true }).violations)
            ++seen[violation.kind];
    }
    CHECK(seen[ViolationKind::DoubleRun] > 0);
    CHECK(seen[ViolationKind::FalseNotRun] > 0);
    CHECK(seen[ViolationKind::ForeignAnswer] + seen[ViolationKind::InventedAnswer] > 0);
}

TEST_CASE("A schedule is reproducible from its seed")
{
    const ScheduleOptions options { 77, FailureKind::Combined, false };
    CHECK(runSchedule(options) == runSchedule(options));
}
