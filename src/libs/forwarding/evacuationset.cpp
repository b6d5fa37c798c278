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

void changeEvacuations(EvacuationSet& set, std::span<const EvacuationChange> changes,
    const std::function<void(const std::set<std::string>& zones)>& apply)
{
    for (const EvacuationChange& change : changes) {
        changeEvacuation(set, change.zone, change.isRemoved);
        apply(set.zones);
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
