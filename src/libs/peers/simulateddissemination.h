#pragma once

#include "membership/fakefleet.h"
#include "peers/dissemination.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace clementinefall::peers {

/// Bundle dissemination over a FakeFleet, for tests and benches. RPC calls are modelled by their one-way trips: each
/// call opens a connection and authenticates, and a lost packet delays it by a retransmission timeout.
class SimulatedDissemination {
public:
    static constexpr std::size_t zones = 12;
    static constexpr unsigned announceOneWayTrips = 7; // connect, hello and authenticate: two each
    static constexpr unsigned fetchOneWayTrips = 8;
    static constexpr milliseconds retransmissionTimeout { 200 };

    struct Node {
        DisseminationState state;
        TimePoint adoptedAt;
        std::size_t announcesSent = 0;
        std::size_t fetchesSent = 0;
        std::size_t bundlesServed = 0;
    };

    SimulatedDissemination(std::size_t count, std::uint64_t seed, double loss)
        : fleet(count, zones, seed)
        , nodes(count)
    {
        this->fleet.delay = delayBetween;
        this->fleet.fillMemberTables();
        this->fleet.runFor(seconds(3));
        this->fleet.loss = loss;
    }

    /// One-way delay: 4 ms within a region, 55 ms between regions. Two zones make a region.
    static milliseconds delayBetween(std::size_t from, std::size_t to)
    {
        return milliseconds((from % zones) / 2 == (to % zones) / 2 ? 4 : 55);
    }

    /// Lets \a node adopt a bundle from the platform.
    void publish(std::size_t node, std::uint64_t version) { this->adopt(node, version); }

    void runFor(milliseconds time)
    {
        const TimePoint end = this->fleet.now + time;
        while (this->fleet.now < end) {
            this->fleet.runFor(milliseconds(10));
            while (!this->calls.empty() && this->calls.top().time <= this->fleet.now) {
                const Call call = this->calls.top();
                this->calls.pop();
                this->handle(call);
            }
            // Each node ticks every 50 ms, in five groups that take turns.
            const std::size_t tickGroup
                = static_cast<std::size_t>(this->fleet.now.time_since_epoch() / milliseconds(10)) % 5;
            for (std::size_t node = tickGroup; node < this->nodes.size(); node += 5) {
                if (!this->isUp(node))
                    continue;
                this->runStep(node, [&](Node& entry, const MemberTable& table, DisseminationActions& actions) {
                    tickDissemination(entry.state, table, this->fleet.now, this->fleet.random, actions);
                });
            }
        }
    }

    /// Number of nodes that have adopted \a version or a newer one.
    std::size_t countAdopted(std::uint64_t version) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->nodes.begin(), this->nodes.end(), [&](const Node& node) { return node.state.version >= version; }));
    }

    /// Runs until all nodes have adopted \a version and returns the time taken, or nothing after \a limit.
    std::optional<milliseconds> timeToAll(std::uint64_t version, milliseconds limit)
    {
        const TimePoint start = this->fleet.now;
        while (this->fleet.now - start <= limit) {
            if (this->countAdopted(version) == this->nodes.size())
                return std::chrono::duration_cast<milliseconds>(this->fleet.now - start);
            this->runFor(milliseconds(10));
        }
        return std::nullopt;
    }

    membership::FakeFleet fleet;
    std::vector<Node> nodes;
    std::vector<bool> ignoresFetches
        = std::vector<bool>(this->nodes.size(), false); ///< The node never responds to a fetch.

private:
    enum class CallKind { Announce, Fetch, Response };
    struct Call {
        TimePoint time;
        std::uint64_t order = 0;
        CallKind kind = CallKind::Announce;
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t version = 0;
        std::uint64_t id = 0;

        bool operator<(const Call& other) const
        {
            return std::tie(this->time, this->order) > std::tie(other.time, other.order);
        }
    };

    bool isUp(std::size_t node) const { return this->fleet.nodes[node].running && !this->fleet.nodes[node].paused; }

    void adopt(std::size_t node, std::uint64_t version)
    {
        Node& entry = this->nodes[node];
        if (entry.state.version < version)
            entry.adoptedAt = this->fleet.now;
        this->runStep(node, [&](Node& target, const MemberTable& table, DisseminationActions& actions) {
            bundleAdopted(target.state, table, this->fleet.random, version, std::to_string(version), actions);
        });
        this->fleet.nodes[node].table.report.newestBundle = entry.state.version;
        this->fleet.nodes[node].table.report.newestDigest = entry.state.digest;
    }

    template <typename Run> void runStep(std::size_t node, Run run)
    {
        DisseminationActions actions;
        run(this->nodes[node], this->fleet.nodes[node].table, actions);
        for (const AnnounceAction& action : actions.announces) {
            ++this->nodes[node].announcesSent;
            this->call(CallKind::Announce, node, membership::FakeFleet::nodeOf(action.to), action.version, 0,
                announceOneWayTrips);
        }
        if (actions.fetch) {
            ++this->nodes[node].fetchesSent;
            const std::size_t source = membership::FakeFleet::nodeOf(actions.fetch->from);
            this->call(CallKind::Fetch, node, source, 0, actions.fetch->id, fetchOneWayTrips - 1);
        }
    }

    void call(
        CallKind kind, std::size_t from, std::size_t to, std::uint64_t version, std::uint64_t id, unsigned oneWayTrips)
    {
        if (this->fleet.isBlocked(from, to))
            return;
        milliseconds time { 0 };
        for (unsigned trip = 0; trip < oneWayTrips; ++trip) {
            time += delayBetween(from, to);
            while (randomUnit(this->fleet.random) < this->fleet.loss)
                time += retransmissionTimeout;
        }
        this->calls.push(Call { this->fleet.now + time, ++this->order, kind, from, to, version, id });
    }

    void handle(const Call& call)
    {
        if (!this->isUp(call.to))
            return;
        Node& node = this->nodes[call.to];
        if (call.kind == CallKind::Announce) {
            this->runStep(call.to, [&](Node& entry, const MemberTable& table, DisseminationActions& actions) {
                versionAnnounced(entry.state, table, this->fleet.now, this->fleet.random,
                    membership::FakeFleet::addressOf(call.from), call.version, actions);
            });
        } else if (call.kind == CallKind::Fetch && !this->ignoresFetches[call.to]) {
            ++node.bundlesServed;
            this->call(CallKind::Response, call.to, call.from, node.state.version, call.id, 1);
        } else if (call.kind == CallKind::Response && call.version > node.state.version) {
            fetchSucceeded(node.state, call.id);
            this->adopt(call.to, call.version);
        }
    }

    std::priority_queue<Call> calls;
    std::uint64_t order = 0;
};

} // namespace clementinefall::peers
