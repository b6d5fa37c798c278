#pragma once

#include "admin/adminstore.h"
#include "platform/platformclient.h"

#include <memory>

namespace clementinefall::admin {

/// AdminStore on top of the platform's object API. The key `<kind>/<name>` refers to object `<name>` of that kind.
class PlatformStore : public AdminStore {
public:
    explicit PlatformStore(std::shared_ptr<platform::PlatformClient> platformClient);

    Awaitable<Result<bundle::StoredObject>> read(std::string key) override;
    Awaitable<Status> write(bundle::ConditionalWrite write) override;
    Awaitable<Result<std::vector<std::uint64_t>>> bundleVersions() override;

private:
    std::shared_ptr<platform::PlatformClient> client;
};

} // namespace clementinefall::admin
