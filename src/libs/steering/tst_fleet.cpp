#include "steering/servertable.h"
#include "steering/shiftcap.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>

using namespace clementinefall;
using namespace clementinefall::steering;

namespace {

constexpr std::size_t instanceCount = 4;
constexpr std::uint64_t capPerSecond = 10;
constexpr std::uint64_t capTotal = 250; // low enough to be used up in most cases
constexpr seconds deadline { 2 };
constexpr seconds maximumPartition { 8 };
constexpr seconds absentHolderTimeout { 10 };

std::string nameOf(std::size_t instance) { return "e" + std::to_string(instance); }

/// One zone with servers of 1 to 4 slots, some with fewer slots than there are instances, and a cap to a second region.
bundle::Bundle fleetBundle(std::uint64_t version, const std::vector<bool>& members)
{
    bundle::Bundle bundle;
    bundle.version = version;
    bundle.zones = { { "a", "here" }, { "b", "there" } };
    bundle.services.emplace_back().name = "s";
    for (unsigned slots = 1; slots <= 4; ++slots)
        bundle.services[0].servers.push_back({ "s" + std::to_string(slots), "a", {}, slots, 100 });
    for (std::size_t at = 0; at < members.size(); ++at) {
        if (members[at])
            bundle.entryInstances.push_back({ nameOf(at), "a", {}, {}, {} });
    }
    bundle.shiftCaps = { { "s", "here", "there", capPerSecond, capTotal, 1 } };
    return bundle;
}

struct RunningRequest {
    std::size_t instance = 0;
    std::uint64_t incarnation = 0;
    ServerPosition position = 0;
    std::string server;
    TimePoint endsAt {};
    TimePoint deadlineAt {};
    bool isConnectionLost = false; ///< The connection is lost before the server ends the request.
    bool isReported = false;
};

struct Instance {
    std::shared_ptr<const RoutingSnapshot> snapshot;
    std::uint64_t incarnation = 0;
    ShareHistory capHistory { "", 0, {} };
    ShareHistory slotHistory { "", 0, {} };
    ShiftCapTable caps;
    ServerTable servers;
    bool isAlive = false;
    TimePoint stoppedAt {};
    TimePoint pausedUntil {};
};

/// Runs the decisions of several instances and checks them against a record of the requests that the servers execute
/// and of those that were shifted.
class Fleet {
public:
    explicit Fleet(std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t at = 0; at < instanceCount; ++at)
            this->start(at);
    }

    void step()
    {
        this->now += milliseconds(randomBelow(this->random, 20));
        this->finishRequests();
        const std::size_t at = randomBelow(this->random, instanceCount);
        Instance& instance = this->instances[at];
        if (instance.isAlive && instance.pausedUntil <= this->now)
            this->runInstance(at);
        if (randomBelow(this->random, instance.isAlive ? 400 : 100) == 0)
            this->injectFault(at);
    }

    std::size_t startedRequests = 0;
    std::size_t shifted = 0;

private:
    void start(std::size_t at)
    {
        Instance& instance = this->instances[at];
        instance = Instance {};
        instance.incarnation = ++this->incarnations;
        instance.capHistory = ShareHistory(nameOf(at), instance.incarnation, this->now);
        instance.slotHistory = ShareHistory(nameOf(at), instance.incarnation, this->now, absentHolderTimeout);
        instance.caps.startedAt = this->now;
        instance.servers.usableFrom = this->now + deadline;
        instance.isAlive = true;
        this->adopt(at);
    }

    void adopt(std::size_t at)
    {
        Instance& instance = this->instances[at];
        instance.snapshot = buildSnapshot(fleetBundle(this->version, this->members), nameOf(at));
        applySnapshot(instance.caps, *instance.snapshot);
        applySnapshot(instance.servers, *instance.snapshot, this->now, true);
        instance.capHistory.adopt(capShares(*instance.snapshot));
        instance.slotHistory.adopt(slotShares(*instance.snapshot, 0));
        for (std::size_t other = 0; other < instanceCount; ++other) {
            if (this->members[other])
                continue;
            instance.capHistory.endHolder(nameOf(other), this->now);
            instance.slotHistory.endHolder(nameOf(other), this->now);
        }
        this->applyAll(instance);
    }

    void applyAll(Instance& instance) const
    {
        applyShares(instance.caps, instance.capHistory);
        applyShares(instance.servers, instance.slotHistory, this->now);
    }

    void runInstance(std::size_t at)
    {
        Instance& instance = this->instances[at];
        // Instances use all that they may, since unused shares would hide an excess elsewhere.
        if (randomBelow(this->random, 3) == 0)
            this->runControlTick(at);
        while (spendShift(instance.caps, *instance.snapshot, 0, 0, 1, this->now) == ResultCode::Answered)
            this->recordShift();
        while (this->request(instance, at)) { }
    }

    void runControlTick(std::size_t at)
    {
        Instance& instance = this->instances[at];
        if (instance.snapshot->version < this->version && randomBelow(this->random, 3) == 0)
            this->adopt(at);
        instance.caps.lastTick = this->now;
        tick(instance.servers, this->now);
        if (isWithinMinimumShares(instance.caps, instance.capHistory, this->now))
            instance.capHistory.confirm();
        if (isWithinMinimumShares(instance.servers, instance.slotHistory, this->now))
            instance.slotHistory.confirm();
        for (std::size_t other = 0; other < instanceCount; ++other) {
            Instance& peer = this->instances[other];
            if (other == at || !peer.isAlive || peer.pausedUntil > this->now || this->isPartitioned(at, other))
                continue;
            instance.capHistory.recordStatus(peer.capHistory.respondTo(instance.capHistory.makeQuery()), this->now);
            instance.slotHistory.recordStatus(peer.slotHistory.respondTo(instance.slotHistory.makeQuery()), this->now);
        }
        instance.capHistory.settle(this->now);
        instance.slotHistory.settle(this->now);
        this->applyAll(instance);
        this->reserve(instance);
    }

    /// The write to the platform may succeed while its response is lost.
    void reserve(Instance& instance)
    {
        ShiftCapShare& share = instance.caps.shares[0];
        const auto block = needsBlock(share) ? reserveBlock(this->ledger, share, "op") : std::nullopt;
        if (!block)
            return;
        this->ledger = block->next;
        if (randomBelow(this->random, 10) > 0)
            creditBlock(share, *block);
    }

    bool request(Instance& instance, std::size_t at)
    {
        const auto admission = admit(instance.servers, 0, bundle::Priority::Critical, {}, this->now, this->random);
        if (!admission.server)
            return false;
        const std::string& server = instance.servers.servers[*admission.server].name;
        const TimePoint endsAt = this->now + milliseconds(randomBelow(this->random, 2'000));
        const bool isConnectionLost = randomBelow(this->random, 8) == 0;
        this->running.push_back(
            { at, instance.incarnation, *admission.server, server, endsAt, this->now + deadline, isConnectionLost });
        ++this->startedRequests;
        const auto load = std::count_if(this->running.begin(), this->running.end(),
            [&](const RunningRequest& other) { return other.server == server; });
        RC_ASSERT(load <= server.back() - '0');
        return true;
    }

    void finishRequests()
    {
        for (RunningRequest& request : this->running) {
            Instance& instance = this->instances[request.instance];
            const bool isCurrent = instance.isAlive && instance.incarnation == request.incarnation;
            if (request.isReported || (!request.isConnectionLost && request.endsAt > this->now) || !isCurrent)
                continue;
            AttemptOutcome outcome { AttemptOutcome::Kind::Success, milliseconds(5), request.deadlineAt };
            outcome.kind = request.isConnectionLost ? AttemptOutcome::Kind::Unknown : outcome.kind;
            recordOutcome(instance.servers, 0, request.position, outcome, this->now);
            request.isReported = true;
        }
        std::erase_if(this->running, [&](const RunningRequest& request) { return request.endsAt <= this->now; });
    }

    void recordShift()
    {
        this->spendTimes.push_back(this->now);
        ++this->shifted;
        while (this->spendTimes.front() <= this->now - seconds(1))
            this->spendTimes.pop_front();
        RC_ASSERT(this->spendTimes.size() <= capPerSecond);
        RC_ASSERT(this->shifted <= capTotal);
    }

    void injectFault(std::size_t at)
    {
        Instance& instance = this->instances[at];
        switch (instance.isAlive ? randomBelow(this->random, 4) : 3) {
        case 0:
            instance.pausedUntil = this->now + milliseconds(randomBelow(this->random, 5'000));
            break;
        case 1:
            this->start(at);
            break;
        case 2:
            this->partitioned = { at, randomBelow(this->random, instanceCount) };
            this->partitionEndsAt
                = this->now + milliseconds(randomBelow(this->random, 1'000 * maximumPartition.count()));
            break;
        default:
            this->changeMembers(at);
            break;
        }
    }

    /// An instance is removed only after it was stopped and its requests have ended on the servers and left the
    /// windows.
    void changeMembers(std::size_t at)
    {
        Instance& instance = this->instances[at];
        if (instance.isAlive) {
            instance.isAlive = false;
            instance.stoppedAt = this->now;
        } else if (this->members[at] && (at == 0 || this->now - instance.stoppedAt < deadline)) {
            this->start(at);
        } else {
            this->members[at] = !this->members[at];
            ++this->version;
            if (this->members[at])
                this->start(at);
        }
    }

    bool isPartitioned(std::size_t a, std::size_t b) const
    {
        return this->now < this->partitionEndsAt
            && (a == this->partitioned.first || b == this->partitioned.first || a == this->partitioned.second
                || b == this->partitioned.second);
    }

    Random random;
    TimePoint now { seconds(1'000) };
    std::uint64_t version = 1;
    std::uint64_t incarnations = 0;
    std::vector<bool> members = std::vector<bool>(instanceCount, true);
    std::array<Instance, instanceCount> instances;
    std::pair<std::size_t, std::size_t> partitioned;
    TimePoint partitionEndsAt {};
    CapLedger ledger;
    std::deque<TimePoint> spendTimes;
    std::vector<RunningRequest> running;
};

} // namespace

TEST_CASE("No sequence of events exceeds a shift cap or the slots of a server")
{
    std::size_t startedRequests = 0;
    std::size_t shifted = 0;
    rc::prop(
        "with requests, lost responses, restarts, pauses, partitions and new bundle versions", [&](std::uint64_t seed) {
            Fleet fleet(seed);
            for (int step = 0; step < 10'000; ++step)
                fleet.step();
            startedRequests += fleet.startedRequests;
            shifted += fleet.shifted;
        });
    // The property must not pass for lack of traffic.
    CHECK(startedRequests > 20'000);
    CHECK(shifted > 10'000);
}
