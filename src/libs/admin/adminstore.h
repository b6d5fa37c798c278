#pragma once

#include "bundle/rolloutsteps.h"
#include "http/awaitable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinefall::admin {

/// Objects of the platform as the administration API needs them. Used on one thread.
class AdminStore {
public:
    AdminStore() = default;
    virtual ~AdminStore() = default;
    AdminStore(const AdminStore&) = delete;
    AdminStore& operator=(const AdminStore&) = delete;

    /// An object that does not exist has version 0. Errors: 7000s.
    virtual Awaitable<Result<bundle::StoredObject>> read(std::string key) = 0;

    /// Errors: PlatformConflict, and other 7000s, after which the write may have taken effect.
    virtual Awaitable<Status> write(bundle::ConditionalWrite write) = 0;

    /// Versions of all submitted bundles, ascending. Errors: 7000s.
    virtual Awaitable<Result<std::vector<std::uint64_t>>> bundleVersions() = 0;
};

} // namespace clementinefall::admin
