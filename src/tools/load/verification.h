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
    std::uint64_t runTwice = 0; ///< Non-idempotent identities that started more than once.
    std::uint64_t wrong = 0; ///< Answers that belong to another request.
    std::uint64_t cut = 0; ///< Cut answers that were passed as whole.
    std::uint64_t effectsAfterNotRun = 0; ///< Non-idempotent identities with the final word "not run" that ran.
    Duration p50 {}; ///< Of the answered requests.
    Duration p99 {};

    bool hasViolation() const { return this->runTwice + this->wrong + this->cut + this->effectsAfterNotRun > 0; }
};

/// Compares what callers were told with what backend servers ran; one report for each service, sorted by name.
std::vector<ServiceReport> verify(std::span<const Record> records, std::span<const EffectRecord> effects);

/// Value at \a fraction of the sorted \a values by the nearest rank; zero when there are none.
Duration quantile(std::span<const Duration> values, double fraction);

/// Table of the reports for a terminal.
std::string reportTable(std::span<const ServiceReport> reports);

} // namespace clementinefall::load
