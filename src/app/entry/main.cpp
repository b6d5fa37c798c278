#include "entryinstance.h"

#include "base/log.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "INI file with the settings of this entry instance");
DEFINE_bool(check_settings, false, "check the settings and exit");

using namespace clementinefall;

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Entry instance of clementinefall. Usage: clementinefall-entry --settings FILE");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const entry::SettingsReport report = entry::readEntrySettings(FLAGS_settings);
    for (const Error& error : report.errors)
        fmt::print(stderr, "{}\n", error.text());
    if (!report.errors.empty())
        return 2;
    if (FLAGS_check_settings) {
        fmt::print("{}: the settings are valid\n", FLAGS_settings);
        return 0;
    }
    setLogOutput(LogOutput::StandardOutput);
    setLogLevel(logLevelFromName(report.settings.logLevel));
    entry::EntryInstance instance(report.settings);
    const Status started = instance.start();
    if (!isOk(started)) {
        logError("start_failed", { { "error", errorOf(started).text() } });
        return 1;
    }
    instance.run();
    return 0;
}
