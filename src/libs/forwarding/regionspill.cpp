#include "forwarding/regionspill.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace clementinefall::forwarding {

namespace {

constexpr double hashRange = 18446744073709551616.0; // 2^64

/// Seed that makes the order in which objects leave independent of their servers.
constexpr std::uint64_t orderSeed = 0x5350494c4cULL;

} // namespace

double initialSpillShare(const std::map<std::string, RegionCapacity>& regions, const std::string& own)
{
    double slots = 0;
    double instances = 0;
    for (const auto& [name, region] : regions) {
        slots += region.slots;
        instances += static_cast<double>(region.instances);
    }
    const auto found = regions.find(own);
    if (found == regions.end() || found->second.instances == 0 || slots <= 0)
        return 0;
    const double wanted = slots * static_cast<double>(found->second.instances) / instances;
    return std::clamp(1.0 - found->second.slots / wanted, 0.0, 1.0);
}

void updateSpill(RegionSpill& spill, double ownUse, double otherUse, Duration elapsed)
{
    spill.ownUse += useWeight * (ownUse - spill.ownUse);
    spill.otherUse += useWeight * (otherUse - spill.otherUse);
    const double step = spillChangePerSecond * std::min(1.0, std::chrono::duration<double>(elapsed).count());
    const double difference = spill.ownUse - spill.otherUse;
    if (spill.ownUse > busyUse && difference > growDifference && spill.otherUse < fullUse)
        spill.share = std::min(1.0, spill.share + step);
    else if (difference < shrinkDifference || spill.ownUse < idleUse)
        spill.share = std::max(0.0, spill.share - step);
}

bool isSpilled(const RegionSpill& spill, std::uint64_t object)
{
    const std::string_view bytes(reinterpret_cast<const char*>(&object), sizeof object);
    return static_cast<double>(hash64(bytes, orderSeed)) / hashRange < spill.share;
}

std::string spillTarget(const std::map<std::string, double>& slotsByRegion, std::uint64_t object)
{
    std::string best;
    double bestScore = 0;
    for (const auto& [region, slots] : slotsByRegion) {
        if (slots <= 0)
            continue;
        const double unit = (static_cast<double>(hash64(region, object)) + 1.0) / hashRange;
        const double score = -slots / std::log(std::min(unit, 1.0 - 1e-12));
        if (best.empty() || score > bestScore) {
            best = region;
            bestScore = score;
        }
    }
    return best;
}

} // namespace clementinefall::forwarding
