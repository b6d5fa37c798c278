#include "forwarding/backendserver.h"

#include <algorithm>
#include <chrono>

namespace clementinefall::forwarding {

namespace {

/// Reports older than this no longer say what the other instances have in flight. A full server answers each instance
/// only now and then; while its report is forgotten sooner, every instance fills the server's queue anew.
constexpr milliseconds reportLifetime { 2000 };

/// First pause after a failed connect; a restarting server is tried again soon.
constexpr milliseconds firstAvoidance { 250 };
constexpr milliseconds longestAvoidance { 2000 };

/// Weight of the newest sample in the moving averages: follows a change within about ten requests.
constexpr double newestWeight = 0.15;

} // namespace

void RecentObjects::note(std::uint64_t object, TimePoint now)
{
    if (this->objects.size() >= capacity && !this->objects.contains(object)) {
        const auto oldest = std::min_element(this->objects.begin(), this->objects.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        this->objects.erase(oldest);
    }
    this->objects[object] = now;
}

bool RecentObjects::contains(std::uint64_t object, TimePoint now) const
{
    const auto found = this->objects.find(object);
    return found != this->objects.end() && now - found->second < memory;
}

bool isUsable(const BackendServer& server)
{
    return !server.isGone && !server.isEvacuated && server.entry.state == ServerState::Ready;
}

double outstanding(const BackendServer& server, TimePoint now)
{
    unsigned others = 0;
    for (const auto& [name, count] : server.neighbourInFlight)
        others += count;
    const Duration age = now - server.report.at;
    if (age < reportLifetime) {
        const unsigned total = server.report.running + server.report.waiting;
        const unsigned reported = total > server.report.ownInFlight ? total - server.report.ownInFlight : 0;
        const double freshness
            = 1.0 - std::chrono::duration<double>(age) / std::chrono::duration<double>(reportLifetime);
        return server.inFlight + std::max<double>(others, reported * freshness);
    }
    return server.inFlight + others;
}

void recordConnect(BackendServer& server, bool succeeded, Duration took, TimePoint now)
{
    if (succeeded) {
        server.connectFailures = 0;
        server.avoidUntil = {};
        server.connectTime = server.connectTime == Duration {}
            ? took
            : std::chrono::duration_cast<Duration>(server.connectTime * (1 - newestWeight) + took * newestWeight);
        return;
    }
    const Duration pause = firstAvoidance * (1U << std::min(server.connectFailures, 3U));
    ++server.connectFailures;
    server.avoidUntil = now + std::min<Duration>(pause, longestAvoidance);
}

void recordAttempt(BackendServer& server, bool succeeded)
{
    server.failureRate = server.failureRate * (1 - newestWeight) + (succeeded ? 0.0 : newestWeight);
}

} // namespace clementinefall::forwarding
