#pragma once

#include "load/verification.h"

#include <string>

namespace clementinefall::load {

/// Self-contained HTML page with the table and inline SVG plots: latency over time, percentiles, answers by outcome
/// over time, and requests by region.
std::string htmlReport(std::span<const Record> records, std::span<const ServiceReport> reports);

} // namespace clementinefall::load
