#include "steering/benchfleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace clementinefall::steering::bench {

namespace {

constexpr double meanServiceMs = 40;
constexpr milliseconds tickPeriod { 100 };
/// Period of the load reports, which arrive half a period after the measurement.
constexpr milliseconds reportPeriod { 1'000 };
constexpr TimePoint startTime { seconds(1'000) };
/// Time before traffic starts, in which the instances exchange their share status and the restart wait passes.
constexpr seconds settleTime { 5 };
constexpr seconds disturbanceTime { 5 };
constexpr seconds platformDrainLag { 6 };
/// Delay until the server's drain report has reached all instances of its zone.
constexpr milliseconds signalLag { 500 };

struct Request {
    Index service = 0;
    Index callerZone = 0;
    Index server = 0;
    TimePoint arrived {};
    std::uint32_t instance = 0; ///< Instance that holds the slot.
    std::uint64_t incarnation = 0;
    ServerPosition position = 0;
};

struct Instance {
    std::shared_ptr<const RoutingSnapshot> snapshot;
    std::uint64_t incarnation = 0;
    ShareHistory capHistory { "", 0, {} };
    ShareHistory slotHistory { "", 0, {} };
    ShiftCapTable caps;
    ServerTable table;
    OverflowTable overflow;
    FleetView view;
    TimePoint pausedUntil {};
};

struct CapUsage {
    std::deque<TimePoint> window;
    std::uint64_t total = 0;
};

class Run {
public:
    explicit Run(const Scenario& given)
        : scenario(given)
        , random(given.seed)
        , bundle(deploymentBundle(given.deployment, given.capPerSecond, given.capTotal))
        , routes(buildSnapshot(this->bundle, ""))
        , servers(this->routes->servers.size())
        , instances(this->routes->instances.size())
        , capUsage(this->routes->caps.size())
        , ledgers(this->routes->caps.size())
        , regionLoad(this->routes->services.size() * this->routes->regions.size())
    {
    }

    RunResult run()
    {
        for (std::uint32_t at = 0; at < this->instances.size(); ++at)
            this->start(at);
        this->at(startTime, [this] { this->control(); });
        this->at(startTime, [this] { this->report(); });
        for (Index service = 0; service < this->routes->services.size(); ++service) {
            for (Index zone = 0; zone < this->routes->zones.size(); ++zone)
                this->at(startTime + settleTime, [this, service, zone] { this->arrive(service, zone); });
        }
        this->scheduleDisturbances();
        const TimePoint end = startTime + settleTime + this->scenario.duration;
        while (!this->events.empty() && this->events.top().time < end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.action();
        }
        if (this->scenario.drainsServer)
            this->result.workAfterDrain = this->servers[0].lastRequestAt - this->servers[0].drainSignalledAt;
        return std::move(this->result);
    }

private:
    struct Event {
        TimePoint time {};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return std::tie(other.time, other.order) < std::tie(this->time, this->order);
        }
    };

    void at(TimePoint time, std::function<void()> action)
    {
        this->events.push({ time, ++this->eventCount, std::move(action) });
    }

    void scheduleDisturbances()
    {
        const TimePoint disturbed = startTime + settleTime + disturbanceTime;
        if (this->scenario.hasRestarts) {
            this->at(disturbed, [this] { this->start(0); });
            this->at(disturbed, [this] { this->instances[2].pausedUntil = this->now + seconds(2); });
            this->at(disturbed + seconds(3), [this] { this->start(1); });
        }
        if (this->scenario.drainsServer) {
            this->servers[0].drainSignalledAt = disturbed;
            this->at(disturbed + signalLag, [this] { this->drain(DrainSource::Server); });
            this->at(disturbed + platformDrainLag, [this] { this->drain(DrainSource::Platform); });
        }
        if (this->scenario.hasColdServer)
            this->servers[0].coldPenalty = 5;
    }

    bool isColdAbsent() const
    {
        return this->scenario.hasColdServer && this->now < startTime + settleTime + disturbanceTime;
    }

    void drain(DrainSource source)
    {
        this->isListedLeaving = source == DrainSource::Platform;
        const ServerRoute& server = this->routes->servers[0];
        const std::string name = this->routes->services[server.service].name + '/' + server.name;
        for (Instance& instance : this->instances)
            recordDrain(instance.table, name, source, true, this->now);
    }

    void start(std::uint32_t at)
    {
        Instance& instance = this->instances[at];
        instance = Instance {};
        const std::string& name = this->routes->instances[at].name;
        instance.incarnation = ++this->incarnations;
        instance.snapshot = buildSnapshot(this->bundle, name);
        instance.capHistory = ShareHistory(name, instance.incarnation, this->now);
        instance.slotHistory = ShareHistory(name, instance.incarnation, this->now, seconds(10));
        instance.capHistory.adopt(capShares(*instance.snapshot));
        instance.slotHistory.adopt(slotShares(*instance.snapshot, *instance.snapshot->localZone));
        instance.caps.startedAt = this->now;
        instance.table.usableFrom = this->now + instance.snapshot->services[0].deadline;
        applySnapshot(instance.caps, *instance.snapshot);
        applySnapshot(instance.table, *instance.snapshot, this->now, true);
        instance.overflow = makeOverflowTable(*instance.snapshot);
        instance.view = makeFleetView(*instance.snapshot, MemberState::Live);
    }

    void control()
    {
        for (std::uint32_t at = 0; at < this->instances.size(); ++at) {
            if (this->instances[at].pausedUntil <= this->now)
                this->tickInstance(at);
        }
        this->grantHeadroom();
        this->at(this->now + tickPeriod, [this] { this->control(); });
    }

    void tickInstance(std::uint32_t at)
    {
        Instance& instance = this->instances[at];
        instance.caps.lastTick = this->now;
        tick(instance.table, this->now);
        if (isWithinMinimumShares(instance.caps, instance.capHistory, this->now))
            instance.capHistory.confirm();
        if (isWithinMinimumShares(instance.table, instance.slotHistory, this->now))
            instance.slotHistory.confirm();
        for (Instance& peer : this->instances) {
            if (&peer == &instance || peer.pausedUntil > this->now)
                continue;
            instance.capHistory.recordStatus(peer.capHistory.respondTo(instance.capHistory.makeQuery()), this->now);
            if (peer.snapshot->localZone == instance.snapshot->localZone)
                instance.slotHistory.recordStatus(
                    peer.slotHistory.respondTo(instance.slotHistory.makeQuery()), this->now);
        }
        instance.capHistory.settle(this->now);
        instance.slotHistory.settle(this->now);
        applyShares(instance.caps, instance.capHistory);
        applyShares(instance.table, instance.slotHistory, this->now);
        for (std::size_t cap = 0; cap < instance.caps.shares.size(); ++cap) {
            ShiftCapShare& share = instance.caps.shares[cap];
            const auto block = needsBlock(share) ? reserveBlock(this->ledgers[cap], share, "op") : std::nullopt;
            if (!block)
                continue;
            this->ledgers[cap] = block->next;
            creditBlock(share, *block);
        }
    }

    /// Each zone divides the requests that its free slots can process until the next grant among the requesting
    /// instances.
    void grantHeadroom()
    {
        for (Index service = 0; service < this->routes->services.size(); ++service) {
            std::vector<unsigned> demand;
            for (Instance& instance : this->instances)
                demand.push_back(takeDemand(instance.overflow, service));
            for (Index zone = 0; zone < this->routes->zones.size(); ++zone)
                this->grantZone(service, zone, demand);
        }
    }

    void grantZone(Index service, Index zone, const std::vector<unsigned>& demand)
    {
        const auto& members = this->routes->zones[zone].instances;
        std::vector<unsigned> slots;
        slots.reserve(members.size());
        for (const Index member : members)
            slots.push_back(freeSlots(this->instances[member].table, service, this->now));
        for (const Index member : members) {
            auto& peerSlots = this->instances[member].view.peerSlots;
            std::copy(
                slots.begin(), slots.end(), peerSlots.begin() + static_cast<std::ptrdiff_t>(service * members.size()));
        }
        const Duration latency = meanLatency(this->instances[members.front()].table, service);
        const unsigned freeNow = std::accumulate(slots.begin(), slots.end(), 0U);
        std::vector<unsigned> requested = demand;
        for (const Index member : members)
            requested[member] = 0;
        const auto parts = divideHeadroom(requestsWithin(freeNow, tickPeriod, latency), requested);
        for (std::uint32_t at = 0; at < this->instances.size(); ++at) {
            Instance& instance = this->instances[at];
            recordGrant(instance.view, instance.overflow, *this->routes, service, zone, parts[at], this->now);
        }
    }

    void report()
    {
        for (std::size_t at = 0; at < this->servers.size(); ++at) {
            SimulatedServer& server = this->servers[at];
            const double load = static_cast<double>(server.busy) / this->routes->servers[at].slots;
            this->at(this->now + reportPeriod / 2, [this, at, load, measured = this->now] {
                this->servers[at].reportedLoad = load;
                const std::string name = this->routes->services[this->routes->servers[at].service].name + '/'
                    + this->routes->servers[at].name;
                for (Instance& instance : this->instances) {
                    for (ServerPosition position = 0; position < instance.table.servers.size(); ++position) {
                        if (instance.table.servers[position].name == name)
                            recordReport(instance.table, position, load, measured);
                    }
                }
            });
        }
        this->at(this->now + reportPeriod, [this] { this->report(); });
    }

    void arrive(Index service, Index zone)
    {
        const bool isHot = this->routes->zones[zone].region == 0;
        const double load = isHot ? this->scenario.hotLoad : this->scenario.load;
        const double perSecond = load * this->routes->services[service].slotsByZone[zone] * 1'000 / meanServiceMs;
        const double gap = -std::log(1 - randomUnit(this->random)) / perSecond;
        this->at(this->now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
            [this, service, zone] { this->arrive(service, zone); });
        ++this->result.metrics.offered;
        Request request;
        request.service = service;
        request.callerZone = zone;
        request.arrived = this->now;
        if (this->scenario.policy == Policy::Steering)
            this->steer(request);
        else
            this->sendNaive(request);
    }

    void steer(const Request& request)
    {
        const auto& members = this->routes->zones[request.callerZone].instances;
        const Index first = members[randomBelow(this->random, members.size())];
        Instance& instance = this->instances[first];
        if (instance.pausedUntil > this->now || this->admitAt(first, request)) {
            this->result.metrics.rejected += instance.pausedUntil > this->now ? 1 : 0;
            return;
        }
        const auto peer = chooseZonePeer(*instance.snapshot, instance.view, request.service);
        if (peer && this->instances[*peer].pausedUntil <= this->now && this->admitAt(*peer, request))
            return;
        const OverflowChoice choice = chooseOverflow(instance.overflow, instance.caps, *instance.snapshot,
            instance.view, request.service, request.callerZone, bundle::Priority::Critical, this->now);
        if (!choice.zone) {
            ++this->result.metrics.rejected;
            return;
        }
        this->recordShift(request, *choice.zone);
        const auto& remote = this->routes->zones[*choice.zone].instances;
        const Index target = remote[randomBelow(this->random, remote.size())];
        this->at(this->now + this->delayBetween(request.callerZone, *choice.zone), [this, target, request] {
            if (!this->admitAt(target, request))
                ++this->result.metrics.rejected;
        });
    }

    bool admitAt(Index at, const Request& given)
    {
        Instance& instance = this->instances[at];
        if (this->isColdAbsent() && this->routes->servers[0].zone == *instance.snapshot->localZone)
            this->hideColdServer(instance);
        const auto admission
            = admit(instance.table, given.service, bundle::Priority::Critical, {}, this->now, this->random);
        if (!admission.server)
            return false;
        Request request = given;
        request.instance = at;
        request.incarnation = instance.incarnation;
        request.position = *admission.server;
        request.server = instance.table.servers[request.position].route;
        this->deliver(request);
        return true;
    }

    /// Keeps the cold server out by a drain until it joins; the end of a drain is a cold start.
    void hideColdServer(Instance& instance)
    {
        ServerState& server = instance.table.servers[instance.table.pools[0].servers[0]];
        if (server.isLeaving())
            return;
        recordDrain(instance.table, server.name, DrainSource::Platform, true, this->now);
        this->at(startTime + settleTime + disturbanceTime, [this, &instance, name = server.name] {
            recordDrain(instance.table, name, DrainSource::Platform, false, this->now);
        });
    }

    void sendNaive(Request request)
    {
        std::vector<Index> live;
        for (Index at = 0; at < this->servers.size(); ++at) {
            if (this->routes->servers[at].service == request.service
                && !(at == 0 && (this->isListedLeaving || this->isColdAbsent())))
                live.push_back(at);
        }
        if (this->scenario.policy == Policy::RoundRobin) {
            request.server = live[this->nextServer++ % live.size()];
        } else {
            std::shuffle(live.begin(), live.end(), this->random);
            request.server = *std::min_element(live.begin(), live.end(),
                [&](Index a, Index b) { return this->servers[a].reportedLoad < this->servers[b].reportedLoad; });
        }
        const Index zone = this->routes->servers[request.server].zone;
        this->recordShift(request, zone);
        this->at(this->now + this->delayBetween(request.callerZone, zone), [this, request] { this->deliver(request); });
    }

    milliseconds delayBetween(Index fromZone, Index toZone) const
    {
        constexpr milliseconds zoneDelay { 4 };
        if (fromZone == toZone)
            return milliseconds(0);
        const Index from = this->routes->zones[fromZone].region;
        const Index to = this->routes->zones[toZone].region;
        return from == to ? zoneDelay : this->routes->delay(from, to);
    }

    void recordShift(const Request& request, Index toZone)
    {
        for (const Index at : this->routes->services[request.service].caps) {
            const CapRoute& cap = this->routes->caps[at];
            if (!cap.fromZones[request.callerZone] || !cap.toZones[toZone])
                continue;
            CapUsage& record = this->capUsage[at];
            record.window.push_back(this->now);
            ++record.total;
            while (record.window.front() <= this->now - seconds(1))
                record.window.pop_front();
            RunMetrics& metrics = this->result.metrics;
            metrics.maximumWindowShare = std::max(metrics.maximumWindowShare,
                static_cast<double>(record.window.size()) / static_cast<double>(cap.perSecond));
            metrics.maximumTotalShare = std::max(
                metrics.maximumTotalShare, static_cast<double>(record.total) / static_cast<double>(cap.total));
        }
    }

    unsigned& loadOfRegion(Index server)
    {
        const ServerRoute& route = this->routes->servers[server];
        return this->regionLoad[route.service * this->routes->regions.size() + this->routes->zones[route.zone].region];
    }

    void deliver(const Request& request)
    {
        SimulatedServer& server = this->servers[request.server];
        const ServerRoute& route = this->routes->servers[request.server];
        server.lastRequestAt = this->now;
        RunMetrics& metrics = this->result.metrics;
        const double load = server.busy + static_cast<double>(server.queue.size()) + 1;
        metrics.maximumServerLoad = std::max(metrics.maximumServerLoad, load / route.slots);
        unsigned slots = 0;
        for (const Index zone : this->routes->regions[this->routes->zones[route.zone].region].zones)
            slots += this->routes->services[route.service].slotsByZone[zone];
        metrics.maximumRegionLoad
            = std::max(metrics.maximumRegionLoad, static_cast<double>(++this->loadOfRegion(request.server)) / slots);
        this->requests.push_back(request);
        if (server.busy < route.slots)
            this->run(this->requests.size() - 1);
        else
            server.queue.push_back(this->requests.size() - 1);
    }

    void run(std::uint64_t request)
    {
        SimulatedServer& server = this->servers[this->requests[request].server];
        ++server.busy;
        const double factor = 1 + server.coldPenalty;
        server.coldPenalty *= std::exp2(-1.0 / 30);
        // Half of the mean service time is constant, the other half exponentially distributed.
        const double serviceTimeMs = factor * meanServiceMs * (0.5 - 0.5 * std::log(1 - randomUnit(this->random)));
        const auto service
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(serviceTimeMs));
        this->at(this->now + service, [this, request, sent = this->now] { this->finish(request, sent); });
    }

    void finish(std::uint64_t at, TimePoint sent)
    {
        const Request& request = this->requests[at];
        SimulatedServer& server = this->servers[request.server];
        --server.busy;
        --this->loadOfRegion(request.server);
        ++this->result.metrics.completed;
        // Latencies before the disturbance are excluded, since all policies see the same conditions then.
        if (request.arrived >= startTime + settleTime + disturbanceTime) {
            const Duration back = this->delayBetween(request.callerZone, this->routes->servers[request.server].zone);
            this->result.metrics.latenciesMs.push_back(
                std::chrono::duration<double, std::milli>(this->now + back - request.arrived).count());
        }
        Instance& instance = this->instances[request.instance];
        if (this->scenario.policy == Policy::Steering && instance.incarnation == request.incarnation)
            recordOutcome(instance.table, request.service, request.position,
                { AttemptOutcome::Kind::Success, this->now - sent, this->now }, this->now);
        if (server.queue.empty())
            return;
        const std::uint64_t next = server.queue.front();
        server.queue.pop_front();
        this->run(next);
    }

    Scenario scenario;
    Random random;
    bundle::Bundle bundle;
    std::shared_ptr<const RoutingSnapshot> routes;
    std::vector<SimulatedServer> servers;
    std::vector<Instance> instances;
    std::vector<CapUsage> capUsage;
    std::vector<CapLedger> ledgers;
    std::vector<unsigned> regionLoad; ///< Requests on the servers, by service × regions + region.
    std::deque<Request> requests;
    std::priority_queue<Event> events;
    std::uint64_t eventCount = 0;
    std::uint64_t incarnations = 0;
    std::uint64_t nextServer = 0;
    bool isListedLeaving = false;
    TimePoint now = startTime;
    RunResult result;
};

} // namespace

const char* policyName(Policy policy)
{
    if (policy == Policy::Steering)
        return "steering";
    return policy == Policy::RoundRobin ? "round-robin" : "least-reported-load";
}

const char* deploymentName(Deployment deployment)
{
    return deployment == Deployment::GraniteRidge ? "granite-ridge" : "inat";
}

bundle::Bundle deploymentBundle(Deployment deployment, std::uint64_t capPerSecond, std::uint64_t capTotal)
{
    const bool isRidge = deployment == Deployment::GraniteRidge;
    const std::vector<std::string> regions = isRidge
        ? std::vector<std::string> { "merrimack", "narragansett", "kennebec" }
        : std::vector<std::string> { "sur", "andes", "norte" };
    const std::vector<std::pair<std::string, unsigned>> services = isRidge
        ? std::vector<std::pair<std::string, unsigned>> { { "shelfwatch", 16 }, { "tillgate", 12 },
              { "ledgerbin", 14 } }
        : std::vector<std::pair<std::string, unsigned>> { { "catalogo", 12 }, { "sellos", 12 }, { "planos", 12 } };
    bundle::Bundle bundle;
    bundle.version = 1;
    for (const std::string& region : regions) {
        for (const std::string letter : { "-a", "-b" })
            bundle.zones.push_back({ region + letter, region });
    }
    // GraniteRidge has 12 instances; Inat has 9, since every second zone has only one.
    for (std::size_t zone = 0; zone < bundle.zones.size(); ++zone) {
        const unsigned count = isRidge || zone % 2 == 0 ? 2 : 1;
        for (unsigned at = 0; at < count; ++at)
            bundle.entryInstances.push_back({ fmt::format("e{}-{}", zone, at), bundle.zones[zone].name, {}, {}, {} });
    }
    for (const auto& [name, count] : services) {
        bundle::Service service;
        service.name = name;
        for (unsigned at = 0; at < count; ++at) {
            const unsigned slots = isRidge ? 4 + at % 3 : 3;
            service.servers.push_back({ fmt::format("{}{}", name, at), bundle.zones[at % bundle.zones.size()].name, {},
                slots, isRidge ? 400U : 330U });
        }
        bundle.services.push_back(service);
        for (std::size_t to = 1; to < regions.size() && capPerSecond > 0; ++to)
            bundle.shiftCaps.push_back({ name, regions[0], regions[to], capPerSecond, capTotal, 1 });
    }
    const milliseconds delay(isRidge ? 55 : 35);
    for (const std::string& from : regions) {
        for (const std::string& to : regions) {
            if (from != to)
                bundle.links.push_back({ from, to, 500'000'000, delay });
        }
    }
    return bundle;
}

RunResult runScenario(const Scenario& scenario) { return Run(scenario).run(); }

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

} // namespace clementinefall::steering::bench
