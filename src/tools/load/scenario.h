#pragma once

#include "base/settings.h"

#include <string>
#include <vector>

namespace clementinefall::load {

/// One kind of request in a service mix.
struct RequestKind {
    std::string name;
    std::string service;
    bool nonIdempotent = false;
    double weight = 1.0; ///< Share of the arrivals, relative to the other kinds.
    std::uint64_t bodyBytes = 0; ///< Length of the request's body.
    std::uint64_t answerBytes = 0; ///< Length of the filler that is asked for.
    milliseconds deadline { 2000 };
    std::string query; ///< Further query parameters, for example `crash=1`.
};

/// Callers' zones and their mix of requests.
struct Scenario {
    std::vector<std::string> zones;
    std::vector<RequestKind> kinds;
};

/// Preset `granite-ridge` or `inat`. Errors: SettingsOutOfRange.
Result<Scenario> presetScenario(const std::string& name);

/// Reads an INI file: `[callers] zones=a,b requests=x,y` and one `[request <name>]` section for each kind with the keys
/// service, nonIdempotent, weight, bodyBytes, answerBytes, deadlineMs and query. Reports the first mistake.
Result<Scenario> readScenario(SettingsReader reader);

} // namespace clementinefall::load
