#include "forwarding/heartbeatexchange.h"
#include "forwarding/instancetable.h"
#include "forwarding/placement.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

const TimePoint start { seconds(1000) };

InstanceInfo instanceOf(const std::string& name, const std::string& zone, const std::string& region, std::uint16_t port)
{
    return { .name = name,
        .zone = zone,
        .region = region,
        .callers = { "127.0.0.1", port },
        .heartbeats = { "127.0.0.1", static_cast<std::uint16_t>(port + 1) },
        .incarnation = port };
}

Heartbeat heartbeatOf(const InstanceInfo& info, InstanceState state)
{
    Heartbeat heartbeat;
    heartbeat.name = info.name;
    heartbeat.incarnation = info.incarnation;
    heartbeat.state = state;
    return heartbeat;
}

} // namespace

TEST_CASE("Entry instances in lookup responses")
{
    InstanceTable table(instanceOf("self", "a", "north", 100));
    const InstanceInfo neighbour = instanceOf("neighbour", "a", "north", 200);
    const InstanceInfo other = instanceOf("other", "b", "north", 300);
    const InstanceInfo far = instanceOf("far", "c", "south", 400);
    table.setRegistered({ neighbour, other, far, instanceOf("self", "a", "north", 100) }, start);
    const auto ports = [&table](const std::string& zone, const std::string& region, bool ready, TimePoint at) {
        std::vector<int> result;
        for (const HostPort& address : table.callerAddresses(zone, region, ready, 64, at))
            result.push_back(address.port);
        return result;
    };

    SECTION("callers get the instances of their zone, even if it is not the local one")
    {
        CHECK(ports("a", "north", true, start) == std::vector<int> { 100, 200 });
        CHECK(ports("c", "south", true, start) == std::vector<int> { 400 });
    }

    SECTION("a dead instance is listed for a few heartbeat intervals at most")
    {
        CHECK(ports("a", "north", true, start + milliseconds(3100)) == std::vector<int> { 100 });
        CHECK(ports("b", "north", true, start + milliseconds(3100)) == std::vector<int> { 100 });
    }

    SECTION("callers are not sent to instances that reach no backend server")
    {
        const auto report = [&table](const InstanceInfo& info, bool isStranded) {
            Heartbeat heartbeat = heartbeatOf(info, InstanceState::Ready);
            heartbeat.isStranded = isStranded;
            REQUIRE(table.recordHeartbeat(heartbeat, start));
        };
        report(neighbour, true);
        CHECK(ports("a", "north", true, start) == std::vector<int> { 100 });

        SECTION("those of a zone with fewer than half of its instances are shared by the region")
        {
            table.setStranded(true);
            CHECK(ports("a", "north", true, start) == std::vector<int> { 300 });
            report(other, true);
            CHECK(ports("a", "north", true, start) == std::vector<int> { 400 });
        }
        SECTION("unless none reaches any")
        {
            table.setStranded(true);
            report(other, true);
            report(far, true);
            CHECK(ports("a", "north", true, start) == std::vector<int> { 100, 200 });
        }
        SECTION("until they reach them again")
        {
            report(neighbour, false);
            CHECK(ports("a", "north", true, start) == std::vector<int> { 100, 200 });
        }
        SECTION("and requests pass only to instances that reach servers and accept them")
        {
            InstanceInfo accepting = other;
            accepting.requests = { "127.0.0.1", 302 };
            table.add(accepting, start);
            const std::vector<Peer> peers = table.peers(start);
            REQUIRE(peers.size() == 1);
            CHECK(peers.front().address.port == 302);
            report(accepting, true);
            CHECK(table.peers(start).empty());
        }
    }

    SECTION("heartbeats keep an instance listed during an outage of the store")
    {
        CHECK(table.recordHeartbeat(heartbeatOf(neighbour, InstanceState::Ready), start + seconds(60)));
        CHECK(ports("a", "north", true, start + seconds(62)) == std::vector<int> { 100, 200 });
    }

    SECTION("a stopping instance is no longer listed")
    {
        table.recordHeartbeat(heartbeatOf(neighbour, InstanceState::Stopping), start);
        CHECK(ports("a", "north", true, start) == std::vector<int> { 100 });
    }

    SECTION("heartbeats of an earlier incarnation do not revive an instance")
    {
        Heartbeat old = heartbeatOf(neighbour, InstanceState::Ready);
        old.incarnation = 1;
        CHECK_FALSE(table.recordHeartbeat(old, start + seconds(10)));
        CHECK(ports("a", "north", true, start + seconds(10)) == std::vector<int> { 100 });
    }

    SECTION("after the store was restored from a copy")
    {
        const TimePoint restored = start + seconds(60);
        table.remove("far");
        table.recordHeartbeat(heartbeatOf(neighbour, InstanceState::Ready), restored);
        InstanceInfo outdated = neighbour;
        outdated.incarnation = 17;
        table.setRegisteredAfterRestore({ outdated, far }, restored);

        SECTION("a live instance stays listed, although its registration is out of date")
        {
            CHECK(ports("a", "north", true, restored) == std::vector<int> { 100, 200 });
            CHECK(table.recordHeartbeat(heartbeatOf(neighbour, InstanceState::Ready), restored + seconds(1)));
        }
        SECTION("an instance that was stopped before does not return to the lookups")
        {
            CHECK(ports("c", "south", true, restored) == std::vector<int> { 100, 200 });
            CHECK(table.recordHeartbeat(heartbeatOf(far, InstanceState::Ready), restored + seconds(1)));
            CHECK(ports("c", "south", true, restored + seconds(1)) == std::vector<int> { 400 });
        }
    }

    SECTION("without a ready instance in the zone, those of the region are listed, or else all")
    {
        CHECK(ports("a", "north", false, start) == std::vector<int> { 200 });
        table.remove("neighbour");
        CHECK(ports("a", "north", false, start) == std::vector<int> { 300 });
        table.remove("other");
        CHECK(ports("a", "north", false, start) == std::vector<int> { 400 });
    }

    SECTION("the number of listed instances is bounded")
    {
        std::vector<InstanceInfo> many;
        for (std::uint16_t i = 0; i < 200; ++i)
            many.push_back(instanceOf("m" + std::to_string(i), "a", "north", static_cast<std::uint16_t>(1000 + i)));
        table.setRegistered(many, start);
        CHECK(table.callerAddresses("a", "north", true, 64, start).size() == 64);
    }
}

TEST_CASE("Heartbeats")
{
    Heartbeat heartbeat;
    heartbeat.name = "self";
    heartbeat.incarnation = 77;
    heartbeat.state = InstanceState::Ready;
    heartbeat.inFlight = { { "s1", 3 } };
    heartbeat.regionUtilization = { { "stock", 0.5 } };
    requests::CrashMark mark;
    mark.fingerprint = { 1, 2 };
    mark.service = "stock";
    mark.server = "s1";
    mark.reporter = 9;
    mark.number = 1;
    mark.inFlight = 2;
    mark.at = start - milliseconds(400);
    heartbeat.crashMarks = { mark };

    SECTION("a heartbeat is decoded as it was encoded, with times relative to its arrival")
    {
        const Result<Heartbeat> read = decodeHeartbeat(encodeHeartbeat(heartbeat, start), start + seconds(100));
        REQUIRE(isOk(read));
        CHECK(valueOf(read).name == "self");
        CHECK(valueOf(read).state == InstanceState::Ready);
        CHECK(valueOf(read).inFlight == heartbeat.inFlight);
        CHECK(valueOf(read).regionUtilization == heartbeat.regionUtilization);
        REQUIRE(valueOf(read).crashMarks.size() == 1);
        CHECK(valueOf(read).crashMarks[0].at == start + seconds(100) - milliseconds(400));
        CHECK_FALSE(valueOf(read).crashMarks[0].run);
        CHECK_FALSE(valueOf(read).crashMarks[0].isConfirmed);
    }

    SECTION("what is known of a crash, and that a request is harmless, arrive as they were sent")
    {
        heartbeat.crashMarks[0].run = requests::ReportedRun { .sent = milliseconds(5000), .lost = milliseconds(5400) };
        heartbeat.crashMarks[0].isConfirmed = true;
        heartbeat.crashMarks[0].hasSurvivors = true;
        heartbeat.clearings = { { { 3, 4 }, start - microseconds(400), "answered" } };
        const Result<Heartbeat> read = decodeHeartbeat(encodeHeartbeat(heartbeat, start), start);
        REQUIRE(isOk(read));
        REQUIRE(valueOf(read).crashMarks.size() == 1);
        const requests::CrashMark& received = valueOf(read).crashMarks[0];
        REQUIRE(received.run);
        CHECK(received.run->sent == milliseconds(5000));
        CHECK(received.run->lost == milliseconds(5400));
        CHECK(received.isConfirmed);
        CHECK(received.hasSurvivors);
        REQUIRE(valueOf(read).clearings.size() == 1);
        CHECK(valueOf(read).clearings[0].fingerprint == requests::Fingerprint { 3, 4 });
        CHECK(valueOf(read).clearings[0].at == start - milliseconds(1));
    }

    SECTION("a run with impossible times is not known")
    {
        heartbeat.crashMarks[0].run = requests::ReportedRun { .sent = milliseconds(5400), .lost = milliseconds(5000) };
        const Result<Heartbeat> read = decodeHeartbeat(encodeHeartbeat(heartbeat, start), start);
        REQUIRE(isOk(read));
        CHECK_FALSE(valueOf(read).crashMarks[0].run);
    }

    SECTION("of more crash marks than fit, the first are sent")
    {
        // Guards against a heartbeat that left out all marks when there were too many.
        for (unsigned i = 0; i < 40; ++i) {
            heartbeat.crashMarks.push_back(mark);
            heartbeat.crashMarks.back().number = 100 + i;
        }
        const std::string text = encodeHeartbeat(heartbeat, start);
        CHECK(text.size() <= maximumHeartbeatBytes);
        const Result<Heartbeat> read = decodeHeartbeat(text, start);
        REQUIRE(isOk(read));
        REQUIRE(valueOf(read).crashMarks.size() >= 3);
        CHECK(valueOf(read).crashMarks[0].number == 1);
        CHECK(valueOf(read).crashMarks[1].number == 100);
    }

    SECTION("a heartbeat never exceeds one datagram")
    {
        for (int i = 0; i < 500; ++i)
            heartbeat.inFlight["server-" + std::to_string(i)] = 1;
        const std::string text = encodeHeartbeat(heartbeat, start);
        CHECK(text.size() <= maximumHeartbeatBytes);

        SECTION("and keeps the most loaded servers instead of dropping all of them")
        {
            const Result<Heartbeat> read = decodeHeartbeat(text, start);
            REQUIRE(isOk(read));
            CHECK(valueOf(read).inFlight.size() > 20);
            CHECK(valueOf(read).inFlight.at("s1") == 3);
        }
    }

    SECTION("malformed heartbeats are reported as errors")
    {
        for (const std::string text :
            { "", "{}", "[]", "{\"version\":1}", "\xff\xfe", "{\"version\":2,\"name\":\"x\"}" })
            CHECK_FALSE(isOk(decodeHeartbeat(text, start)));
    }

    SECTION("the heartbeat interval is short enough for the instance to count as live in fleets of any size")
    {
        const HeartbeatTiming timing;
        for (const std::size_t others : { 1, 11, 86, 299 }) {
            CHECK(heartbeatInterval(timing, true, others) <= InstanceTable::livenessTimeout / 2);
            CHECK(heartbeatInterval(timing, false, others) <= InstanceTable::livenessTimeout / 2);
        }
    }
}

TEST_CASE("Heartbeats of an instance that reaches no backend server say so")
{
    Heartbeat heartbeat = heartbeatOf(instanceOf("self", "a", "north", 100), InstanceState::Ready);
    for (const bool isStranded : { false, true }) {
        heartbeat.isStranded = isStranded;
        const Result<Heartbeat> decoded = decodeHeartbeat(encodeHeartbeat(heartbeat, start), start);
        REQUIRE(isOk(decoded));
        CHECK(valueOf(decoded).isStranded == isStranded);
    }
}

TEST_CASE("Instances of zones that are too small for a watcher")
{
    InstanceTable table(instanceOf("self", "a", "north", 100));
    table.setRegistered({ instanceOf("neighbour", "a", "north", 200), instanceOf("b1", "b", "north", 300),
                            instanceOf("b2", "b", "north", 400), instanceOf("b3", "b", "north", 500) },
        start);
    const auto names = [&table](TimePoint at) {
        std::vector<std::string> result;
        for (const InstanceInfo& info : table.liveInSmallZones(2, at))
            result.push_back(info.name);
        return result;
    };

    SECTION("are those of the local zone and of others, without the zones that have a watcher")
    {
        CHECK(names(start) == std::vector<std::string> { "self", "neighbour" });
    }
    SECTION("join them when their zone shrinks, and leave when they stop")
    {
        table.recordHeartbeat(heartbeatOf(instanceOf("b3", "b", "north", 500), InstanceState::Stopping), start);
        table.recordHeartbeat(heartbeatOf(instanceOf("neighbour", "a", "north", 200), InstanceState::Stopping), start);
        CHECK(names(start) == std::vector<std::string> { "self", "b1", "b2" });
    }
    SECTION("are this one alone when no other is heard of")
    {
        CHECK(names(start + seconds(4)) == std::vector<std::string> { "self" });
    }
}

TEST_CASE("Senders to a cold server while instances cannot hear of each other")
{
    std::vector<InstanceInfo> fleet;
    for (std::uint16_t i = 0; i < 8; ++i)
        fleet.push_back(instanceOf("entry-" + std::to_string(i), i % 2 == 0 ? "a" : "b", "north", 100 + 10 * i));
    std::vector<InstanceTable> tables;
    tables.reserve(fleet.size());
    for (const InstanceInfo& info : fleet)
        tables.emplace_back(info);
    const auto sendersOf = [&](const std::string& server, TimePoint at) {
        std::size_t senders = 0;
        for (const InstanceTable& table : tables)
            senders += isColdServerSender(server, table.localInstance().name, table.coldSenderCandidates(at)) ? 1 : 0;
        return senders;
    };

    SECTION("instances that have no list of the others yet do not flood it") { CHECK(sendersOf("s1", start) == 0); }

    SECTION("instances that a network partition separates do not flood it")
    {
        for (InstanceTable& table : tables)
            table.setRegistered(fleet, start);
        const TimePoint separated = start + InstanceTable::livenessTimeout + seconds(5);
        for (const std::string server : { "s1", "s2", "s3", "s4" }) {
            CHECK(sendersOf(server, start) == sendersPerColdServer);
            CHECK(sendersOf(server, separated) == sendersPerColdServer);
        }

        SECTION("also when half of them restart meanwhile, and the store has the others registered")
        {
            for (std::size_t i = 0; i < tables.size(); i += 2) {
                fleet[i].incarnation += 1;
                tables[i] = InstanceTable(fleet[i]);
            }
            for (InstanceTable& table : tables)
                table.setRegistered(fleet, separated);
            CHECK(sendersOf("s1", separated + seconds(10)) == sendersPerColdServer);
        }
    }

    SECTION("an instance that is gone for good makes room for another sender")
    {
        tables.front().setRegistered(fleet, start);
        CHECK(tables.front().coldSenderCandidates(start).size() == fleet.size());
        CHECK(tables.front().coldSenderCandidates(start + InstanceTable::senderRetention).size() == 1);
    }
}

TEST_CASE("What an instance is told of the store and of cold servers")
{
    InstanceTable table(instanceOf("self", "a", "north", 100));
    const InstanceInfo neighbour = instanceOf("neighbour", "a", "north", 200);
    const InstanceInfo near = instanceOf("near", "b", "north", 300);
    const InstanceInfo far = instanceOf("far", "c", "south", 400);
    table.setRegistered({ neighbour, near, far }, start);
    const auto report = [&](const InstanceInfo& info, Duration age) {
        Heartbeat heartbeat = heartbeatOf(info, InstanceState::Ready);
        heartbeat.reports.resize(2);
        heartbeat.reports[0].age = milliseconds(10);
        heartbeat.reports[1].age = age;
        REQUIRE(table.recordHeartbeat(heartbeat, start));
    };
    const auto ports = [&](TimePoint now) {
        std::vector<int> result;
        for (const HostPort& address : table.knowingStore(seconds(2), now))
            result.push_back(address.port);
        return result;
    };

    SECTION("instances that know the state of the store are found, those of the region first")
    {
        CHECK(ports(start).empty());
        report(far, milliseconds(100));
        report(near, milliseconds(1900));
        report(neighbour, milliseconds(2100));
        CHECK(ports(start) == std::vector<int> { 301, 401 });
        CHECK(ports(start + milliseconds(200)) == std::vector<int> { 401 });
        CHECK(ports(start + milliseconds(2000)).empty());
    }

    SECTION("one of those that ask servers asks each of them")
    {
        const auto asks = [&](const std::string& zone, const std::string& region) {
            unsigned count = 0;
            for (int i = 0; i < 100; ++i)
                count += table.asksServer("s" + std::to_string(i), zone, region, start) ? 1U : 0U;
            return count;
        };
        CHECK(asks("a", "north") == 100);
        for (const InstanceInfo* info : { &neighbour, &far }) {
            Heartbeat heartbeat = heartbeatOf(*info, InstanceState::Ready);
            heartbeat.asksServers = true;
            REQUIRE(table.recordHeartbeat(heartbeat, start));
        }
        CHECK(asks("a", "north") > 20);
        CHECK(asks("a", "north") < 80);
        CHECK(asks("b", "north") > 20);
        CHECK(asks("c", "south") == 0);
        CHECK(table.asksServer("s1", "c", "south", start + InstanceTable::livenessTimeout));
    }

    SECTION("cold servers arrive with the time that remains, as many as fit")
    {
        Heartbeat heartbeat = heartbeatOf(neighbour, InstanceState::Ready);
        heartbeat.asksServers = true;
        heartbeat.coldServers = { { "s1", microseconds(2999500) }, { "s2", std::chrono::hours(5) } };
        Result<Heartbeat> read = decodeHeartbeat(encodeHeartbeat(heartbeat, start), start + seconds(9));
        REQUIRE(isOk(read));
        CHECK(valueOf(read).asksServers);
        CHECK(valueOf(read).coldServers.at("s1") == milliseconds(3000));
        CHECK(valueOf(read).coldServers.at("s2") == maximumColdTime);
        for (int i = 0; i < 300; ++i)
            heartbeat.coldServers["server-" + std::to_string(i)] = seconds(1);
        read = decodeHeartbeat(encodeHeartbeat(heartbeat, start), start);
        REQUIRE(isOk(read));
        CHECK(valueOf(read).coldServers.size() >= 16);
        heartbeat = heartbeatOf(neighbour, InstanceState::Ready);
        read = decodeHeartbeat(encodeHeartbeat(heartbeat, start), start);
        REQUIRE(isOk(read));
        CHECK_FALSE(valueOf(read).asksServers);
        CHECK(valueOf(read).coldServers.empty());
    }
}
