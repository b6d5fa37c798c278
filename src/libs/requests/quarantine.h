#pragma once

#include "base/clock.h"
#include "base/hash.h"
#include "base/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
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

/// Start and end of a run by the clock of the entry instance that reports it. Times of one reporter are compared with
/// each other only.
struct ReportedRun {
    milliseconds sent {};
    milliseconds lost {};
};

/// Records that the connection to a backend server was lost while the server ran a request. The same mark may arrive
/// several times and through several peers; `reporter` and `number` identify it.
struct CrashMark {
    Fingerprint fingerprint;
    std::string service;
    std::string server;
    std::uint64_t reporter = 0; ///< Incarnation of the entry instance that lost the connection.
    std::uint64_t number = 0; ///< Sequence number among the marks of the reporter.
    std::uint32_t inFlight = 1; ///< Requests in flight on the server.
    TimePoint
        at; ///< Time of the loss by the local clock; for a peer's mark, receipt time minus the age in its message.
    std::optional<ReportedRun> run {}; ///< Not known of a reporter of an earlier release.
    bool isConfirmed = false; ///< The server refused connections afterwards, so it was not the connection alone.
    bool hasSurvivors = false; ///< Copies that were sent earlier were still in flight on other servers.
};

/// Clears the marks of a fingerprint that are not newer than `at`.
struct MarkClearing {
    Fingerprint fingerprint;
    TimePoint at;
    std::string reason; ///< `answered`, or the operator's reason for a release.
};

/// Whether the instance \a self may let copies of a quarantined request run from time to time: one of the fleet's
/// \a instances, chosen by rendezvous hashing, so that instances that cannot hear of each other choose the same.
bool isTrialInstance(const Fingerprint& fingerprint, std::string_view self, std::span<const std::string> instances);

struct QuarantineEntry {
    Fingerprint fingerprint;
    std::string service;
    std::vector<std::string> servers; ///< Distinct and sorted.
    unsigned crashes = 0; ///< Independent ones; see Quarantine.
    unsigned evidence = 0; ///< Sum over these crashes; see Quarantine.
    bool isQuarantined = false;
    TimePoint expires {}; ///< When the marks expire.
};

struct QuarantineLimits {
    minutes lifetime { 10 };
    std::size_t fingerprints = 4096;
    std::size_t marksPerFingerprint = 16;
};

/// Detects requests that crash the backend servers which run them. Not thread-safe.
///
/// Marks of a fingerprint are independent crashes when the later run was sent after the earlier crash: copies that are
/// in flight when a zone loses power count as one. A crash is strong evidence when the server was found to have ended,
/// no copy that was sent earlier lived on, no server without the request crashed at about the same time, and no other
/// request was there in all of the crashes. Any other crash is weak evidence. Evidence is never discarded, since a
/// request that crashes its servers often may make each of these conditions true itself.
///
/// A fingerprint is quarantined after two crashes with strong evidence, four with weak evidence, or a mix. Two servers
/// must be involved, or one that was found to have ended four times. One run that is answered clears it. While it is
/// quarantined, one instance may let a single copy run from time to time, which clears it if it is harmless; see
/// nextTrial().
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

    /// Confirms the marks of \a reporter that \a server has lost since \a since. Returns their fingerprints.
    std::vector<Fingerprint> confirmCrash(std::uint64_t reporter, const std::string& server, TimePoint since);

    /// When one copy of a quarantined request may run again: 30 s after the last crash, and four times as long after
    /// each copy that crashed a server again.
    TimePoint nextTrial(const Fingerprint& fingerprint, TimePoint now) const;
    /// Records that this instance lets a copy run. The next one waits, also if this one has no clear outcome.
    void recordTrial(const Fingerprint& fingerprint, TimePoint now);

    /// Marks to send to the peers, at most \a limit, those of the fingerprints with most crashes first: of \a reporter
    /// since \a since, or, for a peer that has just started, all marks of quarantined requests (no reporter).
    std::vector<CrashMark> marksToReport(
        std::optional<std::uint64_t> reporter, TimePoint since, std::size_t limit, TimePoint now) const;

    /// Fingerprints with unexpired marks, ordered by fingerprint.
    std::vector<QuarantineEntry> list(TimePoint now) const;

    /// Removes expired marks and clearings.
    void expire(TimePoint now);

    std::size_t fingerprintCount() const { return this->states.size(); }

private:
    struct State {
        std::vector<CrashMark> marks; ///< Newest first.
        std::optional<MarkClearing> clearing;
        TimePoint lastTrial {}; ///< By this instance.
        mutable bool verdict = false; ///< Of isQuarantined(), valid while verdictVersion is the current one.
        mutable std::uint64_t verdictVersion = 0;
    };
    using States = std::map<Fingerprint, State>;

    QuarantineEntry summarize(const Fingerprint& fingerprint, const State& state, TimePoint now) const;
    /// Marks of crashes that are not independent of each other, oldest first.
    using CrashGroup = std::vector<const CrashMark*>;
    /// The marks in groups that are independent of each other, oldest first.
    std::vector<CrashGroup> independentCrashes(const State& state, TimePoint now) const;
    bool isStrongEvidence(const CrashMark& crash, const State& state) const;
    /// Whether another request was in flight in all of the \a crashes of the fingerprint.
    bool hasRival(const Fingerprint& fingerprint, const std::vector<CrashGroup>& crashes) const;
    bool isUnexpired(TimePoint at, TimePoint now) const { return now - at < this->limits.lifetime; }
    void evictOldest();
    static TimePoint newestTime(const State& state);

    QuarantineLimits limits;
    States states;
    std::uint64_t version = 1; ///< Increases with each change of the marks and clearings.
};

struct InFlightRequest {
    Fingerprint fingerprint;
    std::string service;
    TimePoint sentAt {};
};

/// Tracks the requests in flight from this entry instance to each backend server, and creates the marks of those whose
/// connection is lost. Not thread-safe.
class InFlightTracker {
public:
    /// \a reporterIncarnation is the incarnation of this entry instance.
    explicit InFlightTracker(std::uint64_t reporterIncarnation)
        : reporterId(reporterIncarnation)
    {
    }

    std::uint64_t reporter() const { return this->reporterId; }

    /// Records a request before it is written to \a server. Returns the request's number.
    std::uint64_t recordSent(const std::string& server, InFlightRequest request);
    void recordEnded(const std::string& server, std::uint64_t requestNumber);

    /// Records that a request ended because \a server broke its connection, and returns its mark. Nothing if the
    /// request has ended before. Requests whose connection to the server lives on get no mark.
    std::optional<CrashMark> recordLost(const std::string& server, std::uint64_t requestNumber, TimePoint now);

private:
    /// Whether a copy that was sent earlier is in flight on another server than \a lostServer.
    bool hasEarlierCopy(const InFlightRequest& request, const std::string& lostServer) const;

    std::uint64_t reporterId;
    std::uint64_t lastRequestNumber = 0;
    std::uint64_t nextMark = 0;
    std::map<std::string, std::map<std::uint64_t, InFlightRequest>> servers;
};

} // namespace clementinefall::requests
