#pragma once

#include "load/caller.h"

#include <boost/asio/io_context.hpp>

namespace clementinefall::load {

struct LoadSettings {
    Scenario scenario;
    std::vector<HostPort> entries; ///< Seeds for the first lookup.
    double rate = 100.0; ///< Arrivals a second.
    milliseconds duration { 10'000 };
    std::uint64_t seed = 1;
    std::size_t maximumInFlight = 20'000; ///< Arrivals above it are dropped and counted.
};

struct LoadResult {
    std::vector<Record> records;
    std::uint64_t dropped = 0;
};

/// Sends arrivals of a Poisson process, whatever the answers do, and waits for the last answer.
LoadResult runLoad(const LoadSettings& settings);

/// Reads the effects of the backend simulator at \a control. Errors: as of http::ClientConnection, BadParameter.
Result<std::vector<EffectRecord>> fetchEffects(const HostPort& control);

} // namespace clementinefall::load
