// Measures how the costs of an entry instance grow with the fleet and its configuration, sums them up at the design
// scale and compares the sums with the resource budgets, and each figure with the one stated in docs/CAPACITY.md.
// Exit status 0 if all sums and figures are within their limits, 1 otherwise.

#include "measurements.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

DEFINE_string(page, "docs/CAPACITY.md", "File with the stated figures that the measured ones are compared with");
DEFINE_bool(lookups, false, "Measure only lookup decisions and compare their processor time with its budget");

using namespace clementinefall;
using namespace clementinefall::capacity;

namespace {

// Design scale and resource budgets of one entry instance.
constexpr std::size_t designMembers = 750;
constexpr std::array<std::size_t, 4> memberSizes { 12, 50, 200, designMembers };
constexpr std::size_t designBlocks = 140'000;
constexpr double lookupsPerSecond = 610'000.0 / 750.0; ///< For each instance: 610,000 a second over 750 instances.
constexpr double secondsPerChange = 86'400.0 / 1800.0; ///< 1,800 configuration changes a day.
constexpr double coreShareBudget = 0.041;
constexpr double memoryBytesBudget = 32e6;
constexpr double controlBytesPerSecondBudget = 4000;
constexpr double disseminationSecondsBudget = 5;
constexpr double maximumPlatformValueBytes = 1e6; ///< Size limit of a value in the platform's store.

/// Assumption, as the requirements state no number: 10 backend servers for each of 6 services in each of 38 zones.
constexpr std::size_t designServers = 2280;

/// Assumed cost of an announcement or fetch, which opens and authenticates a connection; as in bench_dissemination.
constexpr double bytesPerCall = 1500 + 300;

/// Value of a figure. A missing figure exceeds every budget.
double figureAt(const std::vector<Figure>& figures, std::string_view name, std::size_t size)
{
    const auto found = std::find_if(figures.begin(), figures.end(),
        [&](const Figure& figure) { return figure.name == name && figure.size == size; });
    return found == figures.end() ? 1e300 : found->value;
}

/// Share of one core that lookup decisions take at the design scale.
double lookupCoreShare(const std::vector<Figure>& figures)
{
    const double nanoseconds
        = figureAt(figures, "lookup_rank_ns", designMembers) + figureAt(figures, "blocks_find_ns", designBlocks);
    return nanoseconds * lookupsPerSecond / 1e9;
}

/// Usage of a resource at the design scale and its budget, in the same unit.
struct ResourceUsage {
    std::string_view name;
    double value = 0;
    double budget = 0;
};

std::vector<ResourceUsage> usageAtDesignScale(const std::vector<Figure>& figures)
{
    const auto member = [&](std::string_view name) { return figureAt(figures, name, designMembers); };
    const auto bundle = [&](std::string_view name) { return figureAt(figures, name, designServers); };
    const double adoptionMicroseconds
        = bundle("bundle_parse_us") + bundle("bundle_adopt_us") + bundle("snapshot_build_us");
    const double coreShare = (member("membership_step_per_s_us") + adoptionMicroseconds / secondsPerChange) / 1e6
        + lookupCoreShare(figures);
    // Two bundles and snapshots: the previous ones are freed only when the last reader releases them.
    const double memoryBytes = 2 * (bundle("bundle_heap_bytes") + bundle("snapshot_heap_bytes"))
        + member("member_table_bytes") + figureAt(figures, "blocks_heap_bytes", designBlocks);
    // An instance serves one fetch per change on average.
    const double bytesPerSecond = member("membership_bytes_per_s")
        + (member("spread_calls_per_change") * bytesPerCall + bundle("bundle_delta_bytes")) / secondsPerChange;
    return { { "core_part", coreShare, coreShareBudget }, { "memory_bytes", memoryBytes, memoryBytesBudget },
        { "control_bytes_per_s", bytesPerSecond, controlBytesPerSecondBudget },
        { "bundle_in_force_s", member("spread_to_all_s"), disseminationSecondsBudget },
        { "bundle_value_bytes", bundle("bundle_text_bytes"), maximumPlatformValueBytes } };
}

void append(std::vector<Figure>& all, std::vector<Figure> figures)
{
    for (Figure& figure : figures) {
        fmt::print("{} {} {:.6g}\n", figure.name, figure.size, figure.value);
        all.push_back(std::move(figure));
    }
    std::fflush(stdout);
}

void measureLookups(std::vector<Figure>& all)
{
    for (const std::size_t members : memberSizes)
        append(all, measureLookup(members));
    for (const std::size_t blocks : { 17'500UL, 35'000UL, 70'000UL, designBlocks })
        append(all, measureClientBlocks(blocks));
}

std::vector<Figure> measureAll()
{
    std::vector<Figure> all;
    measureLookups(all);
    for (const std::size_t members : memberSizes)
        append(all, measureMemberTable(members));
    for (const std::size_t servers : { 285UL, 570UL, 1140UL, designServers })
        append(all, measureBundle(servers));
    // Bundle versions after 1, 10 and 30 days at 1,800 changes a day.
    for (const std::size_t objects : { 1800UL, 18'000UL, 54'000UL })
        append(all, measurePlatformList(objects));
    for (const std::size_t members : memberSizes)
        append(all, measureControl(members));
    return all;
}

int runLookups()
{
    std::vector<Figure> figures;
    measureLookups(figures);
    const double share = lookupCoreShare(figures);
    const bool isPass = share <= coreShareBudget;
    fmt::print("RESULT lookups {} core_part={:.4f}\n", isPass ? "pass" : "fail", share);
    return isPass ? 0 : 1;
}

std::vector<std::string> comparePage(const std::vector<Figure>& measured)
{
    std::ifstream file(FLAGS_page);
    const std::string page { std::istreambuf_iterator<char>(file), {} };
    const auto stated = parseFigures(page);
    if (!isOk(stated))
        return { errorOf(stated).text() };
    return compareFigures(measured, valueOf(stated));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("bench_capacity [--page docs/CAPACITY.md]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_lookups)
        return runLookups();
    const std::vector<Figure> figures = measureAll();
    double maximumShare = 0;
    for (const ResourceUsage& usage : usageAtDesignScale(figures)) {
        const double share = usage.value / usage.budget;
        maximumShare = std::max(maximumShare, share);
        fmt::print("budget {} value={:.6g} budget={:.6g} part={:.3f}\n", usage.name, usage.value, usage.budget, share);
    }
    const std::vector<std::string> differences = comparePage(figures);
    for (const std::string& difference : differences)
        fmt::print("page {}\n", difference);
    const bool isPass = maximumShare <= 1 && differences.empty();
    fmt::print("RESULT capacity {} worst_budget_part={:.3f},page_differences={}\n", isPass ? "pass" : "fail",
        maximumShare, differences.size());
    return isPass ? 0 : 1;
}
