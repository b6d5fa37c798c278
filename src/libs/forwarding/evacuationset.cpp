#include "forwarding/evacuationset.h"

#include <utility>

namespace clementinefall::forwarding {

void replaceEvacuations(EvacuationSet& set, std::set<std::string> listed, bool isAfterRestore, TimePoint now)
{
    set.listed = std::move(listed);
    set.settlesAt = {};
    if (isAfterRestore && set.zones != set.listed)
        set.settlesAt = now + evacuationSettleTime;
    else
        set.zones = set.listed;
}

void changeEvacuation(EvacuationSet& set, const std::string& zone, bool isRemoved)
{
    for (std::set<std::string>* zones : { &set.zones, &set.listed }) {
        if (isRemoved)
            zones->erase(zone);
        else
            zones->insert(zone);
    }
}

bool settleEvacuations(EvacuationSet& set, TimePoint now)
{
    if (set.settlesAt == TimePoint {} || now < set.settlesAt)
        return false;
    set.settlesAt = {};
    return std::exchange(set.zones, set.listed) != set.listed;
}

} // namespace clementinefall::forwarding
