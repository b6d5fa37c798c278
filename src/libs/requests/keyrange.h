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

/// Most bytes of an idempotency key.
constexpr std::size_t maximumKeyBytes = 128;

/// Name of the instance that is the home of \a key: the highest rendezvous hash. Empty without names.
std::string_view homeOfKey(std::string_view key, std::span<const std::string> instanceNames);

/// Checks length (1 to maximumKeyBytes) and characters (visible ASCII) of a key; errors are BadParameter.
Status checkKey(std::string_view key);

/// Content of the platform object `key-ranges/<home>`. Labels are milliseconds of the callers' clocks and used for
/// ordering only. The holder runs keys with floor < label <= ceiling.
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

/// Conditional update that the owner should perform: write `range` if the object still has version `expectedVersion`.
struct KeyRangeWrite {
    std::uint64_t expectedVersion = 0;
    KeyRange range;
};

/// When a home extends its range.
struct KeyRangeReservation {
    /// How far the ceiling is reserved ahead of the wall clock. A replacement after a crash refuses new keys until the
    /// wall clock passes the old ceiling, so a longer reservation costs more then, and a shorter one costs more in an
    /// outage of the platform and for callers whose clocks run ahead.
    milliseconds ahead = minutes(2);

    /// Remaining reservation at which the ceiling is extended: one write a minute for each home that receives keys,
    /// which is 12.5 writes/s for 750 instances.
    milliseconds lead = minutes(1);
};

/// What a home may run, from its confirmed writes only.
class KeyRangeHolder {
public:
    explicit KeyRangeHolder(std::uint64_t ownIncarnation, KeyRangeReservation rangeTimes = {})
        : incarnation(ownIncarnation)
        , times(rangeTimes)
    {
    }

    /// Write that is wanted now, or none. \a wallNow is the local wall clock in ms; a wrong clock costs availability,
    /// never a double run. Until read() was called, nothing is wanted. Owners without keyed requests need not ask.
    std::optional<KeyRangeWrite> requiredWrite(std::int64_t wallNow) const;

    /// True when the object must be read before anything can be written: at start, after a conflict, and after a write
    /// whose response was lost.
    bool needsRead() const { return !this->known.has_value(); }

    /// Takes the object as read. Adopts the range when it carries the own incarnation, which resolves a lost response.
    void read(const StoredKeyRange& stored);

    /// A write was confirmed with the new version \a version.
    void onWriteConfirmed(const KeyRangeWrite& write, std::uint64_t version);

    /// A write ended as a conflict or without response.
    void onWriteFailed() { this->known.reset(); }

    /// True when the object was taken over by a later incarnation. The own range stays usable, nothing extends it.
    bool isReplaced() const { return this->replaced; }

    /// Ends the use of the range at the highest label that was run, for a planned stop, and returns the write that lets
    /// a replacement run higher labels at once. Nothing above that label is run here any more, whether or not the
    /// write succeeds.
    std::optional<KeyRangeWrite> close();

    /// Remembers that a key with this label was started.
    void recordStarted(std::int64_t label) { this->highestStarted = std::max(this->highestStarted, label); }

    /// Raises the floor because the record of a key with this label is discarded.
    void raiseFloor(std::int64_t label);

    std::int64_t floor() const { return this->own.floor; }
    std::int64_t ceiling() const { return this->own.ceiling; }

private:
    void adopt(const KeyRange& range);

    std::uint64_t incarnation;
    KeyRangeReservation times;
    KeyRange own; ///< Empty (floor = ceiling) until a write is confirmed.
    std::optional<StoredKeyRange> known;
    bool holds = false; ///< A range was adopted.
    bool replaced = false;
    bool closed = false;
    std::int64_t highestStarted = 0;
};

/// The key stands for this sequence of the execution table; the caller goes on with homeBegin().
struct KeySequence {
    std::uint64_t sequence = 0;
};

/// Label at or below the floor: outcome unknown, never run here.
struct KeyExpired { };

/// Label above the ceiling: outcome unknown, may become valid.
struct KeyNotYetValid { };

/// The key was used before with another label.
struct KeyLabelMismatch { };

/// Nothing is known of the key and no record is free. Unknown, because nothing remembers this refusal.
struct KeyTableFull { };

using KeyLookup = std::variant<KeySequence, KeyExpired, KeyNotYetValid, KeyLabelMismatch, KeyTableFull>;

/// Code that a home tells for a key that has no sequence.
ResultCode codeOfKeyLookup(const KeyLookup& lookup);

/// Assigns each idempotency key of this home an issued sequence, so that keys and issued identities share one
/// execution table. Not thread-safe; belongs under the mutex of the execution table.
class KeyTable {
public:
    explicit KeyTable(std::size_t mostKeys = 16384)
        : limit(mostKeys)
    {
    }

    /// Finds the sequence of \a key, or assigns a new one of \a table when the label lies in the range of \a range.
    KeyLookup find(
        std::string_view key, std::int64_t label, KeyRangeHolder& range, ExecutionTable& table, TimePoint now);

    /// Discards keys whose sequence lies below \a sequenceFloor and raises the floor of \a range over their labels.
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
