#include "backend/filler.h"
#include "backend/serverprofile.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::backend;

TEST_CASE("Server profile")
{
    SECTION("service times have the requested mean, so that the slots give the planned capacity")
    {
        Random random(7);
        constexpr int draws = 20'000;
        Duration sum {};
        for (int i = 0; i < draws; ++i)
            sum += randomServiceTime(milliseconds(8), random);
        const double meanMs = std::chrono::duration<double, std::milli>(sum).count() / draws;
        CHECK(meanMs == Approx(8.0).epsilon(0.05));
    }

    SECTION("the cold factor falls linearly to 1 and never below, so that a server is not faster than a warm one")
    {
        const ServerProfile profile;
        CHECK(coldServiceFactor(profile, seconds(0)) == Approx(4.0));
        CHECK(coldServiceFactor(profile, milliseconds(2500)) == Approx(2.5));
        CHECK(coldServiceFactor(profile, seconds(5)) == 1.0);
        CHECK(coldServiceFactor(profile, seconds(500)) == 1.0);
    }

    SECTION("a report with a lag gives the state at that age, also when nothing was recorded for long")
    {
        const TimePoint start {};
        const milliseconds lag(100);
        LoadHistory history;
        CHECK(history.at(start) == LoadReport {});
        history.record(start + milliseconds(10), { 1, 0, false }, lag);
        history.record(start + milliseconds(50), { 2, 1, false }, lag);
        history.record(start + milliseconds(140), { 3, 0, true }, lag);
        CHECK(history.at(start + milliseconds(149) - lag) == LoadReport { 1, 0, false });
        CHECK(history.at(start + milliseconds(150) - lag) == LoadReport { 2, 1, false });
        CHECK(history.at(start + seconds(60) - lag) == LoadReport { 3, 0, true });
    }
}

TEST_CASE("Filler bytes")
{
    SECTION("bytes at any offset equal that part of the whole sequence, so that a body can be checked in pieces")
    {
        std::string whole(1000, '\0');
        fillBytes("e1.a.7", 0, whole);
        for (std::size_t offset = 0; offset < 40; ++offset) {
            std::string piece(offset + 3, '\0');
            fillBytes("e1.a.7", offset, piece);
            CHECK(piece == whole.substr(offset, piece.size()));
        }
    }

    SECTION("two identities have different bytes, so that a response to another request is detected")
    {
        std::string one(16, '\0');
        std::string other(16, '\0');
        fillBytes("e1.a.7", 0, one);
        fillBytes("e1.a.8", 0, other);
        CHECK(one != other);
    }
}
