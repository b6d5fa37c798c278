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

/// State of one pooled connection.
struct ConnectionState {
    TimePoint opened;
    TimePoint lastUsed;
    Duration maximumAge = maximumConnectionAge; ///< From jitteredAge().
    std::uint64_t exchanges = 0; ///< Completed exchanges; 0 for a connection that was never used.
};

/// Age at which a connection is closed: 80% to 100% of maximumConnectionAge, so that connections opened together do
/// not all close together.
Duration jitteredAge(Random& random);

enum class ConnectionUse : std::uint8_t {
    Reuse,
    CloseIdle,
    CloseAged,
    ReplaceSuspect, ///< Opened before a timeout without any response byte; close it when a replacement may be opened.
};

/// Which connections to one backend server may be dead without having been closed.
struct ServerSuspicion {
    TimePoint openedBefore = TimePoint::min(); ///< Connections opened before this time are suspect.
    bool isReplacing = false; ///< One replacement is being opened.
};

/// Decides on an idle pooled connection.
ConnectionUse decideUse(const ConnectionState& connection, const ServerSuspicion& suspicion, TimePoint now);

/// Records that an exchange timed out. Returns true when this makes the server's older connections suspect: the
/// connection was reused and no byte of the response arrived. A timeout on a new connection indicates a slow server.
bool recordTimeout(ServerSuspicion& suspicion, const ConnectionState& connection, bool receivedAnyByte, TimePoint now);

/// Returns true when a replacement of a suspect connection may be opened now; at most one is opened at a time. After
/// true, endReplacement() must be called when the replacement has ended.
bool beginReplacement(ServerSuspicion& suspicion);
void endReplacement(ServerSuspicion& suspicion);

/// Token bucket that limits the rate of infrequent actions against one server.
class TokenBucket {
public:
    /// Holds at most \a burst tokens and gains one every \a refillInterval.
    TokenBucket(Duration refillInterval, unsigned burst)
        : interval(refillInterval)
        , capacity(burst)
    {
    }

    /// Takes one token. Returns false when there is none.
    bool take(TimePoint now);

    /// Earliest time at which take() succeeds.
    TimePoint availableAt(TimePoint now) const;

private:
    Duration interval;
    unsigned capacity;
    TimePoint fullAt = TimePoint::min(); ///< When the bucket is full again if nothing more is taken.
};

/// Limits new connections to one backend server to 8 per second with a burst of 4. At about 1 ms per connection, one
/// entry instance uses less than 1% of a server's time.
TokenBucket newConnectionBucket();

/// Limits probes of one backend server to one per 5 s.
TokenBucket probeBucket();

/// Entry instance of the zone that probes \a server, chosen by rendezvous hashing. Empty without instances.
std::string_view probingInstance(std::string_view server, std::span<const std::string> instancesOfZone);

/// Backoff before attempt number \a failures + 1 to reconnect to a server: uniform between zero and a bound that
/// doubles from 250 ms to 8 s. The jitter spreads the reconnects of instances that lost their connections at the same
/// time.
Duration reconnectDelay(unsigned failures, Random& random);

/// Time to wait for the first byte of a response: three times the observed 99.9th percentile \a p999, at least 50 ms,
/// and at most \a timeLeft until the deadline. Without observations, \a timeLeft alone applies.
Duration firstByteTimeout(std::optional<Duration> p999, Duration timeLeft);

} // namespace clementinefall::requests
