#pragma once

#include "base/result.h"
#include "bundle/signoffs.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::bundle {

/// An object of the platform as read.
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

/// Identifiers of the newest operations on an object, oldest first. They show after a lost answer that a write took
/// effect, also when other operators have changed the object since.
using OperationList = std::vector<std::string>;
constexpr std::size_t keptOperations = 16;

/// `bundles/accepted`. Withdrawals are kept in the same object, so that the platform's conditional update orders an
/// acceptance and a withdrawal of the same version.
struct AcceptedRecord {
    std::uint64_t version = 0; ///< 0: no bundle was accepted yet.
    std::string digest;
    std::string operatorName;
    std::vector<std::uint64_t> recent; ///< Accepted versions, ascending, the current one last; at most keptVersions.
    std::vector<std::uint64_t> policyTrail; ///< Those that changed the policy; at most keptVersions.
    std::vector<std::uint64_t> withdrawn; ///< Withdrawn versions above `version`, ascending.
    OperationList operations;

    bool isWithdrawn(std::uint64_t candidate) const;
    friend bool operator==(const AcceptedRecord&, const AcceptedRecord&) = default;
};
constexpr std::size_t keptVersions = 64;

/// `rollouts/current`.
struct RolloutRecord {
    std::uint64_t version = 0; ///< 0: nothing is staged.
    std::string digest;
    std::string operatorName;
    std::vector<std::string> zones;
    OperationList operations;

    friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

/// `signoffs/<version>`.
struct SignOffRecord {
    std::uint64_t version = 0;
    std::string digest;
    std::vector<SignOff> signOffs;
    OperationList operations;

    friend bool operator==(const SignOffRecord&, const SignOffRecord&) = default;
};

/// One line of the audit trail. A command is recorded before its first write, with outcome `requested`, and again
/// with its result.
struct AuditEntry {
    std::uint64_t number = 0; ///< Ascending from 1 without gaps.
    std::string time; ///< UTC, ISO 8601.
    std::string operationId;
    std::string operatorName;
    std::string command;
    std::uint64_t version = 0; ///< Version of the bundle concerned, 0 for none.
    std::string detail;
    std::string outcome; ///< `requested`, `done`, `unknown`, or the text of an error.

    friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/// `audit/current` and the full pages.
struct AuditRecord {
    std::uint64_t firstNumber = 1; ///< Number of the first entry of this page.
    std::uint64_t previousPage = 0; ///< `firstNumber` of the page before, 0 for none.
    std::vector<AuditEntry> entries;
    OperationList operations;

    friend bool operator==(const AuditRecord&, const AuditRecord&) = default;
};

/// Each reader gives the empty record for an object that does not exist. Error: PlatformBadAnswer.
Result<AcceptedRecord> readAccepted(const StoredObject& object);
Result<RolloutRecord> readRollout(const StoredObject& object);
Result<SignOffRecord> readSignOffs(const StoredObject& object);
Result<AuditRecord> readAudit(const StoredObject& object);

std::string serializeAccepted(const AcceptedRecord& record);
std::string serializeRollout(const RolloutRecord& record);
std::string serializeSignOffs(const SignOffRecord& record);
std::string serializeAudit(const AuditRecord& record);

/// Operations listed in any of the records; empty for another value.
OperationList operationsOf(std::string_view value);

/// Adds an operation and drops the oldest above keptOperations.
void noteOperation(OperationList& operations, const std::string& operationId);

} // namespace clementinefall::bundle
