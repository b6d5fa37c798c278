#include "forwarding/memorybudget.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <vector>

using namespace clementinefall;
using namespace clementinefall::forwarding;

namespace {

constexpr std::uint64_t limit = 1'000'000;

MemoryUse useOf(std::uint64_t used) { return { .limitBytes = limit, .usedBytes = used }; }

} // namespace

TEST_CASE("How much of a message is read when servers send without end")
{
    SECTION("while there is room, much at once, whatever it holds already")
    {
        CHECK(readAllowance(useOf(0), 0) > guaranteedBytes);
        CHECK(readAllowance(useOf(600'000), 300'000) > guaranteedBytes);
    }

    SECTION("when memory is short, the guaranteed part and nothing more")
    {
        for (const std::uint64_t used : { 750'000, 950'000, 2'000'000 }) {
            CHECK(readAllowance(useOf(used), 0) == guaranteedBytes);
            CHECK(readAllowance(useOf(used), guaranteedBytes - 1) == 1);
            CHECK(readAllowance(useOf(used), guaranteedBytes) == 0);
            CHECK(readAllowance(useOf(used), 200'000) == 0);
        }
    }
}

TEST_CASE("Which caller's connection is closed when memory is exhausted")
{
    const std::vector<HeldConnection> connections { { 50'000, seconds(3) }, { 400'000, Duration {} },
        { 300'000, milliseconds(100) }, { 90'000, seconds(2) } };

    SECTION("the largest of those that do not read, however much those hold that do")
    {
        CHECK(connectionToClose(useOf(950'000), connections) == 3);
    }
    SECTION("none while it is only short") { CHECK_FALSE(connectionToClose(useOf(850'000), connections)); }
    SECTION("none when all read")
    {
        CHECK_FALSE(connectionToClose(useOf(950'000), std::span(connections).subspan(1, 2)));
    }
}

TEST_CASE("The account of a process")
{
    const auto budget = std::make_shared<MemoryBudget>(limit);
    std::vector<int> closed;
    const auto open = [&](int number) { return budget->open([&closed, number] { closed.push_back(number); }); };
    const auto connection = open(1);

    SECTION("has the bytes of all messages, and none after their end")
    {
        {
            MessageMemory request(connection);
            MessageMemory other(open(2));
            CHECK(request.reserveRequest(1000));
            request.holdResponse(300, "s1");
            request.holdEarlierResponse(20);
            other.holdRequest(5);
            CHECK(budget->use().usedBytes == 1325);
            CHECK(connection->bytes() == 1320);
            request.holdResponse(100, "s1");
            CHECK(budget->use().usedBytes == 1125);
        }
        CHECK(budget->use().usedBytes == 0);
        CHECK(connection->bytes() == 0);
        CHECK(budget->peakBytes() == 1325);
    }

    SECTION("takes no new request when it is exhausted, and goes on with those under way")
    {
        MessageMemory filling(connection);
        filling.holdResponse(850'000, "s1");
        MessageMemory request(connection);
        CHECK(request.reserveRequest(10'000));
        CHECK_FALSE(request.reserveRequest(100'000));
        CHECK(budget->use().usedBytes == 860'000);
        CHECK(request.readAllowance() == guaranteedBytes);
    }

    SECTION("has room left for small requests and for responses when uploads have taken their part")
    {
        std::vector<std::unique_ptr<MessageMemory>> uploads;
        bool isTaken = true;
        while (isTaken) {
            REQUIRE(uploads.size() < 100);
            uploads.push_back(std::make_unique<MessageMemory>(connection));
            isTaken = uploads.back()->reserveRequest(smallRequestBytes + 1);
        }
        CHECK(uploads.size() > 5);
        CHECK(budget->pressure() == MemoryPressure::None);
        MessageMemory small(connection);
        CHECK(small.reserveRequest(smallRequestBytes));
        CHECK_FALSE(small.reserveRequest(smallRequestBytes + 1));
        uploads.clear();
        CHECK(small.reserveRequest(smallRequestBytes + 1));
    }

    SECTION("closes callers that do not read, largest first, until memory suffices")
    {
        const TimePoint start = Clock::now();
        std::vector<std::shared_ptr<ConnectionMemory>> connections;
        std::vector<std::unique_ptr<MessageMemory>> messages;
        for (int number = 2; number < 6; ++number) {
            connections.push_back(open(number));
            connections.back()->recordWriteProgress(start);
            messages.push_back(std::make_unique<MessageMemory>(connections.back()));
            messages.back()->holdResponse(static_cast<std::uint64_t>(number) * 60'000, "s1");
        }
        MessageMemory reading(connection);
        reading.holdResponse(250'000, "s2");
        REQUIRE(budget->pressure() == MemoryPressure::Exhausted);
        budget->relieve(start + milliseconds(500));
        CHECK(closed.empty());
        budget->relieve(start + seconds(2));
        CHECK(closed == std::vector<int> { 5 });
        CHECK(budget->closedConnections() == 1);
    }

    SECTION("lets those go on that have waited longest, and no more of them than there is room for")
    {
        asio::io_context context;
        auto filling = std::make_unique<MessageMemory>(connection);
        filling->holdResponse(750'000, "s1");
        std::vector<int> resumed;
        const TimePoint now = Clock::now();
        for (const int number : { 3, 1, 2 }) {
            asio::co_spawn(
                context,
                [&, number]() -> Awaitable<void> {
                    co_await budget->waitForRoom(context.get_executor(), now + milliseconds(number));
                    resumed.push_back(number);
                },
                asio::detached);
        }
        context.poll();
        CHECK(resumed.empty());
        filling->holdResponse(690'000, "s1");
        context.poll();
        CHECK(resumed == std::vector<int> { 1 });
        filling.reset();
        context.poll();
        CHECK(resumed == std::vector<int> { 1, 2, 3 });
    }
}
