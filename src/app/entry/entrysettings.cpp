#include "entrysettings.h"

namespace clementinefall::entry {

namespace {

constexpr milliseconds maximumStopTime { 3'600'000 };

SettingsReport readSettings(Result<SettingsReader> opened)
{
    SettingsReport report;
    if (!isOk(opened)) {
        report.errors.push_back(errorOf(opened));
        return report;
    }
    SettingsReader& reader = valueOf(opened);
    EntrySettings& settings = report.settings;
    settings.name = reader.requiredText("instance", "name");
    settings.zone = reader.requiredText("instance", "zone");
    settings.traffic = reader.address("listen", "traffic");
    settings.peer = reader.address("listen", "peer");
    settings.admin = reader.address("listen", "admin");
    settings.platform = reader.address("platform", "address");
    settings.clusterKey = reader.requiredText("cluster", "key");
    settings.trustedRoots = reader.list("trust", "root_keys");
    settings.bootstrapTokenDigest = reader.text("trust", "bootstrap_token_digest", "");
    settings.trafficThreads = static_cast<unsigned>(reader.integer("traffic", "threads", 2, 1, 64));
    settings.maximumConnections
        = static_cast<unsigned>(reader.integer("traffic", "maximum_connections", 8192, 1, 1'000'000));
    settings.maximumConnectionsPerPeer
        = static_cast<unsigned>(reader.integer("traffic", "maximum_connections_per_peer", 4096, 1, 1'000'000));
    settings.traceTarget = reader.text("trace", "target", "");
    settings.logLevel = reader.text("log", "level", "info");
    settings.stopGrace = reader.duration("stop", "grace_ms", settings.stopGrace, milliseconds(0), maximumStopTime);
    settings.stopTimeout
        = reader.duration("stop", "timeout_ms", settings.stopTimeout, milliseconds(0), maximumStopTime);
    report.errors = reader.finish();
    return report;
}

} // namespace

SettingsReport readEntrySettings(const std::string& path) { return readSettings(SettingsReader::fromFile(path)); }

SettingsReport parseEntrySettings(const std::string& name, const std::string& text)
{
    return readSettings(SettingsReader::fromText(name, text));
}

} // namespace clementinefall::entry
