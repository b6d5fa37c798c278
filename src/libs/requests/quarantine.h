#pragma once

#include "base/clock.h"
#include "base/hash.h"
#include "base/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace clementinefall::requests {

/// Identifies requests that are the same for a backend server: service, method, path and body.
struct Fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const Fingerprint&, const Fingerprint&) = default;
    friend bool operator<(const Fingerprint& left, const Fingerprint& right)
    {
        return std::tie(left.high, left.low) < std::tie(right.high, right.low);
    }
};

Fingerprint fingerprintOf(
    std::string_view service, std::string_view method, std::string_view path, const Hash128& bodyHash);

/// 32 lower-case hex digits.
std::string formatFingerprint(const Fingerprint& fingerprint);
std::optional<Fingerprint> parseFingerprint(std::string_view text);

/// One request that was in flight when a backend server crashed. The same mark may arrive several times and by several
/// paths; `reporter` and `number` identify it.
struct CrashMark {
    Fingerprint fingerprint;
    std::string service;
    std::string server;
    std::uint64_t reporter = 0; ///< Incarnation of the entry instance that saw the crash.
    std::uint64_t number = 0; ///< Counts the marks of the reporter.
    std::uint32_t inFlight = 1; ///< Requests in flight on the server; the weight is 1/inFlight.
    TimePoint at; ///< Time of the crash by the local clock; from a peer, receipt time minus the age in its message.
};

/// Removes the marks of a fingerprint that are not newer than `at`.
struct MarkClearing {
    Fingerprint fingerprint;
    TimePoint at;
    std::string reason; ///< `answered`, or the operator's reason for a release.
};

struct QuarantineEntry {
    Fingerprint fingerprint;
    std::string service;
    std::vector<std::string> servers; ///< Different ones, sorted.
    std::uint64_t weightMillionths = 0;
    bool isQuarantined = false;
    TimePoint expires; ///< When the newest mark expires.
};

struct QuarantineLimits {
    minutes lifetime { 10 };
    std::size_t fingerprints = 4096;
    std::size_t marksPerFingerprint = 16;
};

/// Holds back requests that crash the backend servers which run them. Not thread-safe.
///
/// Marks and clearings form sets, and a fingerprint's state is computed from its marks that are newer than its newest
/// clearing. Merging is therefore idempotent and does not depend on order, as long as the limits are not exceeded.
/// When there are too many fingerprints, the one with the oldest newest mark is dropped.
class Quarantine {
public:
    explicit Quarantine(QuarantineLimits quarantineLimits = {})
        : limits(quarantineLimits)
    {
    }

    /// Adds a mark, seen here or told by a peer. Returns true when it was new.
    bool merge(const CrashMark& mark, TimePoint now);

    /// Applies a clearing, seen here or told by a peer. Returns true when it was new.
    bool merge(const MarkClearing& clearing, TimePoint now);

    /// Clears the fingerprint of a request that was answered. Returns the clearing for the peers if there were marks.
    std::optional<MarkClearing> recordSuccess(const Fingerprint& fingerprint, TimePoint now);

    /// Releases a fingerprint by operator's order. \a reason must not be empty. Returns the clearing for the peers.
    Result<MarkClearing> release(const Fingerprint& fingerprint, std::string reason, TimePoint now);

    bool isQuarantined(const Fingerprint& fingerprint, TimePoint now) const;

    /// Marked fingerprints, ordered by fingerprint.
    std::vector<QuarantineEntry> list(TimePoint now) const;

    /// Forgets expired marks and clearings.
    void expire(TimePoint now);

    std::size_t fingerprintCount() const { return this->states.size(); }

private:
    struct State {
        std::vector<CrashMark> marks; ///< Newest first.
        std::optional<MarkClearing> clearing;
    };
    using States = std::map<Fingerprint, State>;

    QuarantineEntry summarize(const Fingerprint& fingerprint, const State& state, TimePoint now) const;
    bool isLive(TimePoint at, TimePoint now) const { return now - at < this->limits.lifetime; }
    void dropOldest();
    static TimePoint newestTime(const State& state);

    QuarantineLimits limits;
    States states;
};

struct InFlightRequest {
    Fingerprint fingerprint;
    std::string service;
};

/// Requests in flight from this instance to each backend server, from which the marks of a crash are made. Not
/// thread-safe.
class InFlightTracker {
public:
    /// \a reporterIncarnation is the incarnation of this entry instance.
    explicit InFlightTracker(std::uint64_t reporterIncarnation)
        : reporter(reporterIncarnation)
    {
    }

    /// Notes a request before it is written to \a server; the returned ticket is for recordEnded().
    std::uint64_t recordSent(const std::string& server, InFlightRequest request);
    void recordEnded(const std::string& server, std::uint64_t ticket);

    /// Marks of a crash: the server reset a connection with a request on it, or refused a connection while requests
    /// were in flight. The requests are forgotten, so that the other resets of the same crash add no marks.
    std::vector<CrashMark> recordCrash(const std::string& server, TimePoint now);

private:
    std::uint64_t reporter;
    std::uint64_t lastTicket = 0;
    std::uint64_t nextMark = 0;
    std::map<std::string, std::map<std::uint64_t, InFlightRequest>> servers;
};

} // namespace clementinefall::requests
