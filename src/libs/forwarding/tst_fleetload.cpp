#include "base/random.h"
#include "forwarding/placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <list>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

/// Simulation of a region with many entry instances, each of which knows the load of a server only from the server's
/// responses to its own requests. Time advances in steps of one millisecond.
class RegionSimulation {
public:
    static constexpr std::size_t instanceCount = 24;
    static constexpr std::size_t serverCount = 24;
    static constexpr unsigned slots = 6;
    static constexpr std::size_t queueLimit = 18;
    static constexpr std::uint64_t objectCount = 150;
    static constexpr std::size_t cacheCapacity = 30;
    static constexpr milliseconds uncachedTime { 760 };
    static constexpr milliseconds cachedTime { 230 };
    static constexpr milliseconds target { 600 };
    static constexpr milliseconds updateInterval { 250 };

    struct Outcome {
        unsigned inTime = 0;
        unsigned late = 0;
        unsigned rejected = 0;
        unsigned shed = 0; ///< Sends that a full server turned away.
        double inTimeShare() const
        {
            return double(this->inTime) / std::max(1U, this->inTime + this->late + this->rejected);
        }
    };

    explicit RegionSimulation(bool assumesLoads)
        : usesAssumedLoads(assumesLoads)
    {
        for (auto& view : this->views) {
            for (std::size_t i = 0; i < serverCount; ++i) {
                auto server = std::make_shared<BackendServer>();
                server->entry.id = "server-" + std::to_string(i);
                server->entry.slots = slots;
                server->locality = Locality::SameRegion;
                server->region = "north";
                view.push_back(server);
            }
        }
        this->processingTimes.fill(initialProcessingTimeEstimate(target));
    }

    Outcome run(double requestsPerSecond, seconds duration)
    {
        Outcome outcome;
        const TimePoint end = this->now + duration;
        while (this->now < end) {
            this->now += milliseconds(1);
            const bool isUpdateDue = this->now.time_since_epoch() % updateInterval == Duration {};
            for (const auto& view : this->views) {
                if (this->usesAssumedLoads && isUpdateDue)
                    updateAssumedLoads(view, this->now);
            }
            if (randomUnit(this->random) < requestsPerSecond / 1000) {
                this->place({ .object = randomBelow(this->random, objectCount) * 7919 + 1,
                                .instance = randomBelow(this->random, instanceCount),
                                .arrivedAt = this->now },
                    outcome);
            }
            for (std::size_t i = 0; i < serverCount; ++i)
                this->advance(i, outcome);
        }
        return outcome;
    }

private:
    struct SimulatedRequest {
        std::uint64_t object = 0;
        std::size_t instance = 0;
        TimePoint arrivedAt {};
        TimePoint startedAt {};
        TimePoint completesAt {};
        bool wasCached = false;
    };
    struct Server {
        std::list<SimulatedRequest> running;
        std::deque<SimulatedRequest> waiting;
        std::deque<std::uint64_t> cache;
    };

    void place(SimulatedRequest request, Outcome& outcome)
    {
        auto& view = this->views[request.instance];
        std::vector<const BackendServer*> candidates;
        for (const auto& server : view)
            candidates.push_back(server.get());
        const std::vector<char> cold(candidates.size(), 1);
        std::vector<std::size_t> tried;
        constexpr std::size_t maximumServers = 2;
        while (tried.size() < maximumServers) {
            PlacementRequest placement;
            placement.object = request.object;
            placement.processingTime = this->processingTimes[request.instance];
            placement.timeLeft = seconds(4);
            placement.targetTimeLeft = target;
            const auto chosen = choosePlacement(candidates, cold, tried, placement, {}, this->now).server;
            if (!chosen)
                break;
            tried.push_back(*chosen);
            BackendServer& server = *view[*chosen];
            if (this->servers[*chosen].waiting.size() < queueLimit) {
                ++server.inFlight;
                server.cachedObjects.record(request.object, this->now);
                this->servers[*chosen].waiting.push_back(request);
                return;
            }
            ++outcome.shed;
            this->report(server, this->servers[*chosen]);
        }
        ++outcome.rejected;
    }

    void report(BackendServer& view, const Server& server)
    {
        view.report = { .running = static_cast<unsigned>(server.running.size()),
            .waiting = static_cast<unsigned>(server.waiting.size()),
            .localInFlight = view.inFlight,
            .at = this->now };
    }

    void advance(std::size_t index, Outcome& outcome)
    {
        Server& server = this->servers[index];
        for (auto request = server.running.begin(); request != server.running.end();) {
            if (this->now < request->completesAt) {
                ++request;
                continue;
            }
            ++(this->now - request->arrivedAt <= target ? outcome.inTime : outcome.late);
            BackendServer& view = *this->views[request->instance][index];
            --view.inFlight;
            if (server.waiting.empty()) {
                recordProcessingTime(this->processingTimes[request->instance],
                    request->wasCached ? CacheAffinity::Cached : CacheAffinity::Uncached,
                    request->completesAt - request->startedAt);
            }
            request = server.running.erase(request);
            this->report(view, server);
        }
        while (server.running.size() < slots && !server.waiting.empty()) {
            SimulatedRequest request = server.waiting.front();
            server.waiting.pop_front();
            const auto found = std::find(server.cache.begin(), server.cache.end(), request.object);
            request.wasCached = found != server.cache.end();
            if (request.wasCached)
                server.cache.erase(found);
            server.cache.push_back(request.object);
            if (server.cache.size() > cacheCapacity)
                server.cache.pop_front();
            request.startedAt = this->now;
            request.completesAt = this->now + (request.wasCached ? cachedTime : uncachedTime);
            server.running.push_back(request);
        }
    }

    bool usesAssumedLoads;
    std::array<std::vector<std::shared_ptr<BackendServer>>, instanceCount> views;
    std::array<ProcessingTimeEstimate, instanceCount> processingTimes;
    std::array<Server, serverCount> servers;
    TimePoint now { seconds(1000) };
    Random random { 11 };
};

} // namespace

TEST_CASE("An overload that many instances see in parts")
{
    // The region's 144 slots carry 189 requests per second if no object is cached, and 626 if all are. At the start no
    // object is cached. Each instance sends to each server less than once in a second, so it cannot tell from its own
    // requests that the others are filling the queues.
    for (const double requestsPerSecond : { 350.0, 450.0 }) {
        RegionSimulation region(true);
        RegionSimulation withoutAssumption(false);
        const auto start = region.run(requestsPerSecond, seconds(10));
        const auto startWithout = withoutAssumption.run(requestsPerSecond, seconds(10));
        const auto later = region.run(requestsPerSecond, seconds(10));
        const auto laterWithout = withoutAssumption.run(requestsPerSecond, seconds(10));
        INFO(requestsPerSecond << ": in time " << start.inTimeShare() << " then " << later.inTimeShare() << ", without "
                               << startWithout.inTimeShare() << " then " << laterWithout.inTimeShare() << "; shed "
                               << start.shed << " and " << startWithout.shed << "; rejected " << start.rejected
                               << " and " << startWithout.rejected);
        CHECK(start.inTimeShare() > startWithout.inTimeShare());
        CHECK(start.shed < startWithout.shed);
        // The overload ends once the objects are cached.
        CHECK(later.inTimeShare() > 0.85);
        CHECK(later.inTimeShare() >= laterWithout.inTimeShare() - 0.01);
    }
}
