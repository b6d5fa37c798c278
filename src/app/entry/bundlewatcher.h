#pragma once

#include "base/random.h"
#include "bundle/bundle.h"
#include "platform/platformclient.h"

#include <functional>
#include <memory>

namespace clementinefall::entry {

/// Follows the accepted bundle in the platform. Runs on the control thread until stop().
class BundleWatcher : public std::enable_shared_from_this<BundleWatcher> {
public:
    using Adopt = std::function<void(std::shared_ptr<const bundle::Bundle>)>;

    BundleWatcher(std::shared_ptr<platform::PlatformClient> platformClient, Adopt onAdopt);

    void start(asio::any_io_executor executor);
    void stop() { this->stopped = true; }

private:
    Awaitable<void> run(std::shared_ptr<BundleWatcher> self);
    Awaitable<Status> fetchAccepted();

    std::shared_ptr<platform::PlatformClient> client;
    Adopt adopt;
    Random random = systemSeededRandom();
    std::uint64_t adoptedVersion = 0;
    bool stopped = false;
};

} // namespace clementinefall::entry
