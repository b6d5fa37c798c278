#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::load {

/// What a response's body showed.
enum class AnswerCheck : std::uint8_t {
    None, ///< There was no whole answer of a backend server to check.
    Whole,
    Wrong, ///< It belongs to another request.
    Cut, ///< It ended cleanly, but bytes are missing or differ.
};

/// One invocation of a caller and its final result.
struct Record {
    std::uint64_t number = 0;
    std::string service;
    std::string zone; ///< The caller's availability zone.
    bool nonIdempotent = false;
    std::string identity; ///< Empty for idempotent requests and where none could be fetched.
    Duration sentAt {}; ///< Since the start of the run.
    Duration latency {};
    Outcome outcome = Outcome::Unknown; ///< The final word to the caller.
    unsigned resultCode = 0; ///< 0 when no entry instance gave one.
    unsigned status = 0;
    unsigned attempts = 0;
    std::string entryZone; ///< Availability zone of the entry instance that gave the final word.
    AnswerCheck check = AnswerCheck::None;
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
void writeCsv(std::ostream& out, const std::vector<Record>& records);

/// Region of a zone: its name without the last part, `sur` for `sur-a`.
std::string regionOf(const std::string& zone);

inline double toMs(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

} // namespace clementinefall::load
