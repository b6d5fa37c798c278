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

/// A model of one zone: servers with slots, a queue and a memory of recent objects, and callers that ask for objects at
/// random. Time advances in steps of one millisecond.
class ZoneModel {
public:
    static constexpr std::size_t serverCount = 6;
    static constexpr unsigned slots = 4;
    static constexpr std::size_t queueLimit = 12;
    static constexpr std::uint64_t objectCount = 48;
    static constexpr std::size_t remembered = 20;
    static constexpr milliseconds freshWork { 640 };
    static constexpr milliseconds recentWork { 190 };
    static constexpr milliseconds target { 500 };

    struct Outcome {
        unsigned inTime = 0;
        unsigned late = 0;
        unsigned refused = 0;
        unsigned asked() const { return this->inTime + this->late + this->refused; }
        double share() const { return double(this->inTime) / std::max(1U, this->asked()); }
    };

    /// Gives the server for an object, or nothing to refuse it.
    using Policy = std::function<std::optional<std::size_t>(ZoneModel&, std::uint64_t object)>;

    ZoneModel()
    {
        for (std::size_t i = 0; i < serverCount; ++i) {
            this->views[i].entry.id = "server-" + std::to_string(i);
            this->views[i].entry.slots = slots;
            this->views[i].locality = Locality::SameZone;
        }
    }

    Outcome play(double perSecond, seconds length, const Policy& policy)
    {
        Outcome outcome;
        const TimePoint end = this->now + length;
        while (this->now < end) {
            this->now += milliseconds(1);
            if (randomUnit(this->random) < perSecond / 1000)
                this->arrive(policy, outcome);
            for (std::size_t i = 0; i < serverCount; ++i)
                this->advance(i, outcome);
        }
        return outcome;
    }

    std::array<BackendServer, serverCount> views;
    WorkEstimate work = initialWorkEstimate(target);
    TimePoint now { seconds(1000) };
    Random random { 7 };

private:
    struct Running {
        std::uint64_t object;
        TimePoint arrived;
        TimePoint ends;
        bool wasRecent;
    };
    struct Server {
        std::list<Running> running;
        std::deque<Running> waiting;
        std::deque<std::uint64_t> memory;
    };

    void arrive(const Policy& policy, Outcome& outcome)
    {
        const std::uint64_t object = randomBelow(this->random, objectCount) * 7919 + 1;
        const auto chosen = policy(*this, object);
        if (!chosen || this->servers[*chosen].waiting.size() >= queueLimit) {
            ++outcome.refused;
            return;
        }
        ++this->views[*chosen].inFlight;
        this->views[*chosen].recentObjects.note(object, this->now);
        this->servers[*chosen].waiting.push_back({ object, this->now, {}, false });
    }

    void advance(std::size_t index, Outcome& outcome)
    {
        Server& server = this->servers[index];
        for (auto job = server.running.begin(); job != server.running.end();) {
            if (this->now < job->ends) {
                ++job;
                continue;
            }
            ++(this->now - job->arrived <= target ? outcome.inTime : outcome.late);
            --this->views[index].inFlight;
            job = server.running.erase(job);
        }
        while (server.running.size() < slots && !server.waiting.empty()) {
            Running job = server.waiting.front();
            server.waiting.pop_front();
            const auto known = std::find(server.memory.begin(), server.memory.end(), job.object);
            job.wasRecent = known != server.memory.end();
            if (job.wasRecent)
                server.memory.erase(known);
            server.memory.push_back(job.object);
            if (server.memory.size() > remembered)
                server.memory.pop_front();
            job.ends = this->now + (job.wasRecent ? recentWork : freshWork);
            recordWork(this->work, job.wasRecent ? Familiarity::Recent : Familiarity::None,
                job.wasRecent ? recentWork : freshWork);
            server.running.push_back(job);
        }
    }

    std::array<Server, serverCount> servers;
};

std::optional<std::size_t> byForecast(ZoneModel& zone, std::uint64_t object)
{
    std::vector<const BackendServer*> views;
    for (const BackendServer& server : zone.views)
        views.push_back(&server);
    const std::vector<char> cold(views.size(), 1);
    PlacementRequest request;
    request.object = object;
    request.work = zone.work;
    request.timeLeft = seconds(3);
    request.targetLeft = ZoneModel::target;
    return choosePlacement(views, cold, {}, request, {}, zone.now).server;
}

std::optional<std::size_t> atRandom(ZoneModel& zone, std::uint64_t)
{
    return randomBelow(zone.random, ZoneModel::serverCount);
}

std::optional<std::size_t> leastLoaded(ZoneModel& zone, std::uint64_t)
{
    const auto least = std::min_element(zone.views.begin(), zone.views.end(),
        [](const BackendServer& left, const BackendServer& right) { return left.inFlight < right.inFlight; });
    return static_cast<std::size_t>(least - zone.views.begin());
}

std::optional<std::size_t> byHash(ZoneModel&, std::uint64_t object)
{
    const std::string_view bytes(reinterpret_cast<const char*>(&object), sizeof object);
    return hash64(bytes) % ZoneModel::serverCount;
}

ZoneModel::Outcome playPolicy(double perSecond, const ZoneModel::Policy& policy)
{
    ZoneModel zone;
    zone.play(perSecond, seconds(10), policy);
    return zone.play(perSecond, seconds(30), policy);
}

} // namespace

TEST_CASE("What callers get under load")
{
    // With every object new, the zone's 24 slots carry 37 requests a second; with every object known, 126.
    SECTION("at a load beyond what servers that know no object could carry, most answers are in time")
    {
        for (const double perSecond : { 40.0, 60.0, 80.0 }) {
            INFO(perSecond);
            const auto own = playPolicy(perSecond, byForecast);
            CHECK(own.share() > playPolicy(perSecond, atRandom).share());
            CHECK(own.share() > playPolicy(perSecond, leastLoaded).share());
            // Equal within the noise of the draw where nothing has to wait.
            constexpr double drawNoise = 0.01;
            CHECK(own.share() > playPolicy(perSecond, byHash).share() - drawNoise);
            CHECK(own.share() > 0.85);
        }
    }

    SECTION("near the limit of servers that know all objects, requests wait for them instead of teaching others")
    {
        // With every object known 126 requests a second fit: each one that runs elsewhere takes three times the work.
        for (const double perSecond : { 100.0, 120.0, 130.0 }) {
            const auto own = playPolicy(perSecond, byForecast);
            INFO(perSecond << ": " << own.inTime << " in time, " << own.late << " late, " << own.refused << " refused");
            CHECK(own.share() > 0.75);
            CHECK(own.share() > playPolicy(perSecond, byHash).share());
        }
    }

    SECTION("an overload ends with its cause: a burst leaves no queue that keeps later requests late")
    {
        ZoneModel zone;
        zone.play(60, seconds(10), byForecast);
        zone.play(300, seconds(4), byForecast);
        zone.play(60, seconds(3), byForecast);
        CHECK(zone.play(60, seconds(10), byForecast).share() > 0.85);
    }
}
