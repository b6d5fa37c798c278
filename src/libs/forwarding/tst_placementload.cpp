#include "base/hash.h"
#include "base/random.h"
#include "forwarding/placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <list>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

/// Simulation of one zone: servers with slots, a queue and an object cache, and requests for random objects. Time
/// advances in steps of one millisecond.
class ZoneSimulation {
public:
    static constexpr std::size_t serverCount = 6;
    static constexpr unsigned slots = 4;
    static constexpr std::size_t queueLimit = 12;
    static constexpr std::uint64_t objectCount = 48;
    static constexpr std::size_t cacheCapacity = 20;
    static constexpr milliseconds uncachedTime { 640 };
    static constexpr milliseconds cachedTime { 190 };
    static constexpr milliseconds target { 500 };

    struct Outcome {
        unsigned inTime = 0;
        unsigned late = 0;
        unsigned rejected = 0;
        unsigned total() const { return this->inTime + this->late + this->rejected; }
        double inTimeShare() const { return double(this->inTime) / std::max(1U, this->total()); }
    };

    /// Returns the index of the server for an object, or nothing to reject the request.
    using Policy = std::function<std::optional<std::size_t>(ZoneSimulation&, std::uint64_t object)>;

    ZoneSimulation()
    {
        for (std::size_t i = 0; i < serverCount; ++i) {
            this->views[i].entry.id = "server-" + std::to_string(i);
            this->views[i].entry.slots = slots;
            this->views[i].locality = Locality::SameZone;
        }
    }

    Outcome run(double requestsPerSecond, seconds duration, const Policy& policy)
    {
        Outcome outcome;
        const TimePoint end = this->now + duration;
        while (this->now < end) {
            this->now += milliseconds(1);
            if (randomUnit(this->random) < requestsPerSecond / 1000)
                this->startRequest(policy, outcome);
            for (std::size_t i = 0; i < serverCount; ++i)
                this->advance(i, outcome);
        }
        return outcome;
    }

    std::array<BackendServer, serverCount> views;
    ProcessingTimeEstimate processingTime = initialProcessingTimeEstimate(target);
    TimePoint now { seconds(1000) };
    Random random { 7 };

private:
    struct SimulatedRequest {
        std::uint64_t object;
        TimePoint arrivedAt;
        TimePoint completesAt;
        bool wasCached;
    };
    struct Server {
        std::list<SimulatedRequest> running;
        std::deque<SimulatedRequest> waiting;
        std::deque<std::uint64_t> cache;
    };

    void startRequest(const Policy& policy, Outcome& outcome)
    {
        const std::uint64_t object = randomBelow(this->random, objectCount) * 7919 + 1;
        const auto chosen = policy(*this, object);
        if (!chosen || this->servers[*chosen].waiting.size() >= queueLimit) {
            ++outcome.rejected;
            return;
        }
        ++this->views[*chosen].inFlight;
        this->views[*chosen].cachedObjects.record(object, this->now);
        this->servers[*chosen].waiting.push_back({ object, this->now, {}, false });
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
            --this->views[index].inFlight;
            request = server.running.erase(request);
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
            request.completesAt = this->now + (request.wasCached ? cachedTime : uncachedTime);
            recordProcessingTime(this->processingTime,
                request.wasCached ? CacheAffinity::Cached : CacheAffinity::Uncached,
                request.wasCached ? cachedTime : uncachedTime);
            server.running.push_back(request);
        }
    }

    std::array<Server, serverCount> servers;
};

std::optional<std::size_t> placementPolicy(ZoneSimulation& zone, std::uint64_t object)
{
    std::vector<const BackendServer*> views;
    for (const BackendServer& server : zone.views)
        views.push_back(&server);
    const std::vector<char> cold(views.size(), 1);
    PlacementRequest request;
    request.object = object;
    request.processingTime = zone.processingTime;
    request.timeLeft = seconds(3);
    request.targetTimeLeft = ZoneSimulation::target;
    return choosePlacement(views, cold, {}, request, {}, zone.now).server;
}

std::optional<std::size_t> randomPolicy(ZoneSimulation& zone, std::uint64_t)
{
    return randomBelow(zone.random, ZoneSimulation::serverCount);
}

std::optional<std::size_t> leastLoadedPolicy(ZoneSimulation& zone, std::uint64_t)
{
    const auto least = std::min_element(zone.views.begin(), zone.views.end(),
        [](const BackendServer& left, const BackendServer& right) { return left.inFlight < right.inFlight; });
    return static_cast<std::size_t>(least - zone.views.begin());
}

std::optional<std::size_t> objectHashPolicy(ZoneSimulation&, std::uint64_t object)
{
    const std::string_view bytes(reinterpret_cast<const char*>(&object), sizeof object);
    return hash64(bytes) % ZoneSimulation::serverCount;
}

ZoneSimulation::Outcome simulatePolicy(double requestsPerSecond, const ZoneSimulation::Policy& policy)
{
    ZoneSimulation zone;
    zone.run(requestsPerSecond, seconds(10), policy);
    return zone.run(requestsPerSecond, seconds(30), policy);
}

} // namespace

TEST_CASE("Share of responses in time under load")
{
    // The zone's 24 slots carry 37 requests per second if no object is cached, and 126 if all are.
    SECTION("beyond the capacity of servers without cached objects, most responses are in time")
    {
        for (const double requestsPerSecond : { 40.0, 60.0, 80.0 }) {
            INFO(requestsPerSecond);
            const auto placement = simulatePolicy(requestsPerSecond, placementPolicy);
            CHECK(placement.inTimeShare() > simulatePolicy(requestsPerSecond, randomPolicy).inTimeShare());
            CHECK(placement.inTimeShare() > simulatePolicy(requestsPerSecond, leastLoadedPolicy).inTimeShare());
            // Without queueing both policies are equal, except for the random choice of objects.
            constexpr double samplingNoise = 0.01;
            CHECK(placement.inTimeShare()
                > simulatePolicy(requestsPerSecond, objectHashPolicy).inTimeShare() - samplingNoise);
            CHECK(placement.inTimeShare() > 0.85);
        }
    }

    SECTION("near the capacity with all objects cached, requests queue instead of filling other caches")
    {
        // A request that runs elsewhere takes more than three times the processing time.
        for (const double requestsPerSecond : { 100.0, 120.0, 130.0 }) {
            const auto placement = simulatePolicy(requestsPerSecond, placementPolicy);
            INFO(requestsPerSecond << ": " << placement.inTime << " in time, " << placement.late << " late, "
                                   << placement.rejected << " rejected");
            CHECK(placement.inTimeShare() > 0.75);
            CHECK(placement.inTimeShare() > simulatePolicy(requestsPerSecond, objectHashPolicy).inTimeShare());
        }
    }

    SECTION("an overload ends with its cause: a burst leaves no queue that makes later requests late")
    {
        ZoneSimulation zone;
        zone.run(60, seconds(10), placementPolicy);
        zone.run(300, seconds(4), placementPolicy);
        zone.run(60, seconds(3), placementPolicy);
        CHECK(zone.run(60, seconds(10), placementPolicy).inTimeShare() > 0.85);
    }
}
