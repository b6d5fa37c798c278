#include "requests/keyrange.h"

namespace clementinefall::requests {

namespace {

bool isVisibleAscii(char c) { return c > ' ' && c < '\x7f'; }

} // namespace

std::string_view homeOfKey(std::string_view key, std::span<const std::string> instanceNames)
{
    const std::uint64_t keyHash = hash64(key);
    std::string_view home;
    std::uint64_t highest = 0;
    for (const std::string& name : instanceNames) {
        const std::uint64_t score = hash64(name, keyHash);
        if (home.empty() || score > highest || (score == highest && name < home)) {
            home = name;
            highest = score;
        }
    }
    return home;
}

Status checkKey(std::string_view key)
{
    if (key.empty() || key.size() > maximumKeyBytes)
        return makeError(ResultCode::BadParameter, "an idempotency key must have 1 to {} bytes", maximumKeyBytes);
    if (!std::all_of(key.begin(), key.end(), isVisibleAscii))
        return makeError(ResultCode::BadParameter, "an idempotency key must have only visible ASCII characters");
    return okStatus();
}

std::optional<KeyRangeWrite> KeyRangeHolder::requiredWrite(std::int64_t wallNow) const
{
    if (!this->lastStored || this->isTakenOver || this->isClosed)
        return std::nullopt;
    const std::int64_t target = wallNow + this->reservation.reservedAhead.count();
    if (this->hasRange) {
        if (this->localRange.ceiling - wallNow >= this->reservation.renewalThreshold.count())
            return std::nullopt;
        return KeyRangeWrite { this->lastStored->version, { this->incarnation, this->localRange.floor, target } };
    }
    // Without an object, no earlier incarnation ran a key. Keys older than the first reservation are rejected anyway,
    // because they may have had another home.
    const std::int64_t floor = this->lastStored->version == 0 ? wallNow : this->lastStored->range.ceiling;
    return KeyRangeWrite { this->lastStored->version, { this->incarnation, floor, std::max(floor, target) } };
}

void KeyRangeHolder::read(const StoredKeyRange& stored)
{
    this->lastStored = stored;
    if (stored.version != 0 && stored.range.incarnation == this->incarnation)
        this->adopt(stored.range);
    else if (this->hasRange)
        this->isTakenOver = true;
}

void KeyRangeHolder::onWriteConfirmed(const KeyRangeWrite& write, std::uint64_t version)
{
    this->lastStored = StoredKeyRange { version, write.range };
    this->adopt(write.range);
}

std::optional<KeyRangeWrite> KeyRangeHolder::close()
{
    this->isClosed = true;
    this->localRange.ceiling = std::clamp(
        this->highestStartedLabel, this->localRange.floor, std::max(this->localRange.floor, this->localRange.ceiling));
    if (!this->lastStored || !this->hasRange || this->isTakenOver)
        return std::nullopt;
    return KeyRangeWrite { this->lastStored->version,
        { this->incarnation, this->localRange.floor, this->localRange.ceiling } };
}

void KeyRangeHolder::raiseFloor(std::int64_t label)
{
    this->localRange.floor = std::max(this->localRange.floor, label);
}

void KeyRangeHolder::adopt(const KeyRange& range)
{
    if (this->isClosed)
        return;
    this->localRange.incarnation = range.incarnation;
    this->localRange.floor = std::max(this->localRange.floor, range.floor);
    this->localRange.ceiling = std::max(this->localRange.ceiling, range.ceiling);
    this->hasRange = true;
}

ResultCode codeOfKeyLookup(const KeyLookup& lookup)
{
    if (std::holds_alternative<KeyExpired>(lookup))
        return ResultCode::UnknownIdentityExpired;
    if (std::holds_alternative<KeyLabelMismatch>(lookup))
        return ResultCode::IdentityBodyMismatch;
    return ResultCode::UnknownNotDecided;
}

KeyLookup KeyTable::find(
    std::string_view key, std::int64_t label, KeyRangeHolder& range, ExecutionTable& table, TimePoint now)
{
    table.expire(now);
    this->discardBelow(table.floor(), range);
    const std::string name(key);
    const auto found = this->keys.find(name);
    if (found != this->keys.end()) {
        if (found->second.label != label)
            return KeyLabelMismatch {};
        return KeySequence { found->second.sequence };
    }
    if (label <= range.floor())
        return KeyExpired {};
    if (label > range.ceiling())
        return KeyNotYetValid {};
    if (this->keys.size() >= this->limit)
        return KeyTableFull {};
    const auto issued = table.issue(1, now);
    if (!issued)
        return KeyTableFull {};
    range.recordStarted(label);
    this->keys.emplace(name, Entry { issued->first, label });
    return KeySequence { issued->first };
}

void KeyTable::discardBelow(std::uint64_t sequenceFloor, KeyRangeHolder& range)
{
    if (sequenceFloor <= this->discardedBelow)
        return;
    this->discardedBelow = sequenceFloor;
    std::erase_if(this->keys, [sequenceFloor, &range](const auto& entry) {
        if (entry.second.sequence >= sequenceFloor)
            return false;
        range.raiseFloor(entry.second.label);
        return true;
    });
}

} // namespace clementinefall::requests
