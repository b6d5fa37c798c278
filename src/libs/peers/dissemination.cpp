#include "peers/dissemination.h"

#include "base/hash.h"

#include <algorithm>
#include <set>

namespace clementinefall::peers {

using membership::Member;
using membership::MemberState;

namespace {

/// Sources kept; more are not needed to find one that answers.
constexpr std::size_t maximumSources = 8;

bool isHealthy(const Member& member) { return member.record.state == MemberState::Live; }

void addSource(SpreadState& state, const HostPort& address, std::uint64_t version)
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

void dropServedSources(SpreadState& state)
{
    std::erase_if(state.sources, [&](const BundleSource& source) { return source.version <= state.version; });
}

/// The newest version first; among equal ones a random source in the own zone before one elsewhere.
const BundleSource* chooseSource(const SpreadState& state, const MemberTable& table, TimePoint now, Random& random)
{
    std::vector<const BundleSource*> best;
    const auto rank = [&](const BundleSource& source) {
        const Member* member = membership::findMember(table, source.address);
        const bool isNear = member && member->record.zone == table.self.zone;
        return std::pair(source.version, isNear);
    };
    for (const BundleSource& source : state.sources) {
        if (now < source.restsUntil)
            continue;
        if (!best.empty() && rank(source) < rank(*best.front()))
            continue;
        if (!best.empty() && rank(*best.front()) < rank(source))
            best.clear();
        best.push_back(&source);
    }
    return best.empty() ? nullptr : best[randomBelow(random, best.size())];
}

void startFetch(SpreadState& state, const MemberTable& table, TimePoint now, Random& random, SpreadStep& step)
{
    if (state.fetch)
        return;
    const BundleSource* source = chooseSource(state, table, now, random);
    if (!source)
        return;
    state.fetch = BundleFetch { source->address, now, ++state.fetches };
    step.fetch = FetchAction { source->address, state.fetches, state.version, state.digest };
}

void restSource(SpreadState& state, TimePoint now, const HostPort& address)
{
    for (BundleSource& source : state.sources) {
        if (source.address == address)
            source.restsUntil = now + state.timing.sourceRest;
    }
}

/// Adds some of the members that report the newest version, unless one that has it can be asked already.
void readReports(SpreadState& state, const MemberTable& table, TimePoint now, Random& random)
{
    constexpr std::size_t sourcesPerGap = 3;
    const membership::NewestBundle newest = membership::newestBundle(table);
    const bool isCovered = std::any_of(state.sources.begin(), state.sources.end(),
        [&](const BundleSource& source) { return source.version >= newest.version && source.restsUntil <= now; });
    if (newest.version <= state.version || isCovered)
        return;
    const auto hasNewest
        = [&](const Member& member) { return isHealthy(member) && member.report.newestBundle == newest.version; };
    for (const std::size_t place : membership::pickMembers(table, random, sourcesPerGap, hasNewest))
        addSource(state, table.members[place].record.address, newest.version);
}

} // namespace

bool isWatcher(const MemberTable& table)
{
    if (table.self.state != MemberState::Live || table.superseded)
        return false;
    const std::uint64_t seed = hash64(table.self.zone);
    const std::uint64_t own = hash64(table.self.name, seed);
    std::size_t higher = 0;
    for (const Member& member : table.members) {
        if (isHealthy(member) && member.record.zone == table.self.zone && hash64(member.record.name, seed) > own)
            ++higher;
    }
    return higher < watchersPerZone;
}

std::vector<HostPort> pickAnnouncePeers(const MemberTable& table, Random& random)
{
    std::vector<HostPort> picked;
    std::set<std::string> zones;
    const auto pick = [&](auto accept) {
        for (const std::size_t place : membership::pickMembers(table, random, 1, accept)) {
            zones.insert(table.members[place].record.zone);
            picked.push_back(table.members[place].record.address);
        }
    };
    const auto isNew = [&](const Member& member) {
        return isHealthy(member) && std::find(picked.begin(), picked.end(), member.record.address) == picked.end();
    };
    for (std::size_t i = 0; i < announcePeers; ++i) {
        const std::size_t before = picked.size();
        pick([&](const Member& member) { return isNew(member) && !zones.contains(member.record.zone); });
        if (picked.size() == before)
            pick(isNew);
    }
    return picked;
}

void adopted(SpreadState& state, const MemberTable& table, Random& random, std::uint64_t version,
    const std::string& digest, SpreadStep& step)
{
    if (version <= state.version)
        return;
    state.version = version;
    state.digest = digest;
    dropServedSources(state);
    // A source that is still listed has a newer version yet; its fetch goes on.
    const bool isWanted = state.fetch
        && std::any_of(state.sources.begin(), state.sources.end(),
            [&](const auto& source) { return source.address == state.fetch->source; });
    if (!isWanted)
        state.fetch.reset();
    for (const HostPort& peer : pickAnnouncePeers(table, random))
        step.announces.push_back(AnnounceAction { peer, version, digest });
}

void announced(SpreadState& state, const MemberTable& table, TimePoint now, Random& random, const HostPort& from,
    std::uint64_t version, SpreadStep& step)
{
    addSource(state, from, version);
    startFetch(state, table, now, random, step);
}

void fetchSucceeded(SpreadState& state, std::uint64_t id)
{
    if (state.fetch && state.fetch->id == id)
        state.fetch.reset();
}

void fetchFailed(
    SpreadState& state, const MemberTable& table, TimePoint now, Random& random, std::uint64_t id, SpreadStep& step)
{
    if (!state.fetch || state.fetch->id != id)
        return;
    restSource(state, now, state.fetch->source);
    state.fetch.reset();
    startFetch(state, table, now, random, step);
}

void tickSpread(SpreadState& state, const MemberTable& table, TimePoint now, Random& random, SpreadStep& step)
{
    readReports(state, table, now, random);
    if (state.fetch && now - state.fetch->startedAt >= state.timing.fetchTimeout)
        fetchFailed(state, table, now, random, state.fetch->id, step);
    startFetch(state, table, now, random, step);
}

} // namespace clementinefall::peers
