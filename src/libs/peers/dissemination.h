#pragma once

#include "base/random.h"
#include "base/result.h"
#include "membership/membertable.h"

#include <optional>
#include <string>
#include <vector>

namespace clementinefall::peers {

using membership::MemberTable;

/// Number of live members of a zone that watch the platform for new bundles.
constexpr std::size_t watchersPerZone = 2;
/// Number of peers to which an instance announces a bundle that it has adopted.
constexpr std::size_t announceFanOut = 3;

struct DisseminationTiming {
    /// A fetch that takes longer is retried from another source. Connecting, authenticating and responding take four
    /// round trips of at most 110 ms.
    milliseconds fetchTimeout { 1000 };
    /// A source is not used for this long after a failed fetch.
    milliseconds sourceBackoff { 3000 };
};

/// A peer that has announced or reported a newer version.
struct BundleSource {
    HostPort address;
    std::uint64_t version = 0;
    TimePoint backoffUntil; ///< The source is skipped until then after a failed fetch.
};

struct BundleFetch {
    HostPort source;
    TimePoint startedAt;
    std::uint64_t id = 0; ///< Distinguishes the response to this fetch from a late response to an earlier one.
};

/// Bundle dissemination state of one instance. Plain data; the functions below change it.
struct DisseminationState {
    DisseminationTiming timing;
    std::uint64_t version = 0; ///< Version of the adopted bundle; 0 when there is none.
    std::string digest;
    std::vector<BundleSource> sources; ///< Peers with newer versions, newest last.
    std::optional<BundleFetch> fetch;
    std::uint64_t lastFetchId = 0;
};

struct AnnounceAction {
    HostPort to;
    std::uint64_t version = 0;
    std::string digest;
};

struct FetchAction {
    HostPort from;
    std::uint64_t id = 0; ///< To be passed to fetchSucceeded() or fetchFailed().
    std::uint64_t haveVersion = 0;
    std::string haveDigest;
};

/// Calls that the instance must make after a change of its state.
struct DisseminationActions {
    std::vector<AnnounceAction> announces;
    std::optional<FetchAction> fetch;
};

/// True when the instance is one of the watchersPerZone highest-ranked live members of its zone by rendezvous hash.
/// While the member tables of a zone differ, it can have more or fewer watchers.
bool isWatcher(const MemberTable& table);

/// At most announceFanOut random live members, from different zones where that is possible.
std::vector<HostPort> pickAnnouncePeers(const MemberTable& table, Random& random);

/// Records that the instance has adopted a bundle, from any source. Cancels the fetch in flight unless its source has a
/// newer version still.
void bundleAdopted(DisseminationState& state, const MemberTable& table, Random& random, std::uint64_t version,
    const std::string& digest, DisseminationActions& actions);

/// Records that a peer has announced a version.
void versionAnnounced(DisseminationState& state, const MemberTable& table, TimePoint now, Random& random,
    const HostPort& from, std::uint64_t version, DisseminationActions& actions);

/// Ends a fetch whose bundle was adopted; call bundleAdopted() as well.
void fetchSucceeded(DisseminationState& state, std::uint64_t id);

/// Ends a fetch that failed, returned nothing newer, or whose bundle was rejected. The next source is tried.
void fetchFailed(DisseminationState& state, const MemberTable& table, TimePoint now, Random& random, std::uint64_t id,
    DisseminationActions& actions);

/// Adds sources from the versions that members report in probes, times out the fetch in flight and starts the next.
/// Call it periodically.
void tickDissemination(
    DisseminationState& state, const MemberTable& table, TimePoint now, Random& random, DisseminationActions& actions);

} // namespace clementinefall::peers
