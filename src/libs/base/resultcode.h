#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace clementinefall {

/// What a result code says about the request's effect on backend servers.
enum class Outcome : std::uint8_t {
    Answered, ///< A backend server's answer, or the system's own answer, is complete.
    NotRun, ///< The request never reached a backend server and never will under its identity.
    Unknown, ///< A backend server may have run the request.
};

/// Stable result codes. A number is never reused. `docs/RESULT-CODES.md` lists them.
enum class ResultCode : std::uint16_t {
    Answered = 1000,
    AnsweredFromRecord = 1001,
    AnsweredBodyNotKept = 1002,

    NotRunNoCapacity = 2000,
    NotRunShedByServer = 2001,
    NotRunNoServer = 2002,
    NotRunConnectRefused = 2003,
    NotRunDeadline = 2004,
    NotRunHeldBack = 2005,
    NotRunRecordTableFull = 2006,
    NotRunNoBundle = 2007,
    NotRunUnknownService = 2008,
    NotRunStopping = 2009,
    NotRunShiftCap = 2010,
    NotRunInvalidIdentity = 2011,
    NotRunMissingIdentity = 2012,
    NotRunBodyLimit = 2013,
    NotRunClassMismatch = 2014,
    NotRunRetryBudget = 2015,
    NotRunCancelled = 2016,
    NotRunMemory = 2017,

    UnknownTimeout = 3000,
    UnknownConnectionLost = 3001,
    UnknownHomeUnreachable = 3002,
    UnknownHomeReplaced = 3003,
    UnknownIdentityExpired = 3004,
    UnknownAnswerInvalid = 3005,
    UnknownCancelled = 3006,
    UnknownNotDecided = 3007,
    UnknownAnswerCut = 3008,
    UnknownServerRejected = 3009,

    BadRequest = 4000,
    HeaderTooLarge = 4001,
    BodyTooLarge = 4002,
    NotFound = 4003,
    MethodNotAllowed = 4004,
    BadParameter = 4005,
    IdentityBodyMismatch = 4006,
    TooManyConnections = 4007,
    SlowSender = 4008,

    SettingsUnreadable = 5000,
    SettingsUnknownKey = 5001,
    SettingsMissingKey = 5002,
    SettingsOutOfRange = 5003,
    SettingsNotANumber = 5004,
    SettingsBadAddress = 5005,

    BundleNotJson = 6000,
    BundleMissingField = 6001,
    BundleWrongType = 6002,
    BundleOutOfRange = 6003,
    BundleUnknownReference = 6004,
    BundleDuplicateName = 6005,
    BundleCapAboveLink = 6006,
    BundleZoneUnreachable = 6007,
    BundleNoSpareZone = 6008,
    BundleBadSignature = 6009,
    BundleNotEnoughSignatures = 6010,
    BundleVersionNotNewer = 6011,
    BundleSignedByAuthor = 6012,
    BundleUnknownField = 6013,

    PlatformUnreachable = 7000,
    PlatformConflict = 7001,
    PlatformNotFound = 7002,
    PlatformTimeout = 7003,
    PlatformBadAnswer = 7004,
    PlatformBudget = 7005,
    PlatformHistoryLost = 7006,

    PeerUnreachable = 8000,
    PeerBadMessage = 8001,
    PeerBadAuthenticator = 8002,
    PeerVersion = 8003,

    AdminForbidden = 9000,
    AdminConflict = 9001,
    AdminNotFound = 9002,
    AdminBadState = 9003,
    AdminUnauthenticated = 9004,
};

/// One row of the result code table.
struct ResultCodeInfo {
    ResultCode code;
    Outcome outcome;
    std::string_view name;
    std::string_view description;
};

/// All result codes in ascending order.
std::span<const ResultCodeInfo> resultCodeTable();

/// Row of \a code.
const ResultCodeInfo& resultCodeInfo(ResultCode code);

/// Code with the number \a number, if there is one.
std::optional<ResultCode> resultCodeFromNumber(unsigned number);

Outcome outcomeOf(ResultCode code);

/// `answered`, `not-run` or `unknown`, as in the `Clementine-Outcome` header.
std::string_view outcomeName(Outcome outcome);

inline unsigned number(ResultCode code) { return static_cast<unsigned>(code); }

} // namespace clementinefall
