#pragma once

#include "base/random.h"
#include "membership/memberstep.h"
#include "membership/messagecodec.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace clementinefall::membership {

/// Simulates instances on a network in one process with simulated time, for tests and benchmarks.
class FakeFleet {
public:
    struct Node {
        MemberTable table;
        bool running = true;
        bool paused = false;
        std::vector<Message> buffer; ///< Messages received while paused, like a socket buffer.
        std::size_t messagesSent = 0;
        std::size_t bytesSent = 0;
        std::size_t rejected = 0; ///< Number of rejected messages.
        bool resumed = false;
        bool superseded = false;
    };

    struct ObservedChange {
        TimePoint time;
        std::size_t observer = 0;
        MemberChange change;
    };

    /// Assigns the instances to \a zones zones in turn. Each has \a joinAddressCount others as join addresses.
    FakeFleet(std::size_t count, std::size_t zones, std::uint64_t seed, const Timing& fleetTiming = {},
        std::size_t joinAddressCount = 3)
        : random(seed)
        , timing(fleetTiming)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->nodes.push_back(Node {});
            this->start(i, zones, joinAddressCount, count);
        }
    }

    static HostPort addressOf(std::size_t node)
    {
        return { "10." + std::to_string(node / 250) + ".0." + std::to_string(1 + node % 250), 7000 };
    }

    static std::size_t nodeOf(const HostPort& address)
    {
        const std::size_t dot = address.host.find('.', 3);
        const std::size_t last = address.host.rfind('.');
        return std::stoul(address.host.substr(3, dot - 3)) * 250 + std::stoul(address.host.substr(last + 1)) - 1;
    }

    /// Starts a new process, with a new incarnation, at the address of \a node.
    void start(std::size_t node, std::size_t zones, std::size_t joinAddressCount, std::size_t count)
    {
        MemberRecord self;
        self.name = "entry-" + std::to_string(node);
        self.zone = "zone-" + std::to_string(node % zones);
        self.address = addressOf(node);
        self.incarnation = this->random() | 1U;
        Node fresh;
        fresh.table = makeMemberTable(self, this->timing, this->now, this->random);
        for (std::size_t i = 1; i <= joinAddressCount; ++i)
            fresh.table.joinAddresses.push_back(addressOf((node + i) % count));
        this->nodes[node] = std::move(fresh);
    }

    /// Adds each instance to all tables, so that a run starts with a converged fleet.
    void fillMemberTables()
    {
        for (Node& node : this->nodes) {
            for (const Node& other : this->nodes) {
                if (&node != &other && !findMember(node.table, other.table.self.address))
                    addMember(node.table, other.table.self, this->now);
            }
        }
    }

    void kill(std::size_t node) { this->nodes[node].running = false; }
    void pause(std::size_t node) { this->nodes[node].paused = true; }

    void resume(std::size_t node)
    {
        Node& resumed = this->nodes[node];
        resumed.paused = false;
        for (const Message& message : std::exchange(resumed.buffer, {}))
            this->deliver(node, message);
    }

    void runFor(milliseconds time)
    {
        const TimePoint end = this->now + time;
        while (this->now < end) {
            this->now += milliseconds(5);
            while (!this->queue.empty() && this->queue.top().time <= this->now) {
                const Delivery delivery = this->queue.top();
                this->queue.pop();
                this->deliver(delivery.to, *delivery.message);
            }
            // Each instance ticks every 50 ms; a tenth of the instances ticks every 5 ms.
            const std::size_t slot = static_cast<std::size_t>(this->now.time_since_epoch() / milliseconds(5)) % 10;
            for (std::size_t node = slot; node < this->nodes.size(); node += 10)
                this->tickNode(node);
        }
    }

    /// Returns the number of running instances, without \a node itself, that have \a node in \a state.
    std::size_t countObservers(std::size_t node, MemberState state) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            const Member* member = findMember(this->nodes[i].table, addressOf(node));
            if (i != node && this->nodes[i].running && member && member->record.state == state)
                ++count;
        }
        return count;
    }

    /// True when each running instance has all other running ones as live with their current incarnation.
    bool hasConverged() const
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            for (std::size_t j = 0; j < this->nodes.size(); ++j) {
                if (i == j || !this->nodes[i].running || !this->nodes[j].running)
                    continue;
                const Member* member = findMember(this->nodes[i].table, addressOf(j));
                if (!member || member->record.state != MemberState::Live
                    || member->record.incarnation != this->nodes[j].table.self.incarnation)
                    return false;
            }
        }
        return true;
    }

    std::size_t countChanges(MemberState state) const
    {
        std::size_t count = 0;
        for (const ObservedChange& observed : this->changes)
            count += observed.change.record.state == state ? 1 : 0;
        return count;
    }

    Random random;
    Timing timing;
    TimePoint now { seconds(1000) };
    std::vector<Node> nodes;
    std::vector<ObservedChange> changes;
    double loss = 0; ///< Fraction of the messages that are lost.
    bool encode = false; ///< Encodes and decodes each message, and counts the bytes.
    std::function<bool(std::size_t from, std::size_t to)> isBlocked = [](std::size_t, std::size_t) { return false; };
    std::function<milliseconds(std::size_t from, std::size_t to)> delay
        = [](std::size_t, std::size_t) { return milliseconds(5); };

private:
    struct Delivery {
        TimePoint time;
        std::uint64_t order = 0;
        std::size_t to = 0;
        std::shared_ptr<const Message> message;

        bool operator<(const Delivery& other) const
        {
            return std::tie(this->time, this->order) > std::tie(other.time, other.order);
        }
    };

    void tickNode(std::size_t node)
    {
        Node& instance = this->nodes[node];
        if (!instance.running || instance.paused)
            return;
        StepResult result;
        tick(instance.table, this->now, this->random, result);
        this->apply(node, result);
    }

    void deliver(std::size_t node, const Message& message)
    {
        Node& instance = this->nodes[node];
        if (!instance.running)
            return;
        if (instance.paused) {
            instance.buffer.push_back(message);
            return;
        }
        StepResult result;
        receive(instance.table, this->now, this->random, message, result);
        this->apply(node, result);
    }

    void apply(std::size_t node, StepResult& result)
    {
        Node& instance = this->nodes[node];
        instance.resumed |= result.resumed;
        instance.superseded |= result.superseded;
        instance.rejected += result.errors.size();
        for (MemberChange& change : result.changes)
            this->changes.push_back(ObservedChange { this->now, node, std::move(change) });
        for (OutgoingMessage& outgoing : result.sends)
            this->transmit(node, std::move(outgoing));
    }

    void transmit(std::size_t from, OutgoingMessage outgoing)
    {
        ++this->nodes[from].messagesSent;
        if (this->encode) {
            const ClusterKey key {};
            const auto datagram = encodeMessage(outgoing.message, key);
            this->nodes[from].bytesSent += valueOf(datagram).size();
            const auto decoded = decodeMessage(valueOf(datagram), key);
            outgoing.message = valueOf(decoded);
        }
        const std::size_t to = nodeOf(outgoing.to);
        if (to >= this->nodes.size() || this->isBlocked(from, to) || randomUnit(this->random) < this->loss)
            return;
        this->queue.push(Delivery { this->now + this->delay(from, to), ++this->order, to,
            std::make_shared<const Message>(std::move(outgoing.message)) });
    }

    std::priority_queue<Delivery> queue;
    std::uint64_t order = 0;
};

} // namespace clementinefall::membership
