#include "requests/retryallowance.h"

#include "requests/retrybudget.h"

#include <algorithm>

namespace clementinefall::requests {

namespace {

constexpr double dividedShare = 0.5;

} // namespace

void recordHolders(AllowanceHolders& holders, std::span<const std::string> registered, bool isCurrent, TimePoint now)
{
    for (const std::string& name : registered)
        holders.lastRegistered[name] = now;
    std::erase_if(holders.lastRegistered, [now](const auto& holder) { return now - holder.second >= holderRetention; });
    if (isCurrent && now - holders.startedAt >= RetryBudget::window)
        holders.isEntitled = true;
}

unsigned allowancePart(const AllowanceHolders& holders, double fleetAllowance)
{
    if (!holders.isEntitled)
        return 0;
    const auto count = static_cast<double>(std::max<std::size_t>(1, holders.lastRegistered.size()));
    return static_cast<unsigned>(fleetAllowance * dividedShare / count);
}

} // namespace clementinefall::requests
