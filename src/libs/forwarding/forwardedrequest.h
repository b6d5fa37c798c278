#pragma once

#include "base/clock.h"
#include "forwarding/configuration.h"
#include "forwarding/wirenames.h"
#include "http/message.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinefall::forwarding {

/// A caller's request, whole and decoded.
struct ForwardedRequest {
    std::string id; ///< Of this attempt of the caller.
    std::string method;
    std::string target; ///< Path and query as the caller sent them.
    std::string host;
    std::vector<std::pair<std::string, std::string>> fields; ///< End-to-end header fields that are passed on.
    std::string body;
    bool hasBody = false; ///< A length or chunks were given, even for an empty body.
    std::string affinityKey;
    TimePoint receivedAt {};
    std::optional<Duration> timeLeft; ///< That the caller gave.
};

/// Header fields that concern one connection only, RFC 9110 section 7.6.1.
bool isConnectionField(std::string_view name, std::string_view connectionOptions);

/// Decodes a request's header. Errors: BadRequest with a message for the caller.
Result<ForwardedRequest> decodeRequest(const http::RequestHeader& header, const WireNames& names, TimePoint now);

/// Value of the cookie \a name in a Cookie field, empty when it is missing.
std::string_view cookieValue(std::string_view cookies, std::string_view name);

/// Header of the request as it is sent to a backend server.
std::string encodeRequestHead(
    const ForwardedRequest& request, const WireNames& names, std::string_view expectedServer, Duration timeLeft);

/// Answer to a caller, from a backend server or of this instance's own making.
struct CallerAnswer {
    unsigned status = 0;
    std::string reason;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool closesConnection = false;
    ResultCode code = ResultCode::Answered; ///< For logs and metrics.
};

/// Header of an answer with a body of \a bodyBytes; nothing gives a chunked one. For \a isHead the length is stated
/// but no body follows.
std::string encodeAnswerHead(const CallerAnswer& answer, std::optional<std::size_t> bodyBytes);

/// Answer for an error: 503 with Retry-After when nothing ran, 502 or 504 when something may have.
CallerAnswer answerForError(
    const Error& error, const std::string& requestId, const WireNames& names, std::optional<Duration> retryAfter);

} // namespace clementinefall::forwarding
