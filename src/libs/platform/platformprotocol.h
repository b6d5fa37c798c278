#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The platform's object API: JSON over HTTP/1.1.
///
/// - `GET /objects/<kind>/<name>`: the value; `ETag: "<version>"`.
/// - `PUT /objects/<kind>/<name>` with `If-Match: "<version>"` or `If-None-Match: *`: 200 with the new version, or 412.
/// - `GET /objects/<kind>`: names and versions.
/// - `GET /watch/<kind>?after=<revision>&waitMs=<n>`: waits for a change of the kind.
/// - `GET /instances`: entry instances and backend servers; the list may be outdated.
namespace clementinefall::platform {

/// Limit for the value of one object.
inline constexpr std::size_t maximumValueBytes = 1024 * 1024;

/// Limit for the response to any call.
inline constexpr std::size_t maximumListBytes = 8 * 1024 * 1024;

struct VersionedValue {
    std::string value;
    std::uint64_t version = 0; ///< Greater than 0 for an object that exists.
};

struct ObjectRef {
    std::string name;
    std::uint64_t version = 0;

    friend bool operator==(const ObjectRef&, const ObjectRef&) = default;
};

/// Names and versions of the objects of a kind, and the platform's revision at which they were read.
struct ObjectList {
    std::uint64_t revision = 0;
    std::vector<ObjectRef> objects;

    friend bool operator==(const ObjectList&, const ObjectList&) = default;
};

enum class InstanceState : std::uint8_t { Live, Leaving };

struct ListedInstance {
    std::string name;
    InstanceState state = InstanceState::Live;

    friend bool operator==(const ListedInstance&, const ListedInstance&) = default;
};

struct InstanceList {
    std::vector<ListedInstance> entryInstances;
    std::vector<ListedInstance> backendServers;

    friend bool operator==(const InstanceList&, const InstanceList&) = default;
};

std::string serializeObjectList(const ObjectList& list);
/// Error: PlatformBadAnswer.
Result<ObjectList> parseObjectList(std::string_view json);

std::string serializeInstanceList(const InstanceList& list);
/// Error: PlatformBadAnswer.
Result<InstanceList> parseInstanceList(std::string_view json);

/// `"<version>"`, as in ETag and If-Match.
std::string formatEntityTag(std::uint64_t version);
/// Error: PlatformBadAnswer.
Result<std::uint64_t> parseEntityTag(std::string_view text);

} // namespace clementinefall::platform
