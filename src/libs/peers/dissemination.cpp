#include "peers/dissemination.h"

#include "base/hash.h"

#include <algorithm>
#include <set>

namespace clementinefall::peers {

using membership::Member;
using membership::MemberState;

namespace {

/// Limit of the source list. More are not needed to find one that responds.
constexpr std::size_t maximumSources = 8;

bool isHealthy(const Member& member) { return member.record.state == MemberState::Live; }

void addSource(DisseminationState& state, const HostPort& address, std::uint64_t version)
{
    if (version <= state.version)
        return;
    const auto found = std::find_if(state.sources.begin(), state.sources.end(),
        [&](const BundleSource& source) { return source.address == address; });
    if (found != state.sources.end()) {
        found->version = std::max(found->version, version);
        return;
    }
    if (state.sources.size() == maximumSources)
        state.sources.erase(state.sources.begin());
    state.sources.push_back(BundleSource { address, version, TimePoint {} });
}

void removeObsoleteSources(DisseminationState& state)
{
    std::erase_if(state.sources, [&](const BundleSource& source) { return source.version <= state.version; });
}

/// Prefers the newest version, then sources in the local zone; picks at random among equal ones.
const BundleSource* chooseSource(
    const DisseminationState& state, const MemberTable& table, TimePoint now, Random& random)
{
    std::vector<const BundleSource*> best;
    const auto rank = [&](const BundleSource& source) {
        const Member* member = membership::findMember(table, source.address);
        const bool isInLocalZone = member && member->record.zone == table.self.zone;
        return std::pair(source.version, isInLocalZone);
    };
    for (const BundleSource& source : state.sources) {
        if (now < source.backoffUntil)
            continue;
        if (!best.empty() && rank(source) < rank(*best.front()))
            continue;
        if (!best.empty() && rank(*best.front()) < rank(source))
            best.clear();
        best.push_back(&source);
    }
    return best.empty() ? nullptr : best[randomBelow(random, best.size())];
}

void startFetch(
    DisseminationState& state, const MemberTable& table, TimePoint now, Random& random, DisseminationActions& actions)
{
    if (state.fetch)
        return;
    const BundleSource* source = chooseSource(state, table, now, random);
    if (!source)
        return;
    state.fetch = BundleFetch { source->address, now, ++state.lastFetchId };
    actions.fetch = FetchAction { source->address, state.lastFetchId, state.version, state.digest };
}

void backOffSource(DisseminationState& state, TimePoint now, const HostPort& address)
{
    for (BundleSource& source : state.sources) {
        if (source.address == address)
            source.backoffUntil = now + state.timing.sourceBackoff;
    }
}

/// Adds some of the members that report the newest version, unless a source outside its backoff already has it.
void addReportedSources(DisseminationState& state, const MemberTable& table, TimePoint now, Random& random)
{
    constexpr std::size_t maximumAdded = 3;
    const membership::NewestBundle newest = membership::newestBundle(table);
    const bool hasUsableSource = std::any_of(state.sources.begin(), state.sources.end(),
        [&](const BundleSource& source) { return source.version >= newest.version && source.backoffUntil <= now; });
    if (newest.version <= state.version || hasUsableSource)
        return;
    const auto hasNewest
        = [&](const Member& member) { return isHealthy(member) && member.report.newestBundle == newest.version; };
    for (const std::size_t index : membership::pickMembers(table, random, maximumAdded, hasNewest))
        addSource(state, table.members[index].record.address, newest.version);
}

} // namespace

bool isWatcher(const MemberTable& table)
{
    if (table.self.state != MemberState::Live || table.superseded)
        return false;
    const std::uint64_t seed = hash64(table.self.zone);
    const std::uint64_t selfHash = hash64(table.self.name, seed);
    std::size_t higherRanked = 0;
    for (const Member& member : table.members) {
        if (isHealthy(member) && member.record.zone == table.self.zone && hash64(member.record.name, seed) > selfHash)
            ++higherRanked;
    }
    return higherRanked < watchersPerZone;
}

std::vector<HostPort> pickAnnouncePeers(const MemberTable& table, Random& random)
{
    std::vector<HostPort> picked;
    std::set<std::string> zones;
    const auto pick = [&](auto accept) {
        for (const std::size_t index : membership::pickMembers(table, random, 1, accept)) {
            zones.insert(table.members[index].record.zone);
            picked.push_back(table.members[index].record.address);
        }
    };
    const auto isEligible = [&](const Member& member) {
        return isHealthy(member) && std::find(picked.begin(), picked.end(), member.record.address) == picked.end();
    };
    for (std::size_t i = 0; i < announceFanOut; ++i) {
        const std::size_t before = picked.size();
        pick([&](const Member& member) { return isEligible(member) && !zones.contains(member.record.zone); });
        if (picked.size() == before)
            pick(isEligible);
    }
    return picked;
}

void bundleAdopted(DisseminationState& state, const MemberTable& table, Random& random, std::uint64_t version,
    const std::string& digest, DisseminationActions& actions)
{
    if (version <= state.version)
        return;
    state.version = version;
    state.digest = digest;
    removeObsoleteSources(state);
    // A source that is still listed has a version newer than the adopted one, so its fetch continues.
    const bool isSourceListed = state.fetch
        && std::any_of(state.sources.begin(), state.sources.end(),
            [&](const auto& source) { return source.address == state.fetch->source; });
    if (!isSourceListed)
        state.fetch.reset();
    for (const HostPort& peer : pickAnnouncePeers(table, random))
        actions.announces.push_back(AnnounceAction { peer, version, digest });
}

void versionAnnounced(DisseminationState& state, const MemberTable& table, TimePoint now, Random& random,
    const HostPort& from, std::uint64_t version, DisseminationActions& actions)
{
    addSource(state, from, version);
    startFetch(state, table, now, random, actions);
}

void fetchSucceeded(DisseminationState& state, std::uint64_t id)
{
    if (state.fetch && state.fetch->id == id)
        state.fetch.reset();
}

void fetchFailed(DisseminationState& state, const MemberTable& table, TimePoint now, Random& random, std::uint64_t id,
    DisseminationActions& actions)
{
    if (!state.fetch || state.fetch->id != id)
        return;
    backOffSource(state, now, state.fetch->source);
    state.fetch.reset();
    startFetch(state, table, now, random, actions);
}

void tickDissemination(
    DisseminationState& state, const MemberTable& table, TimePoint now, Random& random, DisseminationActions& actions)
{
    addReportedSources(state, table, now, random);
    if (state.fetch && now - state.fetch->startedAt >= state.timing.fetchTimeout)
        fetchFailed(state, table, now, random, state.fetch->id, actions);
    startFetch(state, table, now, random, actions);
}

} // namespace clementinefall::peers
