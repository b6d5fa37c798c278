#pragma once

#include "platform/platformprotocol.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace clementinefall::platform_sim {

/// Objects of the simulated platform, in memory. Not thread-safe.
class ObjectStore {
public:
    /// nullptr when there is no such object.
    const platform::VersionedValue* find(const std::string& kind, const std::string& name) const;

    /// Conditional write; \a expectedVersion 0 means that the object must not exist. Gives the new version, or nothing
    /// on a conflict.
    std::optional<std::uint64_t> write(
        const std::string& kind, const std::string& name, std::string value, std::uint64_t expectedVersion);

    bool remove(const std::string& kind, const std::string& name, std::uint64_t expectedVersion);

    platform::ObjectList list(const std::string& kind) const;

    /// Revision of the last change of \a kind; 0 when it has never changed.
    std::uint64_t kindRevision(const std::string& kind) const;

private:
    std::map<std::string, std::map<std::string, platform::VersionedValue>> kinds;
    std::map<std::string, std::uint64_t> kindRevisions;
    std::uint64_t revision = 0; ///< Also the version that the next write gives, so that versions are never reused.
};

} // namespace clementinefall::platform_sim
