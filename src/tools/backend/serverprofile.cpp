#include "backend/serverprofile.h"

namespace clementinefall::backend {

namespace {

constexpr std::size_t maximumHistoryEntries = 65'536;

} // namespace

milliseconds meanServiceTime(bundle::Priority priority)
{
    switch (priority) {
    case bundle::Priority::Lookup:
        return milliseconds(8);
    case bundle::Priority::Critical:
        return milliseconds(12);
    case bundle::Priority::Upload:
    case bundle::Priority::Bulk:
        break;
    }
    return milliseconds(25);
}

Duration randomServiceTime(milliseconds mean, Random& random)
{
    const double meanMs = static_cast<double>(mean.count());
    if (meanMs <= 0)
        return Duration::zero();
    std::exponential_distribution<double> distribution(2.0 / meanMs);
    const std::chrono::duration<double, std::milli> time(meanMs / 2.0 + distribution(random));
    return std::chrono::duration_cast<Duration>(time);
}

double coldServiceFactor(const ServerProfile& profile, Duration sinceStart)
{
    if (sinceStart >= profile.coldTime)
        return 1.0;
    const double elapsedFraction
        = std::chrono::duration<double>(sinceStart) / std::chrono::duration<double>(profile.coldTime);
    return profile.coldFactor + (1.0 - profile.coldFactor) * elapsedFraction;
}

void LoadHistory::record(TimePoint now, const LoadReport& report, milliseconds lag)
{
    this->entries.push_back({ now, report });
    // The newest entry older than the lag is still served, so an entry goes only once its successor is that old, too.
    while (this->entries.size() > 1 && this->entries[1].time <= now - lag)
        this->entries.pop_front();
    if (this->entries.size() > maximumHistoryEntries)
        this->entries.pop_front();
}

LoadReport LoadHistory::at(TimePoint time) const
{
    LoadReport result;
    for (const Entry& entry : this->entries) {
        if (entry.time > time)
            break;
        result = entry.report;
    }
    return result;
}

} // namespace clementinefall::backend
