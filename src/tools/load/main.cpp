#include "load/htmlreport.h"
#include "load/loadrun.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <thread>

DEFINE_string(scenario, "granite-ridge", "preset granite-ridge or inat, or an INI file");
DEFINE_string(entries, "", "comma-separated addresses of entry instances for the first lookup");
DEFINE_double(duration, 10.0, "length of the run in seconds, 0.1 to 3600");
DEFINE_double(rate, 100.0, "request arrivals per second, 0.1 to 100000");
DEFINE_uint64(seed, 1, "random seed of the arrivals");
DEFINE_string(backend_control, "", "control address of the backend simulator; empty: effects are not compared");
DEFINE_string(output, "", "folder for records.csv; empty: not written");
DEFINE_string(report, "", "HTML file for the report; empty: not written");

using namespace clementinefall;
using namespace clementinefall::load;

namespace {

/// Wait before the effects are read, so that executions that a server started late are counted.
constexpr milliseconds effectSettleTime { 1000 };

int fail(const Error& error)
{
    fmt::print(stderr, "clementinefall-load: {}\n", error.text());
    return 2;
}

Result<Scenario> readScenarioFlag()
{
    Result<Scenario> preset = presetScenario(FLAGS_scenario);
    if (isOk(preset) || !std::filesystem::exists(FLAGS_scenario))
        return preset;
    const Result<SettingsReader> reader = SettingsReader::fromFile(FLAGS_scenario);
    if (!isOk(reader))
        return errorOf(reader);
    return readScenario(valueOf(reader));
}

Result<LoadSettings> readFlags()
{
    LoadSettings settings;
    const Result<Scenario> scenario = readScenarioFlag();
    if (!isOk(scenario))
        return errorOf(scenario);
    settings.scenario = valueOf(scenario);
    std::vector<std::string> entries;
    boost::split(entries, FLAGS_entries, boost::is_any_of(","));
    for (const std::string& entry : entries) {
        const Result<HostPort> address = parseHostPort(entry);
        if (!isOk(address))
            return makeError(errorOf(address).code, "--entries: {}", errorOf(address).message);
        settings.entries.push_back(valueOf(address));
    }
    if (FLAGS_duration < 0.1 || FLAGS_duration > 3600)
        return makeError(ResultCode::SettingsOutOfRange, "--duration: {} is not in 0.1..3600", FLAGS_duration);
    if (FLAGS_rate < 0.1 || FLAGS_rate > 100'000)
        return makeError(ResultCode::SettingsOutOfRange, "--rate: {} is not in 0.1..100000", FLAGS_rate);
    settings.arrivalsPerSecond = FLAGS_rate;
    settings.duration = milliseconds(static_cast<std::int64_t>(FLAGS_duration * 1000));
    settings.seed = FLAGS_seed;
    return settings;
}

Status writeFile(const std::filesystem::path& path, const std::string& text)
{
    std::error_code ignored;
    if (path.has_parent_path())
        std::filesystem::create_directories(path.parent_path(), ignored);
    std::ofstream file(path);
    file << text;
    file.flush();
    if (!file)
        return makeError(ResultCode::SettingsUnreadable, "{}: cannot be written", path.string());
    return okStatus();
}

Status writeOutputs(const std::vector<RequestRecord>& records, const std::vector<ServiceReport>& reports)
{
    Status written = okStatus();
    if (!FLAGS_output.empty()) {
        std::ostringstream csv;
        writeCsv(csv, records);
        written = writeFile(std::filesystem::path(FLAGS_output) / "records.csv", csv.str());
    }
    if (isOk(written) && !FLAGS_report.empty())
        written = writeFile(FLAGS_report, htmlReport(records, reports));
    return written;
}

int run()
{
    const Result<LoadSettings> settings = readFlags();
    if (!isOk(settings))
        return fail(errorOf(settings));
    std::optional<HostPort> control;
    if (!FLAGS_backend_control.empty()) {
        const Result<HostPort> address = parseHostPort(FLAGS_backend_control);
        if (!isOk(address))
            return fail(errorOf(address));
        control = valueOf(address);
    }
    const LoadResult result = runLoad(valueOf(settings));
    std::vector<EffectRecord> effects;
    if (control) {
        std::this_thread::sleep_for(effectSettleTime);
        const Result<std::vector<EffectRecord>> fetched = fetchEffects(*control);
        if (!isOk(fetched))
            return fail(errorOf(fetched));
        effects = valueOf(fetched);
    }
    const std::vector<ServiceReport> reports = verify(result.records, effects);
    fmt::print("{}", reportTable(reports));
    if (result.dropped > 0)
        fmt::print("{} arrivals were dropped at the limit of requests in flight\n", result.dropped);
    if (!control)
        fmt::print("effects were not compared: --backend-control is not set\n");
    const Status written = writeOutputs(result.records, reports);
    if (!isOk(written))
        return fail(errorOf(written));
    for (const ServiceReport& report : reports) {
        if (report.hasViolation())
            return 1;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "open-loop load generator; exit status 1: a delivery guarantee was violated, 2: the run failed");
    gflags::SetVersionString(CLEMENTINEFALL_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run();
}
