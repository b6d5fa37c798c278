#include "peers/membershiptransport.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace clementinefall;
using namespace clementinefall::peers;
namespace asio = boost::asio;
using membership::MemberState;

namespace {

/// Short periods, so that each test takes about a second on real sockets.
membership::Timing shortTiming()
{
    membership::Timing timing;
    timing.probePeriod = milliseconds(100);
    timing.ackTimeout = milliseconds(60);
    timing.probeTimeout = milliseconds(150);
    timing.suspicionBase = timing.suspicionMaximum = milliseconds(400);
    timing.joinPeriod = milliseconds(100);
    return timing;
}

std::shared_ptr<MembershipTransport> makeInstance(
    asio::io_context& context, unsigned index, unsigned char keyByte = 1, std::vector<std::string>* changes = nullptr)
{
    Random random(index + 100);
    const membership::MemberRecord self { "entry-" + std::to_string(index), "z", { "127.0.0.1", 0 }, index + 1000 };
    MembershipTransportSettings settings;
    settings.key.fill(keyByte);
    settings.tickPeriod = milliseconds(10);
    MembershipHandlers handlers;
    handlers.changed = [changes](const membership::MemberChange& change) {
        if (changes)
            changes->push_back(change.record.name + " " + std::string(memberStateName(change.record.state)));
    };
    auto table = membership::makeMemberTable(self, shortTiming(), Clock::now(), random);
    auto result = std::make_shared<MembershipTransport>(context, settings, table, random, handlers);
    REQUIRE(isOk(result->start()));
    return result;
}

/// Runs \a context until \a done returns true, for at most 10 s.
bool runUntil(asio::io_context& context, const std::function<bool()>& done)
{
    const TimePoint end = Clock::now() + seconds(10);
    while (!done() && Clock::now() < end)
        context.run_one_for(milliseconds(50));
    return done();
}

bool hasMemberInState(const MembershipTransport& observer, const MembershipTransport& other, MemberState state)
{
    const membership::Member* member = findMember(observer.table(), other.table().self.address);
    return member && member->record.state == state;
}

} // namespace

TEST_CASE("Membership over UDP sockets")
{
    asio::io_context context;
    std::vector<std::string> changes;
    std::vector<std::shared_ptr<MembershipTransport>> instances { makeInstance(context, 0, 1, &changes) };
    for (unsigned i = 1; i < 4; ++i) {
        instances.push_back(makeInstance(context, i));
        instances.back()->setHints({ instances.front()->table().self.address });
    }
    REQUIRE(runUntil(context, [&] {
        return std::all_of(instances.begin(), instances.end(),
            [](const auto& instance) { return fleetSize(instance->table()) == 4 && isOfferable(instance->table()); });
    }));

    SECTION("the report of an instance reaches the other members")
    {
        membership::InstanceReport report;
        report.newestBundle = 42;
        report.newestDigest = "digest";
        instances[2]->setReport(report);
        CHECK(runUntil(context, [&] { return newestBundle(instances[0]->table()).version == 42; }));
        CHECK(newestBundle(instances[0]->table()).source == instances[2]->table().self.address);
    }

    SECTION("a stopped instance is detected as dead")
    {
        instances[3]->stop();
        CHECK(runUntil(context, [&] { return hasMemberInState(*instances[0], *instances[3], MemberState::Dead); }));
        CHECK(std::find(changes.begin(), changes.end(), "entry-3 dead") != changes.end());
    }

    SECTION("a leaving instance is marked as leaving by the others")
    {
        instances[3]->leave();
        CHECK(runUntil(context, [&] { return hasMemberInState(*instances[0], *instances[3], MemberState::Leaving); }));
    }

    SECTION("datagrams with a wrong key or invalid content are counted and do not change the member table")
    {
        const auto foreignInstance = makeInstance(context, 9, 2);
        foreignInstance->setHints({ instances.front()->table().self.address });
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        const auto& address = instances.front()->table().self.address;
        socket.send_to(asio::buffer(std::string(3000, 'x')), { asio::ip::make_address(address.host), address.port });
        CHECK(runUntil(context, [&] {
            const MembershipCounters& counters = instances.front()->counters();
            return counters.rejectedAuthenticators > 0 && counters.rejectedMessages > 0;
        }));
        CHECK(instances.front()->table().members.size() == 3);
        CHECK_FALSE(isOfferable(foreignInstance->table()));
        foreignInstance->stop();
    }

    for (const auto& instance : instances)
        instance->stop();
    context.run_for(milliseconds(50));
}
