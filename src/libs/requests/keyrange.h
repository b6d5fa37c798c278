#pragma once

#include "requests/executiontable.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace clementinefall::requests {

/// Maximum length of an idempotency key.
constexpr std::size_t maximumKeyBytes = 128;

/// Name of the entry instance that is the home of \a key, chosen by rendezvous hashing. Empty without names.
std::string_view homeOfKey(std::string_view key, std::span<const std::string> instanceNames);

/// Checks length (1 to maximumKeyBytes) and characters (visible ASCII) of a key; errors are BadParameter.
Status checkKey(std::string_view key);

/// Content of the platform object `key-ranges/<home>`. Labels are milliseconds of the callers' clocks and are used only
/// for ordering. The holder runs keys with floor < label <= ceiling.
struct KeyRange {
    std::uint64_t incarnation = 0;
    std::int64_t floor = 0;
    std::int64_t ceiling = 0;

    friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

/// The object as read from the platform; `version` is 0 when it does not exist.
struct StoredKeyRange {
    std::uint64_t version = 0;
    KeyRange range;
};

/// Conditional update of the object: write `range` if the object still has version `expectedVersion`.
struct KeyRangeWrite {
    std::uint64_t expectedVersion = 0;
    KeyRange range;
};

/// How far ahead and when a home extends its range.
struct KeyRangeReservation {
    /// Distance of a new ceiling from the wall clock. After a crash, the replacement rejects new keys until the wall
    /// clock passes the old ceiling, so a longer reservation prolongs that time. With a shorter one, keys are rejected
    /// sooner in an outage of the platform and for callers whose clocks run ahead.
    milliseconds reservedAhead = minutes(2);

    /// Remaining reservation at which the ceiling is extended. With the defaults, each home that receives keys writes
    /// once per minute, which is 12.5 writes/s for 750 instances.
    milliseconds renewalThreshold = minutes(1);
};

/// Range of keys that a home may run. Only confirmed writes and objects read back extend it.
class KeyRangeHolder {
public:
    explicit KeyRangeHolder(std::uint64_t localIncarnation, KeyRangeReservation rangeReservation = {})
        : incarnation(localIncarnation)
        , reservation(rangeReservation)
    {
    }

    /// Write that must be made now to keep or obtain a range; empty when there is none or read() must be called first.
    /// \a wallNow is the local wall clock in ms; a wrong clock reduces availability but never runs a key twice. A home
    /// without keyed requests need not call this.
    std::optional<KeyRangeWrite> requiredWrite(std::int64_t wallNow) const;

    /// True when the object must be read before it can be written: at start, after a conflict, and after a write whose
    /// response was lost.
    bool needsRead() const { return !this->lastStored.has_value(); }

    /// Processes the object as read. Adopts its range when it has the local incarnation, which resolves a write whose
    /// response was lost.
    void read(const StoredKeyRange& stored);

    /// Records that \a write succeeded and gave the object the version \a version.
    void onWriteConfirmed(const KeyRangeWrite& write, std::uint64_t version);

    /// Records that a write ended in a conflict or without a response.
    void onWriteFailed() { this->lastStored.reset(); }

    /// True when a later incarnation has taken over the object. The local range stays usable but is no longer extended.
    bool isReplaced() const { return this->isTakenOver; }

    /// For a planned stop: lowers the ceiling to the highest label that was started, and returns the write that lets a
    /// replacement run higher labels at once. Nothing above that label is run here any more, whether or not the write
    /// succeeds.
    std::optional<KeyRangeWrite> close();

    /// Records that a key with this label was started.
    void recordStarted(std::int64_t label) { this->highestStartedLabel = std::max(this->highestStartedLabel, label); }

    /// Raises the floor to \a label, because the record of a key with this label is discarded.
    void raiseFloor(std::int64_t label);

    std::int64_t floor() const { return this->localRange.floor; }
    std::int64_t ceiling() const { return this->localRange.ceiling; }

private:
    void adopt(const KeyRange& range);

    std::uint64_t incarnation;
    KeyRangeReservation reservation;
    KeyRange localRange; ///< Empty (floor = ceiling) until a range is adopted.
    std::optional<StoredKeyRange> lastStored; ///< The object as last read or written; empty when it must be read.
    bool hasRange = false; ///< A range was adopted.
    bool isTakenOver = false;
    bool isClosed = false;
    std::int64_t highestStartedLabel = 0;
};

/// Sequence of the execution table that is assigned to the key; homeBegin() is the next step.
struct KeySequence {
    std::uint64_t sequence = 0;
};

/// The label is at or below the floor: outcome unknown; the key is never run here.
struct KeyExpired { };

/// The label is above the ceiling: outcome unknown; the key may become valid later.
struct KeyNotYetValid { };

/// The key was used before with another label.
struct KeyLabelMismatch { };

/// The key has no record and none is free: outcome unknown, because the rejection is not recorded and a later copy may
/// run.
struct KeyTableFull { };

using KeyLookup = std::variant<KeySequence, KeyExpired, KeyNotYetValid, KeyLabelMismatch, KeyTableFull>;

/// Code that a home reports for a key that has no sequence.
ResultCode codeOfKeyLookup(const KeyLookup& lookup);

/// Assigns each idempotency key of this home an issued sequence, so that keys and issued identities share one
/// execution table. Not thread-safe; protected by the mutex of the execution table.
class KeyTable {
public:
    explicit KeyTable(std::size_t maximumKeys = 16384)
        : limit(maximumKeys)
    {
    }

    /// Finds the sequence of \a key, or has \a table issue a new one when \a label lies in \a range.
    KeyLookup find(
        std::string_view key, std::int64_t label, KeyRangeHolder& range, ExecutionTable& table, TimePoint now);

    /// Discards keys whose sequence lies below \a sequenceFloor and raises the floor of \a range to at least their
    /// labels.
    void discardBelow(std::uint64_t sequenceFloor, KeyRangeHolder& range);

    std::size_t size() const { return this->keys.size(); }

private:
    struct Entry {
        std::uint64_t sequence = 0;
        std::int64_t label = 0;
    };
    std::size_t limit;
    std::unordered_map<std::string, Entry> keys;
    std::uint64_t discardedBelow = 0;
};

} // namespace clementinefall::requests
