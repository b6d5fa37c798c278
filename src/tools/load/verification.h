#pragma once

#include "load/records.h"

#include <span>

namespace clementinefall::load {

/// Results of one service.
struct ServiceReport {
    std::string service;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t duplicateExecutions = 0; ///< Non-idempotent identities that were executed more than once.
    std::uint64_t otherRequest = 0; ///< Responses that belong to another request.
    std::uint64_t corrupted = 0; ///< Truncated or altered responses that were delivered as complete.
    std::uint64_t effectsAfterNotRun = 0; ///< Non-idempotent requests reported as "not run" that were executed.
    Duration p50 {}; ///< Latency of the answered requests.
    Duration p99 {};

    /// True if a delivery guarantee was violated.
    bool hasViolation() const
    {
        return this->duplicateExecutions + this->otherRequest + this->corrupted + this->effectsAfterNotRun > 0;
    }
};

/// Compares the outcomes reported to callers with the executions counted by backend servers. Returns one report for
/// each service, sorted by name.
std::vector<ServiceReport> verify(std::span<const RequestRecord> records, std::span<const EffectRecord> effects);

/// Nearest-rank quantile at \a fraction (0 to 1) of the sorted \a values; zero if there are none.
Duration quantile(std::span<const Duration> values, double fraction);

/// Table of the reports for a terminal.
std::string reportTable(std::span<const ServiceReport> reports);

} // namespace clementinefall::load
