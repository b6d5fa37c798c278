// Measures the time and the network load of bundle dissemination on a simulated network with 1% loss and 55 ms one way
// between regions. Membership datagrams are encoded and counted; the sizes of RPC calls are inputs of the model.

#include "peers/simulateddissemination.h"

#include <fmt/format.h>

#include <algorithm>

using namespace clementinefall;
using namespace clementinefall::peers;

namespace {

constexpr double loss = 0.01;
/// Guaranteed time until all instances have adopted a new bundle.
constexpr milliseconds timeToAllLimit { 5000 };
constexpr milliseconds observationTime { 20'000 };
/// Inputs of the model: bytes to open and authenticate a connection, of an announcement, and of a delta response.
constexpr double connectionBytes = 1500;
constexpr double announceBytes = 300;
constexpr double deltaBytes = 2000;
/// Design scale: 1,800 configuration changes a day.
constexpr double secondsPerChange = 86'400.0 / 1800.0;

struct RunMetrics {
    double toHalf = 0; ///< Seconds until half of the instances have adopted the bundle.
    double toAll = 0; ///< Seconds until all have.
    double announcesPerInstance = 0;
    double fetchesPerInstance = 0;
    double maximumServed = 0; ///< Bundles served by the busiest instance.
    double membershipBytes = 0; ///< Sent per instance and second.
    double membershipMessages = 0; ///< Sent per instance and second.
};

/// Simulates one run. With \a atWatchers the bundle starts at all watchers, as with the platform, otherwise at one
/// instance.
RunMetrics measure(std::size_t count, std::uint64_t seed, bool atWatchers)
{
    SimulatedDissemination dissemination(count, seed, loss);
    dissemination.fleet.encode = true;
    for (auto& node : dissemination.fleet.nodes)
        node.messagesSent = node.bytesSent = 0;
    const TimePoint start = dissemination.fleet.now;
    if (!atWatchers)
        dissemination.publish(randomBelow(dissemination.fleet.random, count), 1);
    for (std::size_t node = 0; atWatchers && node < count; ++node) {
        if (isWatcher(dissemination.fleet.nodes[node].table))
            dissemination.publish(node, 1);
    }
    RunMetrics metrics;
    const auto all = dissemination.timeToAll(1, observationTime);
    dissemination.runFor(observationTime - all.value_or(observationTime));
    std::vector<double> times;
    for (std::size_t node = 0; node < count; ++node) {
        const SimulatedDissemination::Node& entry = dissemination.nodes[node];
        const double time = std::chrono::duration<double>(entry.adoptedAt - start).count();
        times.push_back(entry.state.version == 1 ? time : std::chrono::duration<double>(observationTime).count());
        metrics.announcesPerInstance += static_cast<double>(entry.announcesSent) / static_cast<double>(count);
        metrics.fetchesPerInstance += static_cast<double>(entry.fetchesSent) / static_cast<double>(count);
        metrics.maximumServed = std::max(metrics.maximumServed, static_cast<double>(entry.bundlesServed));
        const double instanceSeconds
            = static_cast<double>(count) * std::chrono::duration<double>(observationTime).count();
        metrics.membershipBytes += static_cast<double>(dissemination.fleet.nodes[node].bytesSent) / instanceSeconds;
        metrics.membershipMessages
            += static_cast<double>(dissemination.fleet.nodes[node].messagesSent) / instanceSeconds;
    }
    std::sort(times.begin(), times.end());
    metrics.toHalf = times[times.size() / 2];
    metrics.toAll = times.back();
    return metrics;
}

void print(std::size_t count, std::string_view start, const RunMetrics& metrics)
{
    const double bytesPerChange = metrics.announcesPerInstance * (connectionBytes + announceBytes)
        + metrics.fetchesPerInstance * (connectionBytes + deltaBytes);
    fmt::print("bundle-spread size={} start={} to_half_s={:.2f} to_all_s={:.2f} announces_per_instance={:.2f} "
               "fetches_per_instance={:.2f} most_served={} membership_bytes_per_instance_s={:.0f} "
               "membership_messages_per_instance_s={:.2f} modelled_rpc_bytes_per_instance_s={:.0f}\n",
        count, start, metrics.toHalf, metrics.toAll, metrics.announcesPerInstance, metrics.fetchesPerInstance,
        metrics.maximumServed, metrics.membershipBytes, metrics.membershipMessages, bytesPerChange / secondsPerChange);
    std::fflush(stdout);
}

} // namespace

int main()
{
    double maximumToAll = 0;
    for (const std::size_t count : { 12UL, 50UL, 200UL, 750UL }) {
        const std::size_t runs = count > 200 ? 2 : 5;
        for (std::size_t run = 0; run < runs; ++run) {
            for (const bool atWatchers : { true, false }) {
                const RunMetrics metrics = measure(count, 1000 * count + run, atWatchers);
                print(count, atWatchers ? "watchers" : "one", metrics);
                maximumToAll = std::max(maximumToAll, metrics.toAll);
            }
        }
    }
    const bool passed = maximumToAll <= std::chrono::duration<double>(timeToAllLimit).count();
    fmt::print("RESULT bundle-spread {} {:.2f}\n", passed ? "pass" : "fail", maximumToAll);
    return passed ? 0 : 1;
}
