#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace clementinefall::requests {

/// Latency quantiles of one service over the last 10 s to 20 s, in constant memory. The histogram is log-linear with 8
/// buckets per doubling from 64 us to about 67 s, so a quantile is too high by at most an eighth.
class LatencyWindow {
public:
    void add(Duration latency, TimePoint now);

    /// Upper bound of the bucket that holds quantile \a q (0 to 1); empty with fewer than 20 samples.
    std::optional<Duration> quantile(double q, TimePoint now);

private:
    static constexpr std::size_t bucketCount = 168;
    static constexpr seconds halfWindow { 10 };

    using Counts = std::array<std::uint32_t, bucketCount>;

    void rotate(TimePoint now);
    static std::size_t bucketOf(Duration latency);
    static Duration upperBound(std::size_t bucket);

    Counts current {};
    Counts previous {};
    TimePoint currentStart;
};

} // namespace clementinefall::requests
