#include "base/resultcode.h"

#include <algorithm>
#include <array>

namespace clementinefall {

namespace {

constexpr std::array table {
    ResultCodeInfo { ResultCode::Answered, Outcome::Answered, "answered", "The answer of a backend server, whole." },
    ResultCodeInfo { ResultCode::AnsweredFromRecord, Outcome::Answered, "answered-from-record",
        "The remembered answer to an earlier copy of the same request." },
    ResultCodeInfo { ResultCode::AnsweredBodyNotKept, Outcome::Answered, "answered-body-not-kept",
        "An earlier copy was answered; its body was too large to remember." },
    ResultCodeInfo { ResultCode::NotRunNoCapacity, Outcome::NotRun, "not-run-no-capacity",
        "No slot is free and no other zone has granted headroom." },
    ResultCodeInfo { ResultCode::NotRunShedByServer, Outcome::NotRun, "not-run-shed-by-server",
        "Every backend server that was tried shed the request before starting it." },
    ResultCodeInfo { ResultCode::NotRunNoServer, Outcome::NotRun, "not-run-no-server",
        "No backend server of the service can take new work." },
    ResultCodeInfo { ResultCode::NotRunConnectRefused, Outcome::NotRun, "not-run-connect-refused",
        "Every backend server that was tried refused the connection." },
    ResultCodeInfo { ResultCode::NotRunDeadline, Outcome::NotRun, "not-run-deadline",
        "The deadline passed before the request was sent." },
    ResultCodeInfo { ResultCode::NotRunHeldBack, Outcome::NotRun, "not-run-held-back",
        "The request is held back because copies of it crashed backend servers." },
    ResultCodeInfo { ResultCode::NotRunRecordTableFull, Outcome::NotRun, "not-run-record-table-full",
        "The execution record table is full." },
    ResultCodeInfo { ResultCode::NotRunNoBundle, Outcome::NotRun, "not-run-no-bundle",
        "The entry instance holds no accepted bundle yet." },
    ResultCodeInfo { ResultCode::NotRunUnknownService, Outcome::NotRun, "not-run-unknown-service",
        "The bundle in force has no such service." },
    ResultCodeInfo { ResultCode::NotRunStopping, Outcome::NotRun, "not-run-stopping",
        "The entry instance is stopping and takes no new work." },
    ResultCodeInfo { ResultCode::NotRunShiftCap, Outcome::NotRun, "not-run-shift-cap",
        "The shift cap between the two places is spent." },
    ResultCodeInfo { ResultCode::NotRunInvalidIdentity, Outcome::NotRun, "not-run-invalid-identity",
        "The identity was never issued by the entry instance that it names." },
    ResultCodeInfo { ResultCode::NotRunMissingIdentity, Outcome::NotRun, "not-run-missing-identity",
        "A non-idempotent request needs an identity." },
    ResultCodeInfo { ResultCode::NotRunBodyLimit, Outcome::NotRun, "not-run-body-limit",
        "The body is longer than the service allows." },
    ResultCodeInfo { ResultCode::NotRunClassMismatch, Outcome::NotRun, "not-run-class-mismatch",
        "The service does not take requests of this class." },
    ResultCodeInfo { ResultCode::NotRunRetryBudget, Outcome::NotRun, "not-run-retry-budget",
        "Earlier attempts were not run and the retry budget is spent." },
    ResultCodeInfo { ResultCode::NotRunCancelled, Outcome::NotRun, "not-run-cancelled",
        "The caller left before the request was sent." },
    ResultCodeInfo { ResultCode::NotRunMemory, Outcome::NotRun, "not-run-memory",
        "The memory of the entry instance for messages under way is exhausted." },
    ResultCodeInfo {
        ResultCode::UnknownTimeout, Outcome::Unknown, "unknown-timeout", "No answer arrived before the deadline." },
    ResultCodeInfo { ResultCode::UnknownConnectionLost, Outcome::Unknown, "unknown-connection-lost",
        "The connection broke after the request was sent." },
    ResultCodeInfo { ResultCode::UnknownHomeUnreachable, Outcome::Unknown, "unknown-home-unreachable",
        "The entry instance that issued the identity cannot be reached." },
    ResultCodeInfo { ResultCode::UnknownHomeReplaced, Outcome::Unknown, "unknown-home-replaced",
        "The entry instance that issued the identity has been replaced." },
    ResultCodeInfo { ResultCode::UnknownIdentityExpired, Outcome::Unknown, "unknown-identity-expired",
        "The identity is older than its lifetime and is not run again." },
    ResultCodeInfo { ResultCode::UnknownAnswerInvalid, Outcome::Unknown, "unknown-answer-invalid",
        "The answer could not be parsed or belongs to another request." },
    ResultCodeInfo { ResultCode::UnknownCancelled, Outcome::Unknown, "unknown-cancelled",
        "The caller left after the request was sent." },
    ResultCodeInfo { ResultCode::UnknownNotDecided, Outcome::Unknown, "unknown-not-decided",
        "This copy was not run here, but another copy may have been." },
    ResultCodeInfo {
        ResultCode::UnknownAnswerCut, Outcome::Unknown, "unknown-answer-cut", "The answer broke off before its end." },
    ResultCodeInfo { ResultCode::UnknownServerRejected, Outcome::Unknown, "unknown-server-rejected",
        "The server rejected the request without stating that it has not run." },
    ResultCodeInfo { ResultCode::BadRequest, Outcome::NotRun, "bad-request",
        "The message is not valid HTTP/1.1 or misses a required part." },
    ResultCodeInfo {
        ResultCode::HeaderTooLarge, Outcome::NotRun, "header-too-large", "The header is larger than the limit." },
    ResultCodeInfo {
        ResultCode::BodyTooLarge, Outcome::NotRun, "body-too-large", "The body is larger than the limit." },
    ResultCodeInfo { ResultCode::NotFound, Outcome::NotRun, "not-found", "There is no such resource." },
    ResultCodeInfo { ResultCode::MethodNotAllowed, Outcome::NotRun, "method-not-allowed",
        "The resource does not take this method." },
    ResultCodeInfo {
        ResultCode::BadParameter, Outcome::NotRun, "bad-parameter", "A parameter or header has an invalid value." },
    ResultCodeInfo { ResultCode::IdentityBodyMismatch, Outcome::Unknown, "identity-body-mismatch",
        "The identity was used before with another method, path or body." },
    ResultCodeInfo { ResultCode::TooManyConnections, Outcome::NotRun, "too-many-connections",
        "The peer has too many open connections." },
    ResultCodeInfo { ResultCode::SlowSender, Outcome::Unknown, "slow-sender", "The peer sent too slowly." },
    ResultCodeInfo { ResultCode::SettingsUnreadable, Outcome::NotRun, "settings-unreadable",
        "The settings file cannot be read or is not INI." },
    ResultCodeInfo { ResultCode::SettingsUnknownKey, Outcome::NotRun, "settings-unknown-key",
        "The settings file has a key that is not known." },
    ResultCodeInfo {
        ResultCode::SettingsMissingKey, Outcome::NotRun, "settings-missing-key", "A required key is missing." },
    ResultCodeInfo { ResultCode::SettingsOutOfRange, Outcome::NotRun, "settings-out-of-range",
        "A value is outside its allowed range." },
    ResultCodeInfo {
        ResultCode::SettingsNotANumber, Outcome::NotRun, "settings-not-a-number", "A value is not a number." },
    ResultCodeInfo { ResultCode::SettingsBadAddress, Outcome::NotRun, "settings-bad-address",
        "A value is not an IP address with a port." },
    ResultCodeInfo { ResultCode::BundleNotJson, Outcome::NotRun, "bundle-not-json", "The bundle is not valid JSON." },
    ResultCodeInfo {
        ResultCode::BundleMissingField, Outcome::NotRun, "bundle-missing-field", "A required field is missing." },
    ResultCodeInfo { ResultCode::BundleWrongType, Outcome::NotRun, "bundle-wrong-type", "A field has the wrong type." },
    ResultCodeInfo {
        ResultCode::BundleOutOfRange, Outcome::NotRun, "bundle-out-of-range", "A value is outside its allowed range." },
    ResultCodeInfo { ResultCode::BundleUnknownReference, Outcome::NotRun, "bundle-unknown-reference",
        "A name refers to nothing in the bundle." },
    ResultCodeInfo {
        ResultCode::BundleDuplicateName, Outcome::NotRun, "bundle-duplicate-name", "A name is used twice." },
    ResultCodeInfo { ResultCode::BundleCapAboveLink, Outcome::NotRun, "bundle-cap-above-link",
        "A shift cap is larger than the link budget can carry." },
    ResultCodeInfo { ResultCode::BundleZoneUnreachable, Outcome::NotRun, "bundle-zone-unreachable",
        "An availability zone has no entry instance or no link." },
    ResultCodeInfo { ResultCode::BundleNoSpareZone, Outcome::NotRun, "bundle-no-spare-zone",
        "The capacity does not cover the loss of one availability zone." },
    ResultCodeInfo {
        ResultCode::BundleBadSignature, Outcome::NotRun, "bundle-bad-signature", "A signature does not verify." },
    ResultCodeInfo { ResultCode::BundleNotEnoughSignatures, Outcome::NotRun, "bundle-not-enough-signatures",
        "Fewer valid signatures than the policy demands." },
    ResultCodeInfo { ResultCode::BundleVersionNotNewer, Outcome::NotRun, "bundle-version-not-newer",
        "The version is not newer than the accepted one." },
    ResultCodeInfo { ResultCode::BundleSignedByAuthor, Outcome::NotRun, "bundle-signed-by-author",
        "The author of a bundle cannot sign it off." },
    ResultCodeInfo { ResultCode::BundleUnknownField, Outcome::NotRun, "bundle-unknown-field", "A field is not known." },
    ResultCodeInfo { ResultCode::PlatformUnreachable, Outcome::NotRun, "platform-unreachable",
        "The platform refused or broke the connection." },
    ResultCodeInfo { ResultCode::PlatformConflict, Outcome::NotRun, "platform-conflict",
        "The object has changed since it was read." },
    ResultCodeInfo {
        ResultCode::PlatformNotFound, Outcome::NotRun, "platform-not-found", "The platform has no such object." },
    ResultCodeInfo { ResultCode::PlatformTimeout, Outcome::NotRun, "platform-timeout",
        "The platform did not answer in time; a write may have taken effect." },
    ResultCodeInfo { ResultCode::PlatformBadAnswer, Outcome::NotRun, "platform-bad-answer",
        "The answer of the platform could not be parsed." },
    ResultCodeInfo { ResultCode::PlatformBudget, Outcome::NotRun, "platform-budget", "The call budget is spent." },
    ResultCodeInfo { ResultCode::PlatformHistoryLost, Outcome::NotRun, "platform-history-lost",
        "The platform no longer knows what changed since the last call." },
    ResultCodeInfo {
        ResultCode::PeerUnreachable, Outcome::NotRun, "peer-unreachable", "The entry instance cannot be reached." },
    ResultCodeInfo {
        ResultCode::PeerBadMessage, Outcome::NotRun, "peer-bad-message", "A message of a peer could not be parsed." },
    ResultCodeInfo { ResultCode::PeerBadAuthenticator, Outcome::NotRun, "peer-bad-authenticator",
        "A message of a peer failed authentication." },
    ResultCodeInfo {
        ResultCode::PeerVersion, Outcome::NotRun, "peer-version", "The peer speaks no common protocol version." },
    ResultCodeInfo { ResultCode::AdminForbidden, Outcome::NotRun, "admin-forbidden", "The operator lacks the role." },
    ResultCodeInfo {
        ResultCode::AdminConflict, Outcome::NotRun, "admin-conflict", "Another operator changed the object first." },
    ResultCodeInfo { ResultCode::AdminNotFound, Outcome::NotRun, "admin-not-found", "There is no such object." },
    ResultCodeInfo { ResultCode::AdminBadState, Outcome::NotRun, "admin-bad-state",
        "The object is not in a state that allows this." },
    ResultCodeInfo { ResultCode::AdminUnauthenticated, Outcome::NotRun, "admin-unauthenticated",
        "The operator key is missing or not known." },
};

const ResultCodeInfo* findInfo(unsigned codeNumber)
{
    const auto* found = std::lower_bound(table.begin(), table.end(), codeNumber,
        [](const ResultCodeInfo& info, unsigned wanted) { return number(info.code) < wanted; });
    if (found == table.end() || number(found->code) != codeNumber)
        return nullptr;
    return found;
}

} // namespace

std::span<const ResultCodeInfo> resultCodeTable() { return table; }

const ResultCodeInfo& resultCodeInfo(ResultCode code)
{
    const ResultCodeInfo* info = findInfo(number(code));
    return info ? *info : table.front();
}

std::optional<ResultCode> resultCodeFromNumber(unsigned codeNumber)
{
    const ResultCodeInfo* info = findInfo(codeNumber);
    if (!info)
        return std::nullopt;
    return info->code;
}

Outcome outcomeOf(ResultCode code) { return resultCodeInfo(code).outcome; }

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace clementinefall
