#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::forwarding {

/// Whether the requests of a route may be repeated.
enum class RouteKind : std::uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each attempt of the caller.
    Upload, ///< Large request body; otherwise as NonIdempotent.
    Download, ///< Large response body; otherwise as Idempotent.
};

struct WeightedService {
    std::string service;
    double weight = 1.0;
};

struct Route {
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout {}; ///< Maximum time until the response.
    Duration targetLatency {}; ///< Later responses count as late.
    unsigned priority = 0; ///< 0 is the most urgent.
    unsigned maximumServers = 1; ///< Maximum number of backend servers tried for one attempt of a caller.
    bool hasAffinity = false;
    std::vector<WeightedService> services; ///< At least one.
    std::vector<std::string> allowedRegions; ///< Empty allows every region.
    bool isLowPriority = false; ///< Set by markLowPriorityRoutes().

    bool isIdempotent() const { return this->kind == RouteKind::Idempotent || this->kind == RouteKind::Download; }
};

struct Service {
    std::string name;
    std::string healthPath;
    unsigned maximumConnections = 0; ///< Accepted by one backend server from all entry instances in total.
    Duration coldTime {}; ///< Time for which a backend server is cold after its start.
    double coldRequestsPerSecond = 0; ///< Tolerated by a cold backend server.
};

/// Limits on callers' requests and connections.
struct CallerLimits {
    std::uint32_t maximumHeaderBytes = 16U * 1024U;
    std::uint64_t maximumBodyBytes = 64ULL * 1024 * 1024;
    Duration headerTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

/// One version of the configuration, complete and validated.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    CallerLimits limits;
};

/// Sets `isLowPriority` for the routes that share a service with a route of a more urgent priority and a shorter target
/// latency. In a shared queue, their requests would delay the urgent ones.
void markLowPriorityRoutes(Configuration& configuration);

/// Whether \a candidate takes the place of \a current, which may be null. A store that was restored from a copy shows
/// an older version until the newer one is written again.
bool supersedes(const Configuration& candidate, const Configuration* current);

/// The route with the longest prefix of \a path among those of \a host; nullptr when there is none. \a host may have a
/// port and upper-case letters; \a path may have a query.
const Route* findRoute(const Configuration& configuration, std::string_view host, std::string_view path);

/// Lower-case host without its port.
std::string normalizedHost(std::string_view host);

/// State of a smooth weighted round robin over the services of one route. Every window of requests has the shares of
/// the weights; a random choice reaches them only on average.
struct ServiceRotation {
    std::vector<double> currentWeights;
};

/// Name of the service for the next request. Services with weight 0 get none.
const std::string& nextService(const Route& route, ServiceRotation& rotation);

} // namespace clementinefall::forwarding
