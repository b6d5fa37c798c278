#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "bundle/bundle.h"

#include <deque>
#include <string_view>

namespace clementinefall::backend {

/// Overheads and times of a simulated server. The defaults describe the servers that the system is designed for.
struct ServerProfile {
    milliseconds connectionCost { 1 }; ///< Added to the server's busy time for each new connection.
    milliseconds probeCost { 6 }; ///< Added to the server's busy time for each health or load probe.
    milliseconds restartTime { 3000 }; ///< Time after a crash during which connections are refused.
    double coldFactor = 4.0; ///< Factor on the service time right after a start.
    milliseconds coldTime { 5000 }; ///< Time after a start in which the factor falls to 1.
    milliseconds reportLag { 0 }; ///< Age of the state in health and load reports.
};

/// Mean service time of requests without a `workMs` parameter.
milliseconds meanServiceTime(bundle::Priority priority);

/// Random service time with the given mean: half of \a mean is constant, the other half is exponentially distributed.
Duration randomServiceTime(milliseconds mean, Random& random);

/// Factor on the service time at \a sinceStart; falls linearly from ServerProfile::coldFactor to 1.
double coldServiceFactor(const ServerProfile& profile, Duration sinceStart);

/// State of a server as given in health and load reports.
struct LoadReport {
    unsigned running = 0;
    unsigned queued = 0;
    bool draining = false;

    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Past load reports, from which a report with a lag is served. The number of entries is limited: beyond the limit the
/// oldest are dropped, which shortens the lag.
class LoadHistory {
public:
    /// Adds \a report and removes the entries that are no longer needed for reports up to \a lag old.
    void record(TimePoint now, const LoadReport& report, milliseconds lag);
    /// Latest report recorded at or before \a time; a default (idle) report if there is none.
    LoadReport at(TimePoint time) const;

private:
    struct Entry {
        TimePoint time;
        LoadReport report;
    };
    std::deque<Entry> entries;
};

} // namespace clementinefall::backend
