#pragma once

#include "bundle/rolloutsteps.h"
#include "http/awaitable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinefall::admin {

/// Access of the administration API to objects in the platform. Not thread-safe.
class AdminStore {
public:
    AdminStore() = default;
    virtual ~AdminStore() = default;
    AdminStore(const AdminStore&) = delete;
    AdminStore& operator=(const AdminStore&) = delete;

    /// Returns version 0 for an object that does not exist. Errors: 7000s.
    virtual Awaitable<Result<bundle::StoredObject>> read(std::string key) = 0;

    /// Errors: PlatformConflict, and other 7000s. After the latter the write may or may not have taken effect.
    virtual Awaitable<Status> write(bundle::ConditionalWrite write) = 0;

    /// Versions of all submitted bundles, ascending. Errors: 7000s.
    virtual Awaitable<Result<std::vector<std::uint64_t>>> bundleVersions() = 0;
};

} // namespace clementinefall::admin
