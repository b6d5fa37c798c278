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

/// The two deployments of section 1.2 of the design page.
enum class Deployment : std::uint8_t { GraniteRidge, Inat };

const char* deploymentName(Deployment deployment);

/// Bundle of \a deployment. Each service may shift \a capPerSecond requests from the first region to each other one.
bundle::Bundle deploymentBundle(Deployment deployment, std::uint64_t capPerSecond, std::uint64_t capTotal);

/// A backend server: slots, a queue behind them, and service times.
struct FakeServer {
    std::uint32_t busy = 0;
    std::deque<std::uint64_t> queue; ///< Requests beyond the slots.
    double coldness = 0; ///< Factor on the service time, above 1; halves every 30 requests.
    double reportedLoad = 0; ///< What the last report says; up to a second old.
    TimePoint isLeavingSince = TimePoint::max();
    TimePoint lastWork {}; ///< Last time at which new work was sent to it.
};

/// Figures of one run.
struct Figures {
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    double worstWindow = 0; ///< Largest count in a second of a cap, as a part of the cap.
    double worstTotal = 0; ///< Largest count of a cap as a part of its total.
    double worstServer = 0; ///< Largest number of requests on a server, as a part of its slots.
    double worstRegion = 0; ///< Largest number of requests of a service in a region, as a part of its slots.
    std::vector<double> latenciesMs;
};

struct Scenario {
    Deployment deployment = Deployment::GraniteRidge;
    Policy policy = Policy::Steering;
    double load = 0.5; ///< Offered load of each zone as a part of its slots.
    double hotLoad = 0.5; ///< The same for the zones of the first region.
    std::uint64_t capPerSecond = 0;
    std::uint64_t capTotal = 1'000'000;
    seconds length { 15 };
    bool hasRestarts = false; ///< Restarts some instances and pauses others.
    bool drainsServer = false; ///< Server 0 signals at 5 s that it is leaving; the platform's list says so at 11 s.
    bool hasColdServer = false; ///< Server 0 joins cold at 5 s.
    std::uint64_t seed = 1;
};

/// Time from the drained server's own signal to the last new work that it received.
struct RunResult {
    Figures figures;
    Duration workAfterDrain {};
};

/// Runs \a scenario in a seeded event loop; the same scenario gives the same result.
RunResult runScenario(const Scenario& scenario);

double percentile(std::vector<double> values, double part);

} // namespace clementinefall::steering::bench
