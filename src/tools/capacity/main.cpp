// Measures how the costs of an entry instance grow, adds them up at the design scale and compares the sums with the
// budgets of docs/design.md, section 1.3, and each point with the one that docs/CAPACITY.md states.
// Exit status 0 when all hold, 1 when one does not.

#include "measurements.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

DEFINE_string(page, "docs/CAPACITY.md", "Page whose figures are compared with the measured ones");
DEFINE_bool(lookups, false, "Measure only the decisions of lookups and compare them with the processor budget");

using namespace clementinefall;
using namespace clementinefall::capacity;

namespace {

// Requirements of docs/design.md, section 1.3.
constexpr std::size_t designMembers = 750;
constexpr std::array<std::size_t, 4> memberSizes { 12, 50, 200, designMembers };
constexpr std::size_t designBlocks = 140'000;
constexpr double lookupsPerSecond = 610'000.0 / 750.0; ///< For each instance.
constexpr double secondsPerChange = 86'400.0 / 1800.0;
constexpr double budgetCorePart = 0.041;
constexpr double budgetMemoryBytes = 32e6;
constexpr double budgetBytesPerSecond = 4000;
constexpr double budgetSpreadSeconds = 5;
constexpr double platformValueBytes = 1e6; ///< Section 1.5: longest value of the platform.

/// Section 1.3 states no number of backend servers: 10 for each of 6 services in each of 38 zones.
constexpr std::size_t designServers = 2280;

/// Input of the model, as in bench_dissemination: an announcement or fetch opens and authenticates a connection.
constexpr double callBytes = 1500 + 300;

double at(const std::vector<Figure>& figures, std::string_view name, std::size_t size)
{
    const auto found = std::find_if(figures.begin(), figures.end(),
        [&](const Figure& figure) { return figure.name == name && figure.size == size; });
    return found == figures.end() ? 1e300 : found->value;
}

/// Processor time of the decisions of lookups at the design scale, in cores.
double lookupCorePart(const std::vector<Figure>& figures)
{
    const double lookup = at(figures, "lookup_rank_ns", designMembers) + at(figures, "blocks_find_ns", designBlocks);
    return lookup * lookupsPerSecond / 1e9;
}

struct Use {
    std::string_view name;
    double value = 0;
    double budget = 0;
};

std::vector<Use> usesAtDesignScale(const std::vector<Figure>& figures)
{
    const auto member = [&](std::string_view name) { return at(figures, name, designMembers); };
    const auto bundle = [&](std::string_view name) { return at(figures, name, designServers); };
    const double adoption = bundle("bundle_parse_us") + bundle("bundle_adopt_us") + bundle("snapshot_build_us");
    const double corePart
        = (member("membership_step_per_s_us") + adoption / secondsPerChange) / 1e6 + lookupCorePart(figures);
    // Two bundles and snapshots: the old ones live until the last reader has let go of them.
    const double memory = 2 * (bundle("bundle_heap_bytes") + bundle("snapshot_heap_bytes"))
        + member("member_table_bytes") + at(figures, "blocks_heap_bytes", designBlocks);
    // On average an instance serves one fetch a change. FleetLink answers with the full bundle; a delta is not built
    // yet.
    const double bytes = member("membership_bytes_per_s")
        + (member("spread_calls_per_change") * callBytes + bundle("bundle_text_bytes")) / secondsPerChange;
    return { { "core_part", corePart, budgetCorePart }, { "memory_bytes", memory, budgetMemoryBytes },
        { "control_bytes_per_s", bytes, budgetBytesPerSecond },
        { "bundle_in_force_s", member("spread_to_all_s"), budgetSpreadSeconds },
        { "bundle_value_bytes", bundle("bundle_text_bytes"), platformValueBytes } };
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
    // Bundle versions after one day, ten days and thirty days of 1,800 changes.
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
    const double part = lookupCorePart(figures);
    const bool isPass = part <= budgetCorePart;
    fmt::print("RESULT lookups {} core_part={:.4f}\n", isPass ? "pass" : "fail", part);
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
    double worst = 0;
    for (const Use& use : usesAtDesignScale(figures)) {
        const double part = use.value / use.budget;
        worst = std::max(worst, part);
        fmt::print("budget {} value={:.6g} budget={:.6g} part={:.3f}\n", use.name, use.value, use.budget, part);
    }
    const std::vector<std::string> differences = comparePage(figures);
    for (const std::string& difference : differences)
        fmt::print("page {}\n", difference);
    const bool isPass = worst <= 1 && differences.empty();
    fmt::print("RESULT capacity {} worst_budget_part={:.3f},page_differences={}\n", isPass ? "pass" : "fail", worst,
        differences.size());
    return isPass ? 0 : 1;
}
