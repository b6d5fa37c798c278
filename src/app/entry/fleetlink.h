#pragma once

#include "base/random.h"
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

/// What the entry instance does when the fleet tells it something. Called on the control thread.
struct FleetLinkHandlers {
    std::function<void()> membersChanged;
    std::function<void()> superseded; ///< Another process has taken over the name and address.
    /// Answers another instance's query about slot shares.
    std::function<steering::ShareStatus(const steering::ShareQuery&)> answerShareQuery;
    std::function<void(const steering::ShareStatus&)> shareStatusArrived;
};

/// Membership, bundle spreading and share status between entry instances. Runs on the control thread and is destroyed
/// before its ControlLoop.
class FleetLink {
public:
    FleetLink(asio::io_context& controlContext, std::shared_ptr<BundleWatcher> bundleWatcher,
        FleetLinkSettings linkSettings, FleetLinkHandlers linkHandlers);

    /// Errors: SettingsBadAddress.
    Status start();
    void leave() { this->transport->leave(); }
    void stop();

    /// Once a second: closes gaps and starts fetches.
    void tick();

    /// The bundle in force has changed, from whatever source.
    void bundleChanged(const bundle::Bundle& inForce);

    /// Sends \a query to the other instances of the own zone that the bundle in force names.
    void queryZone(const steering::ShareQuery& query);

    const membership::MemberTable& table() const { return this->transport->table(); }
    /// True when this instance should watch the platform: it is one of the watchers of its zone, or holds no bundle.
    bool shouldWatchPlatform() const;

private:
    peers::PeerHandlers peerHandlers();
    peers::BundleResponse bundleFor(std::uint64_t haveVersion) const;
    void run(peers::DisseminationActions step);
    void fetch(const peers::FetchAction& action);
    Status adoptFromPeer(const peers::BundleResponse& answer);

    asio::io_context& context;
    std::shared_ptr<BundleWatcher> watcher;
    FleetLinkSettings settings;
    FleetLinkHandlers handlers;
    Random random = systemSeededRandom();
    std::shared_ptr<peers::MembershipTransport> transport;
    std::unique_ptr<peers::PeerServer> server;
    std::unique_ptr<peers::PeerClient> client;
    peers::DisseminationState spread;
    std::vector<HostPort> zonePeers;
};

} // namespace clementinefall::entry
