#include "forwarding/backendserver.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::forwarding;

TEST_CASE("A server that sends without end") {
  const TimePoint now = Clock::now();
  BackendServer server;
  REQUIRE(mayReceive(server, now));
  recordExcessiveResponse(server, now);

  SECTION("is left out for a moment") {
    CHECK_FALSE(mayReceive(server, now + milliseconds(200)));
    CHECK(mayReceive(server, now + milliseconds(300)));
  }
  SECTION("is left out for longer each time, and not for ever") {
    for (int i = 0; i < 20; ++i)
      recordExcessiveResponse(server, now);
    CHECK_FALSE(mayReceive(server, now + milliseconds(1900)));
    CHECK(mayReceive(server, now + milliseconds(2100)));
  }
  SECTION("is left out for a moment again after it has succeeded") {
    recordExcessiveResponse(server, now);
    recordAttempt(server, true);
    recordExcessiveResponse(server, now + seconds(5));
    CHECK(mayReceive(server, now + seconds(5) + milliseconds(300)));
  }
}
