#include "load/verification.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <unordered_map>

namespace clementinefall::load {

namespace {

void countOutcome(ServiceReport& report, const RequestRecord& record)
{
    ++report.sent;
    if (record.outcome == Outcome::Answered)
        ++report.answered;
    else if (record.outcome == Outcome::NotRun)
        ++report.notRun;
    else
        ++report.unknown;
    if (record.check == ResponseCheck::OtherRequest)
        ++report.otherRequest;
    if (record.check == ResponseCheck::Corrupted)
        ++report.corrupted;
}

} // namespace

std::vector<ServiceReport> verify(std::span<const RequestRecord> records, std::span<const EffectRecord> effects)
{
    std::unordered_map<std::string, std::uint64_t> executionCounts;
    for (const EffectRecord& effect : effects)
        executionCounts[effect.identity] += effect.count;

    std::map<std::string, ServiceReport> reports;
    std::map<std::string, std::vector<Duration>> latencies;
    std::set<std::string> countedDuplicates;
    for (const RequestRecord& record : records) {
        ServiceReport& report = reports[record.service];
        report.service = record.service;
        countOutcome(report, record);
        if (record.outcome == Outcome::Answered)
            latencies[record.service].push_back(record.latency);
        if (!record.nonIdempotent || record.identity.empty())
            continue;
        const auto found = executionCounts.find(record.identity);
        const std::uint64_t executions = found == executionCounts.end() ? 0 : found->second;
        if (executions > 1 && countedDuplicates.insert(record.identity).second)
            ++report.duplicateExecutions;
        if (executions > 0 && record.outcome == Outcome::NotRun)
            ++report.effectsAfterNotRun;
    }

    std::vector<ServiceReport> result;
    for (auto& [service, report] : reports) {
        std::vector<Duration>& values = latencies[service];
        std::sort(values.begin(), values.end());
        report.p50 = quantile(values, 0.50);
        report.p99 = quantile(values, 0.99);
        result.push_back(report);
    }
    return result;
}

Duration quantile(std::span<const Duration> values, double fraction)
{
    if (values.empty())
        return Duration::zero();
    const double rank = std::ceil(fraction * static_cast<double>(values.size()));
    const std::size_t index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return values[std::min(index, values.size() - 1)];
}

std::string reportTable(std::span<const ServiceReport> reports)
{
    std::string text = fmt::format("{:<14}{:>9}{:>10}{:>9}{:>9}{:>10}{:>7}{:>6}{:>16}{:>10}{:>10}\n", "service", "sent",
        "answered", "not run", "unknown", "run twice", "wrong", "cut", "after not run", "p50 ms", "p99 ms");
    for (const ServiceReport& report : reports) {
        text += fmt::format("{:<14}{:>9}{:>10}{:>9}{:>9}{:>10}{:>7}{:>6}{:>16}{:>10.1f}{:>10.1f}\n", report.service,
            report.sent, report.answered, report.notRun, report.unknown, report.duplicateExecutions,
            report.otherRequest, report.corrupted, report.effectsAfterNotRun, toMs(report.p50), toMs(report.p99));
    }
    return text;
}

} // namespace clementinefall::load
