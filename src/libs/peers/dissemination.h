#pragma once

#include "base/random.h"
#include "base/result.h"
#include "membership/membertable.h"

#include <optional>
#include <string>
#include <vector>

namespace clementinefall::peers {

using membership::MemberTable;

/// Live members of a zone that watch the platform (design page, section 7).
constexpr std::size_t watchersPerZone = 2;
/// Peers that an instance notifies when it adopts a bundle.
constexpr std::size_t announcePeers = 3;

struct SpreadTiming {
    /// A fetch that takes longer goes on with another source. Connecting, authenticating and answering take four round
    /// trips of at most 110 ms.
    milliseconds fetchTimeout { 1000 };
    /// A source that failed is not asked again for this long while there are others.
    milliseconds sourceRest { 3000 };
};

/// A peer that is known to have a version.
struct BundleSource {
    HostPort address;
    std::uint64_t version = 0;
    TimePoint restsUntil; ///< After a failed fetch.
};

struct BundleFetch {
    HostPort source;
    TimePoint startedAt;
    std::uint64_t id = 0; ///< Tells the answer of this fetch from the late answer of an earlier one.
};

/// What one instance knows about the spreading of bundles. Plain data; the functions below change it.
struct SpreadState {
    SpreadTiming timing;
    std::uint64_t version = 0; ///< Held version; 0 when there is none.
    std::string digest;
    std::vector<BundleSource> sources; ///< Peers with newer versions, newest last.
    std::optional<BundleFetch> fetch;
    std::uint64_t fetches = 0;
};

struct AnnounceAction {
    HostPort to;
    std::uint64_t version = 0;
    std::string digest;
};

struct FetchAction {
    HostPort from;
    std::uint64_t id = 0; ///< To be passed to fetchFailed().
    std::uint64_t haveVersion = 0;
    std::string haveDigest;
};

struct SpreadStep {
    std::vector<AnnounceAction> announces;
    std::optional<FetchAction> fetch;
};

/// True when the instance is one of the watchersPerZone highest-ranked live members of its zone by rendezvous hash.
/// With tables that differ for a moment, a zone has more or fewer watchers for that moment.
bool isWatcher(const MemberTable& table);

/// At most announcePeers random healthy members, from different zones where that is possible.
std::vector<HostPort> pickAnnouncePeers(const MemberTable& table, Random& random);

/// The instance has adopted a bundle, from whatever source. Ends the fetch under way when it is served by that.
void adopted(SpreadState& state, const MemberTable& table, Random& random, std::uint64_t version,
    const std::string& digest, SpreadStep& step);

/// A peer has announced a version.
void announced(SpreadState& state, const MemberTable& table, TimePoint now, Random& random, const HostPort& from,
    std::uint64_t version, SpreadStep& step);

/// A fetch has brought a bundle that was adopted; call adopted() as well.
void fetchSucceeded(SpreadState& state, std::uint64_t id);

/// A fetch has failed, brought nothing newer, or its bundle was refused by adoptBundle().
void fetchFailed(
    SpreadState& state, const MemberTable& table, TimePoint now, Random& random, std::uint64_t id, SpreadStep& step);

/// Closes gaps by the versions that probes carry, ends a fetch that takes too long, and starts the next. Call it with
/// each membership tick.
void tickSpread(SpreadState& state, const MemberTable& table, TimePoint now, Random& random, SpreadStep& step);

} // namespace clementinefall::peers
