#pragma once

#include "base/result.h"
#include "peers/peermessages.h"

#include <deque>
#include <string>

/// How entry instances send each other bundles. A change mostly touches one entry, and each instance serves about one
/// fetch a change, so a full bundle for each would exceed the budget for control traffic at the design scale.
namespace clementinefall::entry {

/// A bundle in force now or before, as canonical text.
struct KnownBundle {
    std::uint64_t version = 0;
    std::string digest; ///< Raw bytes.
    std::string text;
    std::string signOffs; ///< As the platform stores them.
};

/// The last bundles in force, ascending by version. A peer that lags behind by more gets the full bundle.
struct BundleHistory {
    static constexpr std::size_t capacity = 4;

    std::deque<KnownBundle> bundles;
};

/// 0 for an empty history.
std::uint64_t newestVersion(const BundleHistory& history);

/// Adds a bundle in force; ignored unless it is newer than all others.
void rememberBundle(BundleHistory& history, KnownBundle bundle);

/// Response to a peer: nothing unless the newest bundle is newer than the peer's, a delta if the peer accepts one and
/// has a bundle of the history, else the full bundle.
peers::BundleResponse bundleResponse(const BundleHistory& history, const peers::BundleQuery& query);

/// The bundle in a peer's response. Its signatures must still be checked. Error: PeerBadMessage; for a delta, the full
/// bundle may succeed.
Result<KnownBundle> receivedBundle(const BundleHistory& history, const peers::BundleResponse& response);

} // namespace clementinefall::entry
