#pragma once

#include "base/settings.h"

#include <string>
#include <vector>

namespace clementinefall::load {

/// One kind of request in a scenario.
struct RequestKind {
    std::string name;
    std::string service;
    bool nonIdempotent = false;
    double weight = 1.0; ///< Share of the arrivals, relative to the other kinds.
    std::uint64_t bodyBytes = 0; ///< Length of the request's body.
    std::uint64_t responseBytes = 0; ///< Length of the filler in the response body.
    milliseconds deadline { 2000 };
    std::string query; ///< Further query parameters, for example `crash=1`.
};

/// Availability zones of the callers and the kinds of requests that they send.
struct Scenario {
    std::vector<std::string> zones;
    std::vector<RequestKind> kinds;
};

/// Preset `granite-ridge` or `inat`. Errors: SettingsOutOfRange.
Result<Scenario> presetScenario(const std::string& name);

/// Reads an INI file: `[callers] zones=a,b requests=x,y` and one `[request <name>]` section for each kind with the keys
/// service, nonIdempotent, weight, bodyBytes, answerBytes, deadlineMs and query. Returns the first error of the file.
Result<Scenario> readScenario(SettingsReader reader);

} // namespace clementinefall::load
