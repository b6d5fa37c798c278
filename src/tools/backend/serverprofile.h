#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "bundle/bundle.h"

#include <deque>
#include <string_view>

namespace clementinefall::backend {

/// Costs and times of a simulated server. The defaults are those of the deployments in section 1.2 of the design.
struct ServerProfile {
    milliseconds connectionCost { 1 }; ///< Server time spent on each new connection.
    milliseconds probeCost { 6 }; ///< Server time spent on each health or load probe.
    milliseconds restartTime { 3000 }; ///< Connects are refused for this time after a crash.
    double coldFactor = 4.0; ///< Service time multiple right after a start.
    milliseconds coldTime { 5000 }; ///< Time in which the multiple falls to 1.
    milliseconds reportLag { 0 }; ///< Age of what the health and load reports say.
};

/// Mean service time of a service without a `workMs` parameter.
milliseconds meanServiceTime(bundle::Priority priority);

/// Random service time: half of \a mean is fixed, the other half is the mean of an exponential distribution.
Duration randomServiceTime(milliseconds mean, Random& random);

/// Multiple of the service time at \a sinceStart; falls linearly from ServerProfile::coldFactor to 1.
double coldStartFactor(const ServerProfile& profile, Duration sinceStart);

/// State that the health and load reports show.
struct LoadReport {
    unsigned running = 0;
    unsigned queued = 0;
    bool draining = false;

    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Past load reports, so that a report can show the state of some time ago. Memory is bounded: past the limit the
/// oldest reports are dropped, which shortens the lag.
class LoadHistory {
public:
    void record(TimePoint now, const LoadReport& report, milliseconds lag);
    /// Report in force at \a time; an idle one before the first.
    LoadReport at(TimePoint time) const;

private:
    struct Entry {
        TimePoint time;
        LoadReport report;
    };
    std::deque<Entry> entries;
};

} // namespace clementinefall::backend
