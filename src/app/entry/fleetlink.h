#pragma once

#include "base/random.h"
#include "bundletransfer.h"
#include "bundlewatcher.h"
#include "peers/dissemination.h"
#include "peers/membershiptransport.h"
#include "peers/peerclient.h"
#include "peers/peerserver.h"
#include "steering/routing.h"
#include "steering/sharehistory.h"

#include <functional>
#include <memory>
#include <string>

namespace clementinefall::entry {

struct FleetLinkSettings {
    std::string name;
    std::string zone;
    HostPort address; ///< UDP for membership, TCP for RPC.
    std::uint64_t incarnation = 0;
    membership::ClusterKey key {};
};

/// Callbacks of FleetLink, called on the control thread.
struct FleetLinkHandlers {
    std::function<void()> onMembersChanged;
    std::function<void()> onSuperseded; ///< Another process has taken over the name and address.
    /// Returns the response to another instance's query about slot shares.
    std::function<steering::ShareStatus(const steering::ShareQuery&)> answerShareQuery;
    std::function<void(const steering::ShareStatus&)> onShareStatus;
};

/// Exchanges membership, bundles and share status with the other entry instances. Runs on the control thread; must be
/// destroyed before the ControlLoop.
class FleetLink {
public:
    FleetLink(asio::io_context& controlContext, std::shared_ptr<BundleWatcher> bundleWatcher,
        FleetLinkSettings linkSettings, FleetLinkHandlers linkHandlers);

    /// Errors: SettingsBadAddress.
    Status start();
    void leave() { this->transport->leave(); }
    void stop();

    /// To be called once a second. Fetches bundles that other instances report and this one lacks.
    void tick();

    /// To be called whenever the bundle in force has changed, whatever its source.
    void onBundleChanged(const bundle::Bundle& inForce);

    /// Sends \a query to the other instances of the local zone in the bundle in force.
    void queryZone(const steering::ShareQuery& query);

    const membership::MemberTable& table() const { return this->transport->table(); }
    /// True if this instance is one of the watchers of its zone or has no accepted bundle.
    bool shouldWatchPlatform() const;

private:
    peers::PeerHandlers peerHandlers();
    void runActions(peers::DisseminationActions actions);
    void fetch(const peers::FetchAction& action);
    Status adoptFromPeer(const peers::BundleResponse& response);
    /// Adds the accepted bundle to the history if it is new there.
    void rememberAccepted();

    asio::io_context& context;
    std::shared_ptr<BundleWatcher> watcher;
    FleetLinkSettings settings;
    FleetLinkHandlers handlers;
    Random random = systemSeededRandom();
    std::shared_ptr<peers::MembershipTransport> transport;
    std::unique_ptr<peers::PeerServer> server;
    std::unique_ptr<peers::PeerClient> client;
    peers::DisseminationState dissemination;
    BundleHistory history;
    bool mustFetchFull = false; ///< The last delta could not be used.
    std::vector<HostPort> zonePeers; ///< Other instances of the local zone.
};

} // namespace clementinefall::entry
