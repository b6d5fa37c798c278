#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace clementinefall::requests {

constexpr seconds maximumIdleTime { 15 };
constexpr seconds maximumConnectionAge { 120 };

/// What the pool knows of one connection.
struct ConnectionState {
    TimePoint opened;
    TimePoint lastUsed;
    Duration maximumAge = maximumConnectionAge; ///< From jitteredAge().
    std::uint64_t exchanges = 0; ///< Finished ones; 0 for a connection that was never used.
};

/// Age at which a connection is closed: 80% to 100% of maximumConnectionAge, so that connections opened together do
/// not all close together.
Duration jitteredAge(Random& random);

enum class ConnectionUse : std::uint8_t {
    Reuse,
    CloseIdle,
    CloseAged,
    ReplaceSuspect, ///< Opened before a silent timeout; close it when a replacement may be opened.
};

/// Suspicion against the connections to one backend server.
struct ServerSuspicion {
    TimePoint openedBefore = TimePoint::min(); ///< Connections opened before this time are suspect.
    bool isReplacing = false; ///< One replacement is being opened.
};

/// Decides on an idle pooled connection.
ConnectionUse decideUse(const ConnectionState& connection, const ServerSuspicion& suspicion, TimePoint now);

/// Notes that an exchange timed out. Returns true when this makes the server's older connections suspect: the
/// connection was reused and no byte of the answer arrived. A new connection that times out tells of a slow server.
bool recordTimeout(ServerSuspicion& suspicion, const ConnectionState& connection, bool receivedAnyByte, TimePoint now);

/// Allows the replacement of a suspect connection; at most one is being opened at a time. The caller must report its
/// end to endReplacement().
bool beginReplacement(ServerSuspicion& suspicion);
void endReplacement(ServerSuspicion& suspicion);

/// Token bucket for rare actions against one server.
class TokenBucket {
public:
    /// At most \a burst at once and then one every \a interval.
    TokenBucket(Duration refillInterval, unsigned burst)
        : interval(refillInterval)
        , capacity(burst)
    {
    }

    bool take(TimePoint now);

    /// Earliest time at which take() succeeds.
    TimePoint availableAt(TimePoint now) const;

private:
    Duration interval;
    unsigned capacity;
    TimePoint fullAt = TimePoint::min(); ///< When the bucket is full again if nothing more is taken.
};

/// New connections to one backend server: 8 a second with a burst of 4. At about 1 ms per connection one instance
/// costs a server less than 1% of its time.
TokenBucket newConnectionBucket();

/// Probes of one backend server: one per 5 s.
TokenBucket probeBucket();

/// Instance of the zone that probes \a server: the highest rendezvous hash. Empty without instances.
std::string_view probingInstance(std::string_view server, std::span<const std::string> instancesOfZone);

/// Wait before attempt number \a failures + 1 to connect to a server again: uniform between zero and a bound that
/// doubles from 250 ms to 8 s. Instances that lost their connections together thus reconnect spread over the bound.
Duration reconnectDelay(unsigned failures, Random& random);

/// Time to wait for the first byte of an answer: three times the observed 99.9th percentile, at least 50 ms, and never
/// beyond the deadline. Without observations the deadline alone counts.
Duration firstByteTimeout(std::optional<Duration> p999, Duration left);

} // namespace clementinefall::requests
