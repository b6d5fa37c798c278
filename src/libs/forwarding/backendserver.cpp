#include "forwarding/backendserver.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string_view>

namespace clementinefall::forwarding {

bool isValidServerId(std::string_view id)
{
    constexpr std::string_view allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~:@";
    return !id.empty() && id.size() <= maximumServerIdBytes && id.find_first_not_of(allowed) == std::string_view::npos;
}

namespace {

/// Age after which a load report no longer indicates what the other instances have in flight. A full server responds to
/// each instance only rarely; with a shorter lifetime, every instance would fill the server's queue again in between.
constexpr milliseconds reportLifetime { 2000 };

/// Backoff after the first failed connect; short, so that a restarted server is soon used again.
constexpr milliseconds initialBackoff { 250 };
constexpr milliseconds maximumBackoff { 2000 };

/// Weight of the newest sample in the moving averages; they follow a change within about ten requests.
constexpr double newestWeight = 0.15;

Duration backoffAfter(unsigned earlierFailures)
{
    return std::min<Duration>(initialBackoff * (1U << std::min(earlierFailures, 3U)), maximumBackoff);
}

unsigned reportedOtherLoad(const LoadReport& report)
{
    const unsigned total = report.running + report.waiting;
    return total > report.localInFlight ? total - report.localInFlight : 0;
}

} // namespace

void CachedObjects::record(std::uint64_t object, TimePoint now)
{
    if (this->objects.size() >= capacity && !this->objects.contains(object)) {
        const auto oldest = std::min_element(this->objects.begin(), this->objects.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        this->objects.erase(oldest);
    }
    this->objects[object] = now;
}

bool CachedObjects::contains(std::uint64_t object, TimePoint now) const
{
    const auto found = this->objects.find(object);
    return found != this->objects.end() && now - found->second < retention;
}

bool isUsable(const BackendServer& server)
{
    return !server.isRemoved && !server.isEvacuated && !server.isLeaving && server.entry.state == ServerState::Ready;
}

bool mayReceive(const BackendServer& server, TimePoint now)
{
    return isUsable(server) && now >= server.backoffUntil && now >= server.pausedUntil;
}

double outstandingRequests(const BackendServer& server, TimePoint now)
{
    unsigned others = 0;
    for (const auto& [name, count] : server.neighbourInFlight)
        others += count;
    const Duration age = now - server.report.at;
    double expected = server.assumedOtherLoad;
    if (age < reportLifetime) {
        const double weight = 1.0 - std::chrono::duration<double>(age) / std::chrono::duration<double>(reportLifetime);
        expected = weight * reportedOtherLoad(server.report) + (1.0 - weight) * server.assumedOtherLoad;
    }
    return server.inFlight + std::max<double>(others, expected);
}

void updateAssumedLoads(std::span<const std::shared_ptr<BackendServer>> servers, TimePoint now)
{
    struct RegionLoad {
        double requests = 0;
        double slots = 0;
    };
    std::map<std::string_view, RegionLoad> regions;
    for (const auto& server : servers) {
        if (!isUsable(*server) || now - server->report.at >= reportLifetime)
            continue;
        RegionLoad& region = regions[server->region];
        region.requests += reportedOtherLoad(server->report);
        region.slots += server->entry.slots;
    }
    for (const auto& server : servers) {
        const auto region = regions.find(server->region);
        const bool isKnown = region != regions.end() && region->second.slots > 0;
        server->assumedOtherLoad = isKnown ? region->second.requests / region->second.slots * server->entry.slots : 0.0;
    }
}

void recordConnect(BackendServer& server, bool succeeded, Duration duration, TimePoint now)
{
    if (succeeded) {
        server.connectFailures = 0;
        server.backoffUntil = {};
        server.connectTime = server.connectTime == Duration {}
            ? duration
            : std::chrono::duration_cast<Duration>(server.connectTime * (1 - newestWeight) + duration * newestWeight);
        return;
    }
    server.backoffUntil = now + backoffAfter(server.connectFailures++);
}

void assumeCold(BackendServer& server, TimePoint until, ColdAssumption& assumption)
{
    if (server.assumedColdUntil != assumption.assumed || assumption.assumed == TimePoint {})
        assumption.before = server.assumedColdUntil;
    server.assumedColdUntil = std::max(server.assumedColdUntil, until);
    assumption.assumed = server.assumedColdUntil;
}

void takeBack(BackendServer& server, const ColdAssumption& assumption)
{
    if (server.assumedColdUntil == assumption.assumed)
        server.assumedColdUntil = assumption.before;
}

void recordExcessiveResponse(BackendServer& server, TimePoint now)
{
    server.backoffUntil = std::max(server.backoffUntil, now + backoffAfter(server.excessiveResponses++));
}

void recordAttempt(BackendServer& server, bool succeeded)
{
    server.failureRate = server.failureRate * (1 - newestWeight) + (succeeded ? 0.0 : newestWeight);
    if (succeeded)
        server.excessiveResponses = 0;
}

} // namespace clementinefall::forwarding
