#pragma once

#include "platform/platformprotocol.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace clementinefall::platform_sim {

/// In-memory objects of the simulated platform. Not thread-safe.
class ObjectStore {
public:
    /// Returns nullptr if the object does not exist.
    const platform::VersionedValue* find(const std::string& kind, const std::string& name) const;

    /// Writes the object if its version is \a expectedVersion; 0 means that it must not exist. Returns the new version,
    /// or std::nullopt on a conflict.
    std::optional<std::uint64_t> write(
        const std::string& kind, const std::string& name, std::string value, std::uint64_t expectedVersion);

    /// Returns false if the object does not exist or its version is not \a expectedVersion.
    bool remove(const std::string& kind, const std::string& name, std::uint64_t expectedVersion);

    platform::ObjectList list(const std::string& kind) const;

    /// Revision of the latest change to an object of \a kind; 0 if there was none.
    std::uint64_t kindRevision(const std::string& kind) const;

private:
    std::map<std::string, std::map<std::string, platform::VersionedValue>> kinds;
    std::map<std::string, std::uint64_t> kindRevisions;
    std::uint64_t revision = 0; ///< Counts changes of all kinds. Object versions are taken from it, so none is reused.
};

} // namespace clementinefall::platform_sim
