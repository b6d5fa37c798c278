#include "forwarding/regionspill.h"

#include "base/hash.h"

#include <algorithm>

namespace clementinefall::forwarding {

namespace {

constexpr double hashRange = 18446744073709551616.0; // 2^64

/// Makes the order in which objects leave independent of the order in which regions are asked.
constexpr std::uint64_t orderSeed = 0x5350494c4cULL;

} // namespace

double RegionSpill::total() const
{
    double staying = 1.0;
    for (const auto& [region, share] : this->shares)
        staying *= 1.0 - share;
    return 1.0 - staying;
}

std::map<std::string, double> initialSpillShares(
    const std::map<std::string, RegionCapacity>& regions, const std::string& own)
{
    double slots = 0;
    double instances = 0;
    for (const auto& [name, region] : regions) {
        slots += region.slots;
        instances += static_cast<double>(region.instances);
    }
    const auto found = regions.find(own);
    if (found == regions.end() || found->second.instances == 0 || slots <= 0)
        return {};
    const auto wantedSlots
        = [&](const RegionCapacity& region) { return slots * static_cast<double>(region.instances) / instances; };
    const double leaving = std::max(0.0, 1.0 - found->second.slots / wantedSlots(found->second));
    std::map<std::string, double> shares;
    double spare = 0;
    for (const auto& [name, region] : regions) {
        const double surplus = region.slots - wantedSlots(region);
        if (name != own && surplus > 0) {
            shares[name] = surplus;
            spare += surplus;
        }
    }
    for (auto& [name, share] : shares)
        share = leaving * share / spare;
    return shares;
}

void updateSpill(RegionSpill& spill, double ownUse, const std::map<std::string, double>& useByRegion, Duration elapsed)
{
    spill.ownUse += useWeight * (ownUse - spill.ownUse);
    std::erase_if(spill.shares, [&](const auto& share) { return !useByRegion.contains(share.first); });
    if (useByRegion.empty())
        return;
    const double step = spillChangePerSecond * std::min(1.0, std::chrono::duration<double>(elapsed).count());
    const auto byUse = [](const auto& left, const auto& right) { return left.second < right.second; };
    const auto least = std::min_element(useByRegion.begin(), useByRegion.end(), byUse);
    if (spill.ownUse > busyUse && spill.ownUse - least->second > growDifference && least->second < fullUse) {
        double& share = spill.shares[least->first];
        share = std::min(1.0, share + step);
        return;
    }
    auto most = spill.shares.end();
    for (auto share = spill.shares.begin(); share != spill.shares.end(); ++share) {
        if (share->second > 0
            && (most == spill.shares.end() || useByRegion.at(share->first) > useByRegion.at(most->first)))
            most = share;
    }
    if (most == spill.shares.end())
        return;
    if (spill.ownUse - useByRegion.at(most->first) < shrinkDifference || spill.ownUse < idleUse)
        most->second = std::max(0.0, most->second - step);
}

std::string spillTarget(const RegionSpill& spill, std::uint64_t object)
{
    std::string target;
    std::uint64_t best = 0;
    for (const auto& [region, share] : spill.shares) {
        const std::uint64_t place = hash64(region, object ^ orderSeed);
        if (static_cast<double>(place) / hashRange >= share)
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
