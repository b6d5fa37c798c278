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

/// Kind of failures that one schedule injects.
enum class FailureKind : std::uint8_t {
    None,
    KillEntry,
    ReplaceEntry,
    PauseEntry,
    PredecessorResumes, ///< A paused instance is replaced at another address and resumes afterwards.
    KillServer,
    Partition,
    OneWayLoss,
    LostResponses,
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
    /// Simulates the baseline instead: a proxy that retries every request on a timeout and keeps no records.
    bool isNaive = false;
};

struct ScheduleReport {
    std::vector<Violation> violations;
    std::uint64_t operations = 0; ///< Non-idempotent requests that were sent.
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0; ///< The caller received an unknown outcome or no response.
    std::uint64_t firstAttempts = 0; ///< First attempts at backend servers, for all requests.
    std::uint64_t attempts = 0;
    std::uint64_t serverCrashes = 0; ///< Crashes caused by crashing requests.
    std::uint64_t crashingRequests = 0; ///< Distinct crashing requests; each is submitted up to nine times.
    std::uint64_t maximumCrashesPerRequest = 0; ///< Maximum number of crashes caused by one crashing request.
    std::uint64_t quarantineRejections = 0; ///< Requests rejected because of quarantine.
    std::uint64_t effects = 0;

    friend bool operator==(const ScheduleReport&, const ScheduleReport&) = default;
};

/// Runs one schedule. Equal options give equal reports.
ScheduleReport runSchedule(const ScheduleOptions& options);

/// Simulated object store of the platform with conditional updates, outages and lost responses.
class SimulatedPlatform {
public:
    bool isDown = false;
    double lostResponseProbability = 0.0;

    const StoredKeyRange& read(const std::string& home) { return this->objects[home]; }

    /// Returns the new version, or 0 on a conflict.
    std::uint64_t write(const std::string& home, const KeyRangeWrite& wanted);

private:
    std::map<std::string, StoredKeyRange> objects;
};

/// State shared by all simulated processes of one schedule.
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
    /// By entry: former addresses that some callers and instances still use.
    std::vector<std::vector<std::size_t>> previousEntryNodes;
    std::vector<std::size_t> serverNodes;
    std::vector<std::size_t> callerNodes;
    bool hasSmallTables = false;
    std::map<std::string, std::uint64_t> crashesByContent;

    /// Address that a sender uses for an entry instance; it may be outdated.
    std::size_t entryAddress(std::size_t index)
    {
        const std::vector<std::size_t>& previous = this->previousEntryNodes[index];
        if (previous.empty() || this->chance(0.5))
            return this->entryNodes[index];
        return previous[this->uniformBelow(previous.size())];
    }

    bool chance(double probability) { return randomUnit(this->random) < probability; }
    std::uint64_t uniformBelow(std::uint64_t bound) { return randomBelow(this->random, bound); }
    milliseconds randomMilliseconds(std::uint64_t low, std::uint64_t high)
    {
        return milliseconds(low + this->uniformBelow(high - low));
    }
};

/// Time during which callers start requests and failures are injected.
constexpr seconds activeDuration { 10 };

/// Time during which the entry instances do their periodic work.
constexpr seconds tickDuration { 25 };

} // namespace clementinefall::requests::simulation
