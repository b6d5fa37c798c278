#pragma once

#include "steering/locality.h"

#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace clementinefall::steering::bench {

enum class Policy : std::uint8_t { Steering, RoundRobin, LeastReportedLoad };

const char* policyName(Policy policy);

/// Simulated deployments of three regions with two zones each. GraniteRidge has 12 instances and servers of 4 to 6
/// slots, Inat has 9 instances and servers of 3 slots.
enum class Deployment : std::uint8_t { GraniteRidge, Inat };

const char* deploymentName(Deployment deployment);

/// Bundle of \a deployment. Each service may shift \a capPerSecond requests per second, \a capTotal in all, from the
/// first region to each other one.
bundle::Bundle deploymentBundle(Deployment deployment, std::uint64_t capPerSecond, std::uint64_t capTotal);

/// Backend server with a queue for requests beyond its slots.
struct SimulatedServer {
    std::uint32_t busy = 0;
    std::deque<std::uint64_t> queue; ///< Positions of the queued requests.
    double coldPenalty = 0; ///< Added to the factor 1 on the service time; halves every 30 requests.
    double reportedLoad = 0; ///< Load in the last report; up to 1.5 s old.
    TimePoint drainSignalledAt = TimePoint::max();
    TimePoint lastRequestAt {}; ///< Time at which the last request was sent to it.
};

/// Results of one run.
struct RunMetrics {
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    double maximumWindowShare = 0; ///< Highest count of a cap in one second, as a fraction of the cap.
    double maximumTotalShare = 0; ///< Highest count of a cap, as a fraction of its total.
    double maximumServerLoad = 0; ///< Highest number of requests on a server, as a fraction of its slots.
    double maximumRegionLoad = 0; ///< Highest number of requests of a service in a region, as a fraction of its slots.
    std::vector<double> latenciesMs;
};

struct Scenario {
    Deployment deployment = Deployment::GraniteRidge;
    Policy policy = Policy::Steering;
    double load = 0.5; ///< Offered load of each zone, as a fraction of its slots.
    double hotLoad = 0.5; ///< The same for the zones of the first region.
    std::uint64_t capPerSecond = 0;
    std::uint64_t capTotal = 1'000'000;
    seconds duration { 15 };
    bool hasRestarts = false; ///< Restarts some instances and pauses others.
    bool drainsServer = false; ///< Server 0 reports at 5 s that it is draining; the platform lists it so at 11 s.
    bool hasColdServer = false; ///< Server 0 joins cold at 5 s.
    std::uint64_t seed = 1;
};

struct RunResult {
    RunMetrics metrics;
    Duration workAfterDrain {}; ///< Time from the drained server's report to the last request that it received.
};

/// Runs \a scenario in a seeded event loop; the same scenario gives the same result.
RunResult runScenario(const Scenario& scenario);

/// Value at \a fraction, 0 to 1, of the sorted \a values; 0 when there are none.
double percentile(std::vector<double> values, double fraction);

} // namespace clementinefall::steering::bench
