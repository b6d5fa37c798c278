#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::load {

/// Result of the check of a response body.
enum class ResponseCheck : std::uint8_t {
    NotChecked, ///< There was no complete response of a backend server.
    Complete,
    OtherRequest, ///< The response belongs to another request.
    Corrupted, ///< The response ended cleanly, but bytes are missing or differ.
};

/// One request of a caller and its final result.
struct RequestRecord {
    std::uint64_t number = 0;
    std::string service;
    std::string zone; ///< The caller's availability zone.
    bool nonIdempotent = false;
    std::string identity; ///< Empty for idempotent requests and where none could be fetched.
    Duration sentAt {}; ///< Since the start of the run.
    Duration latency {};
    Outcome outcome = Outcome::Unknown; ///< Final outcome reported to the caller.
    unsigned resultCode = 0; ///< 0 if no entry instance sent one.
    unsigned status = 0; ///< HTTP status that the last attempt received; 0 if none.
    unsigned attempts = 0;
    std::string entryZone; ///< Availability zone of the entry instance that the final outcome comes from.
    ResponseCheck check = ResponseCheck::NotChecked;
};

/// Executions of an identity on one backend server, as the backend simulator counted them.
struct EffectRecord {
    std::string identity;
    std::string server;
    std::uint64_t count = 0;
};

/// Parses the JSON lines of the simulator's `GET /effects`. Errors: BadParameter.
Result<std::vector<EffectRecord>> parseEffects(std::string_view lines);

/// Writes the records with a header line as comma-separated values.
void writeCsv(std::ostream& out, const std::vector<RequestRecord>& records);

/// Region of a zone: the name without its last component, for example `sur` for `sur-a`.
std::string regionOf(const std::string& zone);

inline double toMs(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

} // namespace clementinefall::load
