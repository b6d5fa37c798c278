#pragma once

#include "load/verification.h"

#include <string>

namespace clementinefall::load {

/// Self-contained HTML page with the table and inline SVG plots: latency over time, latency percentiles, requests by
/// outcome over time, and requests by region.
std::string htmlReport(std::span<const RequestRecord> records, std::span<const ServiceReport> reports);

} // namespace clementinefall::load
