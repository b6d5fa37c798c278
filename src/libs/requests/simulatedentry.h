#pragma once

#include "requests/latencywindow.h"
#include "requests/quarantine.h"
#include "requests/requeststeps.h"
#include "requests/simulatedsystem.h"

#include <memory>
#include <set>

namespace clementinefall::requests::simulation {

/// Simulated entry instance of the schedule exploration. All decisions come from the step functions. This class only
/// transfers messages and inserts delays between the steps, during which the process may be paused or killed.
class SimulatedEntry {
public:
    SimulatedEntry(World& entryWorld, std::size_t entryIndex, std::vector<std::shared_ptr<SimulatedEntry>>& allEntries);

    void handle(const Message& message, const ReplyFunction& reply);

    /// Expires records and renews the key range. Called once a second.
    void tick();

    /// Starts a planned stop: rejects new requests and closes the key range.
    void stop();

private:
    struct Session {
        Message message;
        Hash128 requestHash;
        Fingerprint fingerprint;
        std::uint64_t sequence = 0; ///< 0 for a request without a home.
        TimePoint deadline;
        std::vector<AttemptEnd> attemptEnds;
        std::set<std::size_t> attemptedNodes;
        unsigned runningAttempts = 0;
        std::size_t attemptsMade = 0;
        bool isDone = false;
        ReplyFunction reply;
    };
    using SessionPtr = std::shared_ptr<Session>;

    struct Target {
        std::size_t node = 0;
        bool isExecutor = false; ///< The node is an entry instance that executes the attempt, not a backend server.
    };

    SessionPtr newSession(const Message& message, const ReplyFunction& reply) const;
    std::optional<ResultCode> rejectionReason(const Session& session);
    void issue(const ReplyFunction& reply);
    void handleIdentity(const Message& message, const ReplyFunction& reply);
    void forward(const Message& message, const std::string& home, const ReplyFunction& reply);
    void beginAtHome(const SessionPtr& session);
    void handleDirect(const SessionPtr& session);
    void handleExecute(const SessionPtr& session);
    void handleNaive(const SessionPtr& session);
    std::optional<Target> chooseTarget(const Session& session, bool mayLeaveZone);
    void dispatch(const SessionPtr& session);
    void scheduleHedge(const SessionPtr& session);
    void attempt(const SessionPtr& session, const Target& target, std::function<void(AttemptEnd, const Reply&)> onEnd);
    void recordAttemptEnd(const Session& session, const std::string& server, std::uint64_t attemptId, AttemptEnd end);
    void afterAttempt(const SessionPtr& session, AttemptEnd end, const Reply& reply);
    void complete(const SessionPtr& session, ResultCode code, const Reply& reply);
    void notifyPeers(const std::vector<CrashMark>& marks, const std::optional<MarkClearing>& clearing);
    void renewKeyRange();
    void writeKeyRange(const KeyRangeWrite& wanted);
    void runAfterShortDelay(Action action);
    TimePoint now() const { return this->world.scheduler.now(); }
    std::int64_t wallClockMs() const;

    World& world;
    std::size_t index;
    std::size_t node;
    std::vector<std::shared_ptr<SimulatedEntry>>& entries;
    std::uint64_t incarnation;
    std::int64_t clockSkewMs;
    ExecutionTable table;
    KeyRangeHolder keyRange;
    KeyTable keys;
    RetryBudget budget;
    Quarantine quarantine;
    InFlightTracker inFlight;
    LatencyWindow latencies;
    bool isStopping = false;
    bool isWritingRange = false;
};

} // namespace clementinefall::requests::simulation
