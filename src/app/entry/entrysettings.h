#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "base/settings.h"

#include <string>
#include <vector>

namespace clementinefall::entry {

/// Settings of one entry instance, read from an INI file.
struct EntrySettings {
    std::string name;
    std::string zone;
    HostPort traffic;
    HostPort peer;
    HostPort admin;
    HostPort platform;
    std::string clusterKey; ///< 32 bytes in hex, shared by all entry instances; authenticates their messages.
    std::vector<std::string> trustedRoots; ///< Hex public keys, see bundle::adoptBundle().
    std::string bootstrapTokenDigest; ///< See admin::AdminSettings.
    unsigned trafficThreads = 2;
    unsigned maximumConnections = 8192;
    unsigned maximumConnectionsPerPeer = 4096;
    std::string traceTarget;
    std::string logLevel;
    milliseconds stopGrace { 3000 }; ///< Lookups no longer offer this instance, but it still takes new requests.
    milliseconds stopTimeout { 30'000 }; ///< After that the process ends even with requests in flight.
};

struct SettingsReport {
    EntrySettings settings;
    std::vector<Error> errors;
};

/// Reads and checks the file; `errors` is empty when the settings can be used.
SettingsReport readEntrySettings(const std::string& path);
SettingsReport parseEntrySettings(const std::string& name, const std::string& text);

} // namespace clementinefall::entry
