#include "requests/trafficstate.h"

#include <algorithm>

namespace clementinefall::requests {

std::optional<steering::Index> TrafficState::takeServer(const steering::RoutingSnapshot& snapshot,
    steering::Index service, steering::Index zone, const std::vector<steering::Index>& tried)
{
    const std::scoped_lock lock(this->serverMutex);
    std::optional<steering::Index> best;
    double bestLoad = 1.0;
    for (const steering::Index index : snapshot.services[service].serversByZone[zone]) {
        const steering::ServerRoute& server = snapshot.servers[index];
        if (server.isLeaving || std::find(tried.begin(), tried.end(), index) != tried.end())
            continue;
        const double load = static_cast<double>(this->inFlight[server.name]) / server.slots;
        if (load < bestLoad) {
            best = index;
            bestLoad = load;
        }
    }
    if (best)
        ++this->inFlight[snapshot.servers[*best].name];
    return best;
}

void TrafficState::releaseServer(const std::string& name)
{
    const std::scoped_lock lock(this->serverMutex);
    --this->inFlight[name];
}

} // namespace clementinefall::requests
