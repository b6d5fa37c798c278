#include "requests/latencywindow.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>

namespace clementinefall::requests {

namespace {

constexpr std::uint64_t minimumMicroseconds = 64;
constexpr std::uint64_t bucketsPerDoubling = 8;
constexpr std::uint64_t minimumSamples = 20;

} // namespace

void LatencyWindow::add(Duration latency, TimePoint now)
{
    this->rotate(now);
    ++this->current[bucketOf(latency)];
}

std::optional<Duration> LatencyWindow::quantile(double q, TimePoint now)
{
    this->rotate(now);
    const std::uint64_t total = std::accumulate(this->current.begin(), this->current.end(), std::uint64_t { 0 })
        + std::accumulate(this->previous.begin(), this->previous.end(), std::uint64_t { 0 });
    if (total < minimumSamples)
        return std::nullopt;
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(total))));
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        cumulative += this->current[bucket] + this->previous[bucket];
        if (cumulative >= rank)
            return upperBound(bucket);
    }
    return upperBound(bucketCount - 1);
}

void LatencyWindow::rotate(TimePoint now)
{
    if (now - this->currentStart < halfWindow)
        return;
    this->previous = now - this->currentStart < 2 * halfWindow ? this->current : Counts {};
    this->current.fill(0);
    this->currentStart = now;
}

std::size_t LatencyWindow::bucketOf(Duration latency)
{
    const auto micros
        = static_cast<std::uint64_t>(std::max<std::int64_t>(std::chrono::ceil<microseconds>(latency).count(), 0));
    if (micros < minimumMicroseconds)
        return 0;
    const std::uint64_t doubling = static_cast<std::uint64_t>(std::bit_width(micros / minimumMicroseconds)) - 1;
    const std::uint64_t base = minimumMicroseconds << doubling;
    const std::uint64_t offset = (micros - base) * bucketsPerDoubling / base;
    return std::min<std::size_t>(1 + doubling * bucketsPerDoubling + offset, bucketCount - 1);
}

Duration LatencyWindow::upperBound(std::size_t bucket)
{
    if (bucket == 0)
        return microseconds(minimumMicroseconds);
    const std::uint64_t doubling = (bucket - 1) / bucketsPerDoubling;
    const std::uint64_t offset = (bucket - 1) % bucketsPerDoubling;
    const std::uint64_t base = minimumMicroseconds << doubling;
    return microseconds(base + base * (offset + 1) / bucketsPerDoubling);
}

} // namespace clementinefall::requests
