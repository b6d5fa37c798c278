#pragma once

#include "requests/historychecker.h"
#include "requests/keyrange.h"
#include "requests/simulatednetwork.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::requests::simulation {

/// Kind of failures in one schedule.
enum class FailureKind : std::uint8_t {
    None,
    KillEntry,
    ReplaceEntry,
    PauseEntry,
    PredecessorResumes, ///< A paused instance is replaced at another address and then resumes.
    KillServer,
    Partition,
    OneWayLoss,
    LostAnswers,
    LateAndDuplicated,
    Drain,
    PlatformOutage,
    CrashingRequest,
    SmallTables,
    Combined,
};

constexpr std::size_t failureKindCount = 15;

std::string_view failureKindName(FailureKind kind);

struct ScheduleOptions {
    std::uint64_t seed = 1;
    FailureKind kind = FailureKind::None;
    /// Runs the baseline instead: a proxy that retries everything on a timeout and keeps no records.
    bool isNaive = false;
};

struct ScheduleReport {
    std::vector<Violation> violations;
    std::uint64_t operations = 0; ///< Non-idempotent ones that were sent.
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0; ///< Told unknown or nothing.
    std::uint64_t firstAttempts = 0; ///< At backend servers, for all requests.
    std::uint64_t attempts = 0;
    std::uint64_t serversCrashed = 0; ///< By crashing requests.
    std::uint64_t crashingRequests = 0; ///< Different ones; each is sent up to nine times.
    std::uint64_t mostCrashed = 0; ///< By one crashing request.
    std::uint64_t heldBack = 0; ///< Refusals because of quarantine.
    std::uint64_t effects = 0;

    friend bool operator==(const ScheduleReport&, const ScheduleReport&) = default;
};

/// Runs one schedule. The same options give the same report.
ScheduleReport runSchedule(const ScheduleOptions& options);

/// Objects of the platform with conditional updates, outages and lost responses.
class SimulatedPlatform {
public:
    bool isDown = false;
    double lostResponse = 0.0;

    const StoredKeyRange& read(const std::string& home) { return this->objects[home]; }

    /// New version, or 0 on a conflict.
    std::uint64_t write(const std::string& home, const KeyRangeWrite& wanted);

private:
    std::map<std::string, StoredKeyRange> objects;
};

/// Everything that the simulated processes of one schedule share.
struct World {
    explicit World(const ScheduleOptions& scheduleOptions)
        : options(scheduleOptions)
        , random(scheduleOptions.seed)
        , network(this->scheduler, this->random)
    {
    }

    ScheduleOptions options;
    Random random;
    Scheduler scheduler;
    Network network;
    SimulatedPlatform platform;
    HistoryChecker history;
    ScheduleReport report;
    std::vector<std::string> entryNames;
    std::vector<std::size_t> entryNodes; ///< Zone of an entry, server or caller: its index modulo 2.
    std::vector<std::vector<std::size_t>> oldEntryNodes; ///< Addresses that some callers and instances still use.
    std::vector<std::size_t> serverNodes;
    std::vector<std::size_t> callerNodes;
    bool hasSmallTables = false;
    std::map<std::string, std::uint64_t> crashesByContent;

    /// Address of an entry instance as a sender knows it, which may be out of date.
    std::size_t entryAddress(std::size_t index)
    {
        const std::vector<std::size_t>& old = this->oldEntryNodes[index];
        if (old.empty() || this->chance(0.5))
            return this->entryNodes[index];
        return old[this->below(old.size())];
    }

    bool chance(double probability) { return randomUnit(this->random) < probability; }
    std::uint64_t below(std::uint64_t bound) { return randomBelow(this->random, bound); }
    milliseconds millisecondsBetween(std::uint64_t low, std::uint64_t high)
    {
        return milliseconds(low + this->below(high - low));
    }
};

/// Time during which callers start requests and failures are injected.
constexpr seconds activeTime { 10 };

/// Time during which the periodic work of the entry instances goes on.
constexpr seconds tickTime { 25 };

} // namespace clementinefall::requests::simulation
