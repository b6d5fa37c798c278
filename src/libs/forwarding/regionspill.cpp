#include "forwarding/regionspill.h"

#include "base/hash.h"

#include <algorithm>

namespace clementinefall::forwarding {

namespace {

constexpr double hashRange = 18446744073709551616.0; // 2^64

/// Makes the order in which objects move independent of the choice among several regions.
constexpr std::uint64_t orderSeed = 0x5350494c4cULL;

/// Adds the requests since the previous update to the moving average.
void updateUse(SpillUse& use)
{
    if (use.intended > 0)
        use.usedPart += utilizationWeight * (static_cast<double>(use.sent) / use.intended - use.usedPart);
    use.intended = 0;
    use.sent = 0;
}

} // namespace

double RegionSpill::totalShare() const
{
    double localShare = 1.0;
    for (const auto& [region, share] : this->shares)
        localShare *= 1.0 - share;
    return 1.0 - localShare;
}

std::map<std::string, double> initialSpillShares(
    const std::map<std::string, RegionCapacity>& regions, const std::string& localRegion)
{
    double slots = 0;
    double instances = 0;
    for (const auto& [name, region] : regions) {
        slots += region.slots;
        instances += static_cast<double>(region.instances);
    }
    const auto found = regions.find(localRegion);
    if (found == regions.end() || found->second.instances == 0 || slots <= 0)
        return {};
    const auto proportionalSlots
        = [&](const RegionCapacity& region) { return slots * static_cast<double>(region.instances) / instances; };
    const double movedShare = std::max(0.0, 1.0 - found->second.slots / proportionalSlots(found->second));
    std::map<std::string, double> shares;
    double totalSurplus = 0;
    for (const auto& [name, region] : regions) {
        const double surplus = region.slots - proportionalSlots(region);
        if (name != localRegion && surplus > 0) {
            shares[name] = surplus;
            totalSurplus += surplus;
        }
    }
    for (auto& [name, share] : shares)
        share = movedShare * share / totalSurplus;
    return shares;
}

void recordSpillUse(RegionSpill& spill, const std::string& region, bool wasSentThere)
{
    SpillUse& use = spill.uses[region];
    ++use.intended;
    use.sent += wasSentThere ? 1 : 0;
}

void updateSpill(RegionSpill& spill, double localUtilization, const std::map<std::string, double>& utilizationByRegion,
    Duration elapsed)
{
    spill.localUtilization += utilizationWeight * (localUtilization - spill.localUtilization);
    const auto isGone = [&](const auto& entry) { return !utilizationByRegion.contains(entry.first); };
    std::erase_if(spill.shares, isGone);
    std::erase_if(spill.uses, isGone);
    if (utilizationByRegion.empty())
        return;
    for (auto& [region, use] : spill.uses)
        updateUse(use);
    const double step = maximumSpillChangePerSecond * std::min(1.0, std::chrono::duration<double>(elapsed).count());
    for (auto& [region, share] : spill.shares) {
        SpillUse& use = spill.uses[region];
        if (use.usedPart >= minimumUsedPart)
            continue;
        share = std::max(0.0, share - step);
        if (share == 0)
            use = {};
        return;
    }
    const auto byUtilization = [](const auto& left, const auto& right) { return left.second < right.second; };
    const auto least = std::min_element(utilizationByRegion.begin(), utilizationByRegion.end(), byUtilization);
    if (spill.localUtilization > busyUtilization && spill.localUtilization - least->second > growThreshold
        && least->second < saturatedUtilization) {
        double& share = spill.shares[least->first];
        share = std::min(1.0, share + step);
        return;
    }
    auto most = spill.shares.end();
    for (auto share = spill.shares.begin(); share != spill.shares.end(); ++share) {
        if (share->second > 0
            && (most == spill.shares.end()
                || utilizationByRegion.at(share->first) > utilizationByRegion.at(most->first)))
            most = share;
    }
    if (most == spill.shares.end())
        return;
    if (spill.localUtilization - utilizationByRegion.at(most->first) < shrinkThreshold
        || spill.localUtilization < idleUtilization)
        most->second = std::max(0.0, most->second - step);
}

std::string spillTarget(const RegionSpill& spill, std::uint64_t object)
{
    std::string target;
    std::uint64_t best = 0;
    for (const auto& [region, share] : spill.shares) {
        const std::uint64_t position = hash64(region, object ^ orderSeed);
        if (static_cast<double>(position) / hashRange >= share)
            continue;
        const std::uint64_t rank = hash64(region, object);
        if (target.empty() || rank > best) {
            target = region;
            best = rank;
        }
    }
    return target;
}

} // namespace clementinefall::forwarding
