#include "forwarding/configuration.h"

#include <algorithm>

namespace clementinefall::forwarding {

std::string normalizedHost(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    for (char& c : result) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return result;
}

void markLowPriorityRoutes(Configuration& configuration)
{
    struct PriorityAndTarget {
        unsigned priority;
        Duration target;
    };
    std::map<std::string_view, std::vector<PriorityAndTarget>> routesByService;
    for (const Route& route : configuration.routes) {
        for (const WeightedService& weighted : route.services)
            routesByService[weighted.service].push_back({ route.priority, route.targetLatency });
    }
    for (Route& route : configuration.routes) {
        route.isLowPriority
            = std::any_of(route.services.begin(), route.services.end(), [&](const WeightedService& weighted) {
                  const auto& others = routesByService[weighted.service];
                  return std::any_of(others.begin(), others.end(), [&route](const PriorityAndTarget& other) {
                      return other.priority < route.priority && other.target < route.targetLatency;
                  });
              });
    }
}

bool supersedes(const Configuration& candidate, const Configuration* current)
{
    return current == nullptr || candidate.version > current->version;
}

const Route* findRoute(const Configuration& configuration, std::string_view host, std::string_view path)
{
    const std::string normalized = normalizedHost(host);
    const std::string_view pathWithoutQuery = path.substr(0, path.find('?'));
    const Route* best = nullptr;
    for (const Route& route : configuration.routes) {
        if (route.host != normalized || !pathWithoutQuery.starts_with(route.pathPrefix))
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const std::string& nextService(const Route& route, ServiceRotation& rotation)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    rotation.currentWeights.resize(route.services.size(), 0.0);
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < route.services.size(); ++i) {
        rotation.currentWeights[i] += route.services[i].weight;
        total += route.services[i].weight;
        if (rotation.currentWeights[i] > rotation.currentWeights[best])
            best = i;
    }
    rotation.currentWeights[best] -= total;
    return route.services[best].service;
}

} // namespace clementinefall::forwarding
