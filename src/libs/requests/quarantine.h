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

/// Hash of service, method, path and body. Requests with the same fingerprint are the same for a backend server.
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

/// The text has 32 lower-case hex digits; parseFingerprint() accepts no other text.
std::string formatFingerprint(const Fingerprint& fingerprint);
std::optional<Fingerprint> parseFingerprint(std::string_view text);

/// Records that a request was in flight when a backend server crashed. The same mark may arrive several times and
/// through several peers; `reporter` and `number` identify it.
struct CrashMark {
    Fingerprint fingerprint;
    std::string service;
    std::string server;
    std::uint64_t reporter = 0; ///< Incarnation of the entry instance that detected the crash.
    std::uint64_t number = 0; ///< Sequence number among the marks of the reporter.
    std::uint32_t inFlight = 1; ///< Requests in flight on the server; the weight is 1/inFlight.
    TimePoint at; ///< Crash time by the local clock; for a peer's mark, receipt time minus the age in its message.
};

/// Clears the marks of a fingerprint that are not newer than `at`.
struct MarkClearing {
    Fingerprint fingerprint;
    TimePoint at;
    std::string reason; ///< `answered`, or the operator's reason for a release.
};

struct QuarantineEntry {
    Fingerprint fingerprint;
    std::string service;
    std::vector<std::string> servers; ///< Distinct and sorted.
    std::uint64_t weightMillionths = 0;
    bool isQuarantined = false;
    TimePoint expires; ///< When the newest mark expires.
};

struct QuarantineLimits {
    minutes lifetime { 10 };
    std::size_t fingerprints = 4096;
    std::size_t marksPerFingerprint = 16;
};

/// Detects requests that crash the backend servers which run them. Not thread-safe.
///
/// A fingerprint is quarantined when its marks come from at least two servers and their weights sum up to 1
/// or more.
///
/// Marks and clearings form sets, and the state of a fingerprint is computed from its marks that are newer than its
/// newest clearing. Merging is therefore idempotent and independent of order, as long as the limits are not exceeded.
/// When there are too many fingerprints, the least recently marked or cleared one is evicted.
class Quarantine {
public:
    explicit Quarantine(QuarantineLimits quarantineLimits = {})
        : limits(quarantineLimits)
    {
    }

    /// Adds a local mark or one received from a peer. Returns true when it was new.
    bool merge(const CrashMark& mark, TimePoint now);

    /// Applies a local clearing or one received from a peer. Returns true when it was new.
    bool merge(const MarkClearing& clearing, TimePoint now);

    /// Clears the fingerprint of a request that was answered. Returns the clearing to send to peers if there were
    /// marks.
    std::optional<MarkClearing> recordSuccess(const Fingerprint& fingerprint, TimePoint now);

    /// Releases a fingerprint for an operator. Returns the clearing to send to peers. Errors: BadParameter for an empty
    /// \a reason, AdminNotFound for a fingerprint without marks.
    Result<MarkClearing> release(const Fingerprint& fingerprint, std::string reason, TimePoint now);

    bool isQuarantined(const Fingerprint& fingerprint, TimePoint now) const;

    /// Fingerprints with unexpired marks, ordered by fingerprint.
    std::vector<QuarantineEntry> list(TimePoint now) const;

    /// Removes expired marks and clearings.
    void expire(TimePoint now);

    std::size_t fingerprintCount() const { return this->states.size(); }

private:
    struct State {
        std::vector<CrashMark> marks; ///< Newest first.
        std::optional<MarkClearing> clearing;
    };
    using States = std::map<Fingerprint, State>;

    QuarantineEntry summarize(const Fingerprint& fingerprint, const State& state, TimePoint now) const;
    bool isUnexpired(TimePoint at, TimePoint now) const { return now - at < this->limits.lifetime; }
    void evictOldest();
    static TimePoint newestTime(const State& state);

    QuarantineLimits limits;
    States states;
};

struct InFlightRequest {
    Fingerprint fingerprint;
    std::string service;
};

/// Tracks the requests in flight from this entry instance to each backend server, and creates the marks of a crash from
/// them. Not thread-safe.
class InFlightTracker {
public:
    /// \a reporterIncarnation is the incarnation of this entry instance.
    explicit InFlightTracker(std::uint64_t reporterIncarnation)
        : reporter(reporterIncarnation)
    {
    }

    /// Records a request before it is written to \a server. Returns the request's number for recordEnded().
    std::uint64_t recordSent(const std::string& server, InFlightRequest request);
    void recordEnded(const std::string& server, std::uint64_t requestNumber);

    /// Returns the marks of a crash: the server reset a connection with a request on it, or refused a connection while
    /// requests were in flight. The requests are removed, so that further resets of the same crash add no marks.
    std::vector<CrashMark> recordCrash(const std::string& server, TimePoint now);

private:
    std::uint64_t reporter;
    std::uint64_t lastRequestNumber = 0;
    std::uint64_t nextMark = 0;
    std::map<std::string, std::map<std::uint64_t, InFlightRequest>> servers;
};

} // namespace clementinefall::requests
