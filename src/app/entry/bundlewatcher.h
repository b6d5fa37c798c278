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

/// Watches the accepted and the staged bundle in the platform and adopts them. Runs on the control thread until
/// stop(). A bundle that adoptBundle() rejects is never adopted, whatever the platform returns.
class BundleWatcher : public std::enable_shared_from_this<BundleWatcher> {
public:
    /// Called with the new bundle after the bundle in force has changed.
    using BundleChangeHandler = std::function<void(std::shared_ptr<const bundle::Bundle>)>;

    BundleWatcher(std::shared_ptr<platform::PlatformClient> platformClient, bundle::AdoptionSettings adoptionSettings,
        BundleChangeHandler onChange);

    void start(const asio::any_io_executor& executor);
    void stop() { this->isStopped = true; }

    const bundle::AdoptionState& state() const { return this->adoption; }
    /// Sign-offs of the accepted bundle in force, for peers that fetch it.
    const std::vector<bundle::SignOff>& acceptedSignOffs() const { return this->signOffs; }

    /// Adopts an accepted bundle received from a peer. Errors: those of adoptBundle() and BundleVersionNotNewer.
    Status adoptFromPeer(const bundle::Candidate& candidate);

    /// While \a condition returns false, the platform is not watched and bundles come from peers only.
    void setWatchCondition(std::function<bool()> condition) { this->shouldWatch = std::move(condition); }

private:
    using Objects = std::map<std::string, bundle::StoredObject>;

    /// Watches all objects of \a kind and calls refresh() after each change.
    Awaitable<void> watchKind(std::shared_ptr<BundleWatcher> self, std::string kind);
    /// Reads the rollout from the platform and adopts what it contains.
    Awaitable<Status> refresh();
    Awaitable<Status> readObject(std::string key, Objects& objects);
    Awaitable<Result<bundle::RolloutView>> readView(Objects& objects);
    Awaitable<Status> adopt(bundle::Candidate candidate, std::vector<std::uint64_t> policyChain, Objects& objects);
    /// Reads the policy versions between the adopted version and \a candidate into the candidate.
    Awaitable<Status> readPolicyChain(
        std::vector<std::uint64_t> versions, bundle::Candidate& candidate, Objects& objects);
    void apply(bundle::AdoptionResult result, const bundle::Candidate* candidate);

    std::shared_ptr<platform::PlatformClient> client;
    bundle::AdoptionSettings settings;
    BundleChangeHandler onBundleChanged;
    Random random = systemSeededRandom();
    bundle::AdoptionState adoption;
    std::vector<bundle::SignOff> signOffs;
    std::function<bool()> shouldWatch = [] { return true; };
    bool isStopped = false;
};

} // namespace clementinefall::entry
