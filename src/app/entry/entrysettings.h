#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "base/settings.h"

#include <string>
#include <vector>

namespace clementinefall::entry {

/// Settings of an entry instance, read from an INI file.
struct EntrySettings {
    std::string name;
    std::string zone;
    HostPort traffic;
    HostPort peer;
    HostPort admin;
    HostPort platform;
    std::string clusterKey; ///< 32 bytes in hex; authenticates messages between entry instances, which all share it.
    std::vector<std::string> trustedRoots; ///< Public keys in hex, see bundle::adoptBundle().
    std::string bootstrapTokenDigest; ///< See admin::AdminSettings.
    unsigned trafficThreads = 2;
    unsigned maximumConnections = 8192;
    unsigned maximumConnectionsPerPeer = 4096;
    std::string traceTarget;
    std::string logLevel;
    /// Added to the time to live of lookups. A stopping instance forwards requests for the sum of both.
    milliseconds stopGrace { 2000 };
    /// Limit from the stop request on for waiting for requests in flight; the process ends even if some remain.
    milliseconds stopTimeout { 30'000 };
};

struct SettingsReport {
    EntrySettings settings;
    std::vector<Error> errors;
};

/// Reads and checks the file at \a path. `errors` lists every error found and is empty if the settings are valid.
SettingsReport readEntrySettings(const std::string& path);
/// The same for \a text. Error messages refer to it as \a name.
SettingsReport parseEntrySettings(const std::string& name, const std::string& text);

} // namespace clementinefall::entry
