#include "membership/fakefleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace clementinefall;
using namespace clementinefall::membership;

namespace {

constexpr std::size_t instanceCount = 12;
constexpr std::size_t zones = 6;

/// Returns the time until each running instance has \a node as dead, or 0 when that takes longer than 20 s.
milliseconds timeUntilDead(FakeFleet& network, std::size_t node)
{
    const TimePoint since = network.now;
    const auto running = static_cast<std::size_t>(std::count_if(
        network.nodes.begin(), network.nodes.end(), [](const FakeFleet::Node& entry) { return entry.running; }));
    while (network.now < since + seconds(20)) {
        network.runFor(milliseconds(50));
        if (network.countObservers(node, MemberState::Dead) == running)
            return std::chrono::duration_cast<milliseconds>(network.now - since);
    }
    return milliseconds(0);
}

} // namespace

TEST_CASE("Members discover each other and stay live")
{
    FakeFleet network(instanceCount, zones, 11);
    network.encode = true;
    network.runFor(seconds(8));
    REQUIRE(network.hasConverged());
    CHECK(std::all_of(network.nodes.begin(), network.nodes.end(),
        [](const FakeFleet::Node& node) { return isOfferable(node.table); }));

    SECTION("a steady fleet with 1% loss declares no member dead in ten minutes")
    {
        network.loss = 0.01;
        network.changes.clear();
        network.runFor(minutes(10));
        CHECK(network.countChanges(MemberState::Dead) == 0);
        network.loss = 0;
        network.runFor(seconds(10));
        CHECK(network.hasConverged());
    }

    SECTION("a stopped member is suspect within 2 s and dead in all tables within 5.5 s")
    {
        // Guards the detection bounds of the protocol.
        for (std::size_t node = 0; node < 6; ++node) {
            network.changes.clear();
            const TimePoint since = network.now;
            network.kill(node);
            const milliseconds time = timeUntilDead(network, node);
            CHECK(time > milliseconds(0));
            CHECK(time <= milliseconds(5500));
            CHECK(network.changes.front().change.record.state == MemberState::Suspect);
            CHECK(network.changes.front().time - since <= milliseconds(2000));
        }
    }

    SECTION("a leaving member changes from leaving to dead without becoming suspect")
    {
        StepResult result;
        leave(network.nodes[4].table, network.now, network.random, result);
        CHECK_FALSE(isOfferable(network.nodes[4].table));
        network.changes.clear();
        network.runFor(seconds(3));
        CHECK(network.countObservers(4, MemberState::Leaving) == instanceCount - 1);
        network.kill(4);
        CHECK(timeUntilDead(network, 4) > milliseconds(0));
        CHECK(network.countChanges(MemberState::Suspect) == 0);
    }

    SECTION("a live member refutes a suspicion before it is declared dead")
    {
        const MemberRecord suspected = findMember(network.nodes[0].table, FakeFleet::addressOf(5))->record;
        Message message;
        message.kind = MessageKind::Ping;
        message.sequence = network.nodes[1].table.sequence + 10;
        message.sender = network.nodes[1].table.self;
        message.updates = { suspected };
        message.updates.front().state = MemberState::Suspect;
        StepResult result;
        receive(network.nodes[0].table, network.now, network.random, message, result);
        REQUIRE(network.countObservers(5, MemberState::Suspect) == 1);
        network.changes.clear();
        network.runFor(seconds(6));
        CHECK(network.hasConverged());
        CHECK(network.countChanges(MemberState::Dead) == 0);
        CHECK(network.nodes[5].table.self.refutations == suspected.refutations + 1);
    }

    SECTION("a paused member rejoins with the same incarnation and does not suspect others")
    {
        const std::uint64_t incarnation = network.nodes[3].table.self.incarnation;
        network.pause(3);
        network.runFor(seconds(12));
        CHECK(network.countObservers(3, MemberState::Dead) == instanceCount - 1);
        network.changes.clear();
        network.resume(3);
        network.runFor(milliseconds(50));
        CHECK(network.nodes[3].resumed);
        network.runFor(seconds(8));
        CHECK(network.hasConverged());
        CHECK(isOfferable(network.nodes[3].table));
        CHECK(network.nodes[3].table.self.incarnation == incarnation);
        // Its probe deadlines expired during the pause, which must not make it suspect the others.
        CHECK(network.countChanges(MemberState::Dead) == 0);
        CHECK(network.countChanges(MemberState::Suspect) == 0);
    }

    SECTION("a new process at the same address replaces the previous incarnation")
    {
        const bool hasDied = GENERATE(false, true);
        const std::uint64_t replacedIncarnation = network.nodes[7].table.self.incarnation;
        network.kill(7);
        network.runFor(hasDied ? seconds(10) : seconds(0));
        network.start(7, zones, 3, instanceCount);
        network.runFor(seconds(8));
        CHECK(network.hasConverged());
        for (std::size_t i = 0; i < instanceCount; ++i) {
            const Member* member = findMember(network.nodes[i].table, FakeFleet::addressOf(7));
            if (i != 7)
                CHECK(member->retiredIncarnations == std::vector<std::uint64_t> { replacedIncarnation });
        }

        SECTION("and a late record of the replaced incarnation is ignored")
        {
            Message message;
            message.sequence = 1'000'000;
            message.sender = network.nodes[1].table.self;
            message.updates = { findMember(network.nodes[0].table, FakeFleet::addressOf(7))->record };
            message.updates.front().incarnation = replacedIncarnation;
            message.updates.front().refutations = 99;
            StepResult result;
            receive(network.nodes[0].table, network.now, network.random, message, result);
            CHECK(result.changes.empty());
            CHECK(network.hasConverged());
        }
    }

    SECTION("a paused process whose address is used by a new process is superseded")
    {
        MemberTable paused = network.nodes[2].table;
        network.start(2, zones, 3, instanceCount);
        network.runFor(seconds(8));
        Message message;
        message.sender = network.nodes[6].table.self;
        message.sequence = 1'000'000;
        message.updates = { findMember(network.nodes[6].table, FakeFleet::addressOf(2))->record };
        StepResult result;
        receive(paused, network.now, network.random, message, result);
        CHECK(result.superseded);
        CHECK_FALSE(isOfferable(paused));
    }
}

TEST_CASE("Members under one-way loss and partitions")
{
    FakeFleet network(instanceCount, zones, 12);
    network.runFor(seconds(8));
    REQUIRE(network.hasConverged());
    network.changes.clear();

    SECTION("one-way loss between two members declares no member dead, because of indirect probes")
    {
        network.isBlocked = [](std::size_t from, std::size_t to) { return from == 1 && to == 2; };
        network.runFor(minutes(2));
        CHECK(network.countChanges(MemberState::Dead) == 0);
    }

    SECTION("a member that cannot receive is declared dead and does not get others declared dead")
    {
        // Its suspicions of all other members still reach them and are refuted.
        network.isBlocked = [](std::size_t, std::size_t to) { return to == 5; };
        network.runFor(seconds(30));
        CHECK(network.countObservers(5, MemberState::Dead) == instanceCount - 1);
        const bool areOthersDead = std::any_of(
            network.changes.begin(), network.changes.end(), [](const FakeFleet::ObservedChange& observed) {
                return observed.observer != 5 && observed.change.record.state == MemberState::Dead
                    && FakeFleet::nodeOf(observed.change.record.address) != 5;
            });
        CHECK_FALSE(areOthersDead);
        network.isBlocked = [](std::size_t, std::size_t) { return false; };
        network.runFor(seconds(20));
        CHECK(network.hasConverged());
    }

    SECTION("both sides of a partition merge after an hour")
    {
        network.isBlocked = [](std::size_t from, std::size_t to) { return (from < 4) != (to < 4); };
        network.runFor(minutes(60));
        CHECK(network.countObservers(0, MemberState::Dead) == 8);
        CHECK(network.countObservers(11, MemberState::Dead) == 4);
        network.isBlocked = [](std::size_t, std::size_t) { return false; };
        network.runFor(seconds(20));
        CHECK(network.hasConverged());
    }
}

TEST_CASE("Rejected messages")
{
    Random random(5);
    const TimePoint now { seconds(50) };
    MemberRecord self { "a", "z", { "10.0.0.1", 1 }, 11 };
    MemberRecord peer { "b", "z", { "10.0.0.2", 1 }, 22 };
    MemberTable table = makeMemberTable(self, {}, now, random);
    Message message;
    message.sender = peer;
    message.sequence = 5;
    StepResult first;
    receive(table, now, random, message, first);
    REQUIRE(first.errors.empty());
    REQUIRE(first.sends.size() == 1);

    StepResult result;
    SECTION("a duplicate ping is not acknowledged") { receive(table, now, random, message, result); }
    SECTION("an ack without an outstanding probe is dropped")
    {
        message.kind = MessageKind::Ack;
        message.sequence = 6;
        receive(table, now, random, message, result);
    }
    SECTION("a message with the local address as sender is dropped")
    {
        message.sender = self;
        receive(table, now, random, message, result);
    }
    REQUIRE(result.errors.size() == 1);
    CHECK(result.errors.front().code == ResultCode::PeerBadMessage);
    CHECK(result.sends.empty());
    CHECK(table.members.size() == 1);
}

TEST_CASE("Network cost per instance does not grow with the fleet")
{
    struct Cost {
        double messages = 0;
        double bytes = 0;
    };
    const auto measure = [](FakeFleet& network, seconds time) {
        Cost cost;
        for (FakeFleet::Node& node : network.nodes)
            node.messagesSent = node.bytesSent = 0;
        network.runFor(time);
        const double perInstanceSecond
            = 1.0 / static_cast<double>(network.nodes.size()) / static_cast<double>(time.count());
        for (const FakeFleet::Node& node : network.nodes) {
            cost.messages += static_cast<double>(node.messagesSent) * perInstanceSecond;
            cost.bytes += static_cast<double>(node.bytesSent) * perInstanceSecond;
        }
        return cost;
    };
    FakeFleet small(12, 12, 21);
    FakeFleet large(200, 12, 22);
    small.encode = large.encode = true;

    SECTION("the cost is bounded when all instances start at once and read tables")
    {
        const Cost start = measure(large, seconds(30));
        CHECK(large.hasConverged());
        CHECK(start.messages <= 12.0);
        CHECK(start.bytes <= 5'000.0);
    }

    SECTION("dead members in other tables do not make a new instance read tables forever")
    {
        FakeFleet fleetWithDead(50, 12, 23);
        fleetWithDead.fillMemberTables();
        for (std::size_t node = 0; node < 20; ++node)
            fleetWithDead.kill(node);
        fleetWithDead.runFor(seconds(20));
        fleetWithDead.start(5, 12, 30, 50);
        fleetWithDead.runFor(seconds(20));
        REQUIRE(fleetWithDead.hasConverged());
        const std::size_t before = fleetWithDead.nodes[5].messagesSent;
        fleetWithDead.runFor(seconds(20));
        CHECK(fleetWithDead.nodes[5].messagesSent - before <= 20UL * 6);
    }

    SECTION("the cost of a steady fleet")
    {
        small.runFor(seconds(120));
        large.runFor(seconds(120));
        const Cost smallCost = measure(small, seconds(30));
        const Cost largeCost = measure(large, seconds(30));
        CHECK(largeCost.messages <= smallCost.messages * 1.1);
        CHECK(largeCost.messages <= 5.0);
        CHECK(largeCost.bytes <= smallCost.bytes * 1.5);
        CHECK(largeCost.bytes <= 800.0);
    }
}
