#pragma once

#include "base/random.h"
#include "bundle/adoption.h"
#include "bundle/rolloutsteps.h"
#include "platform/platformclient.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace clementinefall::entry {

/// Follows the accepted and the staged bundle in the platform and adopts them. Runs on the control thread until
/// stop(). It adopts nothing that adoptBundle() refuses, whatever the platform answers.
class BundleWatcher : public std::enable_shared_from_this<BundleWatcher> {
public:
    /// Called when the bundle in force has changed.
    using InForceChanged = std::function<void(std::shared_ptr<const bundle::Bundle>)>;

    BundleWatcher(std::shared_ptr<platform::PlatformClient> platformClient, bundle::AdoptionSettings adoptionSettings,
        InForceChanged onChange);

    void start(const asio::any_io_executor& executor);
    void stop() { this->stopped = true; }

    const bundle::AdoptionState& state() const { return this->adoption; }
    /// Sign-offs of the accepted bundle in force, for peers that fetch it.
    const std::vector<bundle::SignOff>& acceptedSignOffs() const { return this->signOffs; }

    /// Offers an accepted bundle that a peer sent. Errors: as adoptBundle(), and BundleVersionNotNewer.
    Status offerFromPeer(const bundle::Candidate& candidate);

    /// While it returns false, the platform is not watched; peers bring the bundles then.
    void setWatchCondition(std::function<bool()> condition) { this->shouldWatch = std::move(condition); }

private:
    using Objects = std::map<std::string, bundle::StoredObject>;

    /// Watches one kind of object and refreshes after each change.
    Awaitable<void> follow(std::shared_ptr<BundleWatcher> self, std::string kind);
    Awaitable<Status> refresh();
    Awaitable<Status> readObject(std::string key, Objects& objects);
    Awaitable<Result<bundle::RolloutView>> readView(Objects& objects);
    Awaitable<Status> offer(bundle::Candidate candidate, std::vector<std::uint64_t> policyChain, Objects& objects);
    Awaitable<Status> readTrail(std::vector<std::uint64_t> versions, bundle::Candidate& candidate, Objects& objects);
    void apply(bundle::AdoptionResult step, const bundle::Candidate* candidate);

    std::shared_ptr<platform::PlatformClient> client;
    bundle::AdoptionSettings settings;
    InForceChanged changed;
    Random random = systemSeededRandom();
    bundle::AdoptionState adoption;
    std::vector<bundle::SignOff> signOffs;
    std::function<bool()> shouldWatch = [] { return true; };
    bool stopped = false;
};

} // namespace clementinefall::entry
