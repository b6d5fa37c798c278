#pragma once

#include "platform/kindwatcher.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace clementinefall::platform {

/// Recent changes of one kind of objects, kept to pass them on to other entry instances.
struct ChangeLog {
    /// More changes than the backend servers of a large fleet usually make within a few seconds. Bounds the memory.
    static constexpr std::size_t capacity = 512;

    struct Entry {
        std::uint64_t revision = 0; ///< Store revision up to which the set that brought the change was complete.
        std::string text; ///< See encodeChange(); takes a fraction of the memory of the decoded object.
    };

    std::uint64_t era = 0; ///< Of the revisions, see StorePosition.
    std::uint64_t floor = 0; ///< The log holds all changes after this revision.
    std::uint64_t revision = 0; ///< Newest revision; 0 before the first list.
    bool restartedAfterOutage = false; ///< The changes up to `floor` were lost in an outage of the store.
    std::deque<Entry> entries;
};

/// Begins the log anew after the objects were listed at \a position.
void restartChangeLog(ChangeLog& log, StorePosition position, bool afterOutage);

/// Adds the changes that followed the log's revision. Sets that are not newer, or of another era, are ignored.
void appendChanges(ChangeLog& log, const ChangeSet& changes);

struct LoggedChanges {
    std::uint64_t revision = 0;
    std::vector<std::string> changes; ///< See encodeChange().
};

/// The changes after \a revision of the log's era; nothing when the log does not reach back so far. The revision of the
/// result is never older than \a revision.
std::optional<LoggedChanges> changesAfter(const ChangeLog& log, std::uint64_t revision);

/// A change as a JSON object.
std::string encodeChange(const ObjectChange& change);
/// Throws an exception of Boost.JSON when \a value is no change.
ObjectChange decodeChange(const boost::json::value& value);

} // namespace clementinefall::platform
