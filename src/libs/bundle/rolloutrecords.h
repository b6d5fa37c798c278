#pragma once

#include "base/result.h"
#include "bundle/signoffs.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::bundle {

/// An object as read from the platform.
struct StoredObject {
    std::string key;
    std::uint64_t version = 0; ///< 0: there is no such object.
    std::string value;

    bool exists() const { return this->version != 0; }
    friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

inline constexpr std::string_view acceptedKey = "bundles/accepted";
inline constexpr std::string_view rolloutKey = "rollouts/current";
inline constexpr std::string_view auditKey = "audit/current";
std::string bundleKey(std::uint64_t version); ///< `bundles/<version>`: the canonical JSON, immutable.
std::string signOffsKey(std::uint64_t version); ///< `signoffs/<version>`.
std::string auditPageKey(std::uint64_t firstNumber); ///< `audit/<first number>`: a full page, immutable.

/// Identifiers of the latest operations on an object, oldest first. After a lost response they show whether the write
/// was applied, even when other operators have changed the object since.
using OperationList = std::vector<std::string>;
constexpr std::size_t maximumRecordedOperations = 16;

/// Content of `bundles/accepted`. Withdrawals are kept in the same object, so that the platform's conditional update
/// serializes an acceptance and a withdrawal of the same version.
struct AcceptedRecord {
    std::uint64_t version = 0; ///< 0: no bundle was accepted yet.
    std::string digest;
    std::string operatorName;
    std::vector<std::uint64_t> recent; ///< Accepted versions, ascending, up to the current one.
    std::vector<std::uint64_t> policyChain; ///< Accepted versions that changed the policy, ascending.
    std::vector<std::uint64_t> withdrawn; ///< Withdrawn versions above `version`, ascending.
    OperationList operations;

    bool isWithdrawn(std::uint64_t candidate) const;
    friend bool operator==(const AcceptedRecord&, const AcceptedRecord&) = default;
};
constexpr std::size_t maximumRecordedVersions = 64; ///< Limit of `recent` and of `policyChain`.

/// Content of `rollouts/current`.
struct RolloutRecord {
    std::uint64_t version = 0; ///< 0: nothing is staged.
    std::string digest;
    std::string operatorName;
    std::vector<std::string> zones;
    OperationList operations;

    friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

/// Content of `signoffs/<version>`.
struct SignOffRecord {
    std::uint64_t version = 0;
    std::string digest;
    std::vector<SignOff> signOffs;
    OperationList operations;

    friend bool operator==(const SignOffRecord&, const SignOffRecord&) = default;
};

/// Entry of the audit trail. A command is recorded before its first write, with outcome `requested`, and again with
/// its result.
struct AuditEntry {
    std::uint64_t number = 0; ///< Ascending from 1 without gaps.
    std::string time; ///< UTC, ISO 8601.
    std::string operationId;
    std::string operatorName;
    std::string command;
    std::uint64_t version = 0; ///< Version of the affected bundle, 0 for none.
    std::string detail;
    std::string outcome; ///< `requested`, `done`, `unknown`, or the text of an error.

    friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/// Content of `audit/current` and of the full pages.
struct AuditRecord {
    std::uint64_t firstNumber = 1; ///< Number of the first entry of this page.
    std::uint64_t previousPage = 0; ///< `firstNumber` of the previous page, 0 for none.
    std::vector<AuditEntry> entries;
    OperationList operations;

    friend bool operator==(const AuditRecord&, const AuditRecord&) = default;
};

/// Each function parses a record and returns an empty one for an object that does not exist. Error: PlatformBadAnswer.
Result<AcceptedRecord> readAccepted(const StoredObject& object);
Result<RolloutRecord> readRollout(const StoredObject& object);
Result<SignOffRecord> readSignOffs(const StoredObject& object);
Result<AuditRecord> readAudit(const StoredObject& object);

std::string serializeAccepted(const AcceptedRecord& record);
std::string serializeRollout(const RolloutRecord& record);
std::string serializeSignOffs(const SignOffRecord& record);
std::string serializeAudit(const AuditRecord& record);

/// Operations listed in a serialized record of any kind; empty for any other text.
OperationList operationsOf(std::string_view value);

/// Appends an operation and removes the oldest one above maximumRecordedOperations.
void recordOperation(OperationList& operations, const std::string& operationId);

} // namespace clementinefall::bundle
