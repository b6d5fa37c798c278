#include "requests/simulatedsystem.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <malloc.h>

#include <algorithm>
#include <array>
#include <map>

// Runs the request path under seeded schedules of failures and prints the violated guarantees, compared with a proxy
// that retries every request on a timeout.

DEFINE_uint64(schedules, 10000, "Number of schedules to run; they cycle through the failure kinds");
DEFINE_uint64(seed, 1, "Seed of the first schedule; schedule i uses seed + i");
DEFINE_uint64(show, 5, "Maximum number of violations to print in full");

using namespace clementinefall;
using namespace clementinefall::requests;
using namespace clementinefall::requests::simulation;

namespace {

struct Totals {
    std::uint64_t schedules = 0;
    std::uint64_t operations = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t firstAttempts = 0;
    std::uint64_t attempts = 0;
    std::uint64_t serverCrashes = 0;
    std::uint64_t crashingRequests = 0;
    std::uint64_t maximumCrashesPerRequest = 0;
    std::uint64_t quarantineRejections = 0;
    std::uint64_t violations = 0;
    std::uint64_t violatingSchedules = 0;
    std::map<ViolationKind, std::uint64_t> byKind;

    void add(const ScheduleReport& report)
    {
        ++this->schedules;
        this->operations += report.operations;
        this->answered += report.answered;
        this->notRun += report.notRun;
        this->unknown += report.unknown;
        this->firstAttempts += report.firstAttempts;
        this->attempts += report.attempts;
        this->serverCrashes += report.serverCrashes;
        this->crashingRequests += report.crashingRequests;
        this->maximumCrashesPerRequest = std::max(this->maximumCrashesPerRequest, report.maximumCrashesPerRequest);
        this->quarantineRejections += report.quarantineRejections;
        this->violations += report.violations.size();
        this->violatingSchedules += report.violations.empty() ? 0 : 1;
        for (const Violation& violation : report.violations)
            ++this->byKind[violation.kind];
    }
};

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

using TotalsByKind = std::array<Totals, failureKindCount>;

Totals sumOf(const TotalsByKind& byKind)
{
    Totals sum;
    for (const Totals& each : byKind) {
        sum.schedules += each.schedules;
        sum.operations += each.operations;
        sum.answered += each.answered;
        sum.unknown += each.unknown;
        sum.firstAttempts += each.firstAttempts;
        sum.attempts += each.attempts;
        sum.violations += each.violations;
        sum.violatingSchedules += each.violatingSchedules;
        for (const auto& [kind, count] : each.byKind)
            sum.byKind[kind] += count;
    }
    return sum;
}

void printKinds(const TotalsByKind& byKind)
{
    fmt::print("failure-kind schedules operations answered not-run unknown violations amplification\n");
    for (std::size_t i = 0; i < failureKindCount; ++i) {
        const Totals& totals = byKind[i];
        fmt::print("{:<20} {:>6} {:>8} {:>7.3f}% {:>7.3f}% {:>7.3f}% {:>5} {:>6.3f}\n",
            failureKindName(static_cast<FailureKind>(i)), totals.schedules, totals.operations,
            100.0 * ratio(totals.answered, totals.operations), 100.0 * ratio(totals.notRun, totals.operations),
            100.0 * ratio(totals.unknown, totals.operations), totals.violations,
            ratio(totals.attempts, totals.firstAttempts));
    }
}

void printSummary(std::string_view name, const TotalsByKind& byKind)
{
    const Totals sum = sumOf(byKind);
    const Totals& crashing = byKind[static_cast<std::size_t>(FailureKind::CrashingRequest)];
    fmt::print("{}: schedules={} violations={} in={} amplification={:.3f}", name, sum.schedules, sum.violations,
        sum.violatingSchedules, ratio(sum.attempts, sum.firstAttempts));
    fmt::print(" answered={:.3f}% unknown={:.3f}%", 100.0 * ratio(sum.answered, sum.operations),
        100.0 * ratio(sum.unknown, sum.operations));
    fmt::print(" servers-lost-per-crashing-request={:.2f} most={} held-back={}\n",
        ratio(crashing.serverCrashes, crashing.crashingRequests), crashing.maximumCrashesPerRequest,
        crashing.quarantineRejections);
    for (const auto& [kind, count] : sum.byKind)
        fmt::print("{}: {}={}\n", name, violationName(kind), count);
}

/// Prints the heap bytes in use per record of a full table, as counted by the allocator.
void printMemory()
{
    constexpr std::size_t responseBytes = 200;
    for (const bool hasResponses : { false, true }) {
        const ExecutionLimits limits;
        const TimePoint now = TimePoint {} + std::chrono::hours(1);
        const std::size_t before = mallinfo2().uordblks;
        ExecutionTable table(limits);
        table.issue(limits.records, now);
        for (std::uint64_t sequence = 1; sequence <= limits.records; ++sequence) {
            table.begin(sequence, { sequence, sequence }, now);
            StoredResult result;
            result.code = hasResponses ? ResultCode::Answered : ResultCode::UnknownTimeout;
            result.body = hasResponses ? std::string(responseBytes, 'x') : "";
            table.finish(sequence, std::move(result), now);
        }
        const std::size_t used = mallinfo2().uordblks - before;
        fmt::print("memory: records={} answer-bytes={} heap-per-identity={} estimate-per-identity={}\n",
            table.recordCount(), hasResponses ? responseBytes : 0, used / table.recordCount(),
            table.memoryBytes() / table.recordCount());
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("bench_at_most_once --schedules N --seed S");
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    TotalsByKind requestPathTotals;
    TotalsByKind baselineTotals;
    std::uint64_t printed = 0;
    for (std::uint64_t i = 0; i < FLAGS_schedules; ++i) {
        const std::size_t kind = i % failureKindCount;
        ScheduleOptions options { FLAGS_seed + i, static_cast<FailureKind>(kind), false };
        const ScheduleReport report = runSchedule(options);
        requestPathTotals[kind].add(report);
        for (const Violation& violation : report.violations) {
            if (printed++ < FLAGS_show)
                fmt::print("violation: seed={} kind={} {} {} {}\n", options.seed, failureKindName(options.kind),
                    violationName(violation.kind), violation.identity, violation.text);
        }
        options.isNaive = true;
        baselineTotals[kind].add(runSchedule(options));
    }

    printKinds(requestPathTotals);
    printMemory();
    printSummary("clementinefall", requestPathTotals);
    printSummary("naive-retrying-proxy", baselineTotals);
    // If the baseline violates no guarantee, the schedules are too weak to show that the request path violates none.
    const std::uint64_t violations = sumOf(requestPathTotals).violations;
    const bool isPass = violations == 0 && sumOf(baselineTotals).violations > 0;
    fmt::print("RESULT at-most-once {} {}\n", isPass ? "pass" : "fail", violations);
    return isPass ? 0 : 1;
}
