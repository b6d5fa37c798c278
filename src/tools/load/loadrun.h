#pragma once

#include "load/caller.h"

#include <boost/asio/io_context.hpp>

namespace clementinefall::load {

struct LoadSettings {
    Scenario scenario;
    std::vector<HostPort> entries; ///< Addresses of entry instances for the first lookup.
    double arrivalsPerSecond = 100.0;
    milliseconds duration { 10'000 };
    std::uint64_t seed = 1;
    std::size_t maximumInFlight = 20'000; ///< Arrivals above this limit are dropped and counted.
};

struct LoadResult {
    std::vector<RequestRecord> records;
    std::uint64_t dropped = 0;
};

/// Sends requests as an open-loop Poisson process, independently of the responses, and waits until all have finished.
LoadResult runLoad(const LoadSettings& settings);

/// Reads the effects of the backend simulator at \a control. Errors: as of http::ClientConnection, BadParameter.
Result<std::vector<EffectRecord>> fetchEffects(const HostPort& control);

} // namespace clementinefall::load
