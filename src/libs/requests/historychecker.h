#pragma once

#include "base/resultcode.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementinefall::requests {

/// Guarantee that a history violates.
enum class ViolationKind : std::uint8_t {
    DuplicateExecution, ///< More than one effect of a non-idempotent request.
    MismatchedResponse, ///< The response belongs to another request, or to none.
    TruncatedResponse, ///< The response is only the beginning of the right one.
    FalseNotRun, ///< Reported as not run, but there is an effect, before or after the report.
    UnrequestedEffect, ///< An effect without an invocation, or of a different request.
    FabricatedResponse, ///< Reported as answered, but the request has no effect.
};

std::string_view violationName(ViolationKind kind);

struct Violation {
    ViolationKind kind = ViolationKind::DuplicateExecution;
    std::string identity;
    std::string text;

    friend bool operator==(const Violation&, const Violation&) = default;
};

/// Records the requests and results of callers and the effects at backend servers. Checks that a response is complete
/// and belongs to its request, that a request reported as not run has no effect, and that a non-idempotent request runs
/// at most once. Events may be recorded in any order. Idempotent requests are recorded under any unique identity.
class HistoryChecker {
public:
    /// Records that a caller sent a request with the content \a request. Resends need not be recorded again.
    void recordInvocation(const std::string& identity, const std::string& request, bool isIdempotent);

    /// Records that a caller received \a code, with the body \a response if the outcome is answered.
    void recordResponse(const std::string& identity, ResultCode code, const std::string& response);

    /// Records that a backend server ran \a request for \a identity and produced \a response.
    void recordEffect(const std::string& identity, const std::string& server, const std::string& request,
        const std::string& response);

    /// Returns all violations, ordered by identity.
    std::vector<Violation> check() const;

    std::size_t invocationCount() const { return this->requests.size(); }

private:
    struct Effect {
        std::string server;
        std::string request;
        std::string response;
    };
    struct ReceivedResult {
        ResultCode code = ResultCode::UnknownNotDecided;
        std::string response;
    };
    struct Request {
        bool isInvoked = false;
        bool isIdempotent = false;
        std::string content;
        std::vector<Effect> effects;
        std::vector<ReceivedResult> received;
    };

    static void checkEffects(const std::string& identity, const Request& request, std::vector<Violation>& found);
    static void checkReceived(const std::string& identity, const Request& request, const ReceivedResult& received,
        std::vector<Violation>& found);

    std::unordered_map<std::string, Request> requests;
};

} // namespace clementinefall::requests
