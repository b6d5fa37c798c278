#pragma once

#include "base/clock.h"
#include "forwarding/configuration.h"
#include "forwarding/wirenames.h"
#include "http/message.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinefall::forwarding {

/// A decoded request of a caller.
struct ForwardedRequest {
    std::string id; ///< Identifies one attempt of the caller.
    std::string method;
    std::string target; ///< Path and query, unchanged.
    std::string host;
    std::vector<std::pair<std::string, std::string>> fields; ///< End-to-end header fields, which are forwarded.
    std::string body;
    bool hasBody = false; ///< Content-Length or chunked encoding was present, even for an empty body.
    std::string affinityKey; ///< Empty without affinity.
    TimePoint receivedAt {};
    std::optional<Duration> timeLeft; ///< Time until the deadline, if sent by the caller.
    /// Set when another entry instance passed the request on: the number of servers to which it may be sent.
    std::optional<unsigned> serversAllowedByPeer;
};

/// Whether the header field applies to a single connection and must not be forwarded, RFC 9110 section 7.6.1.
/// \a connectionOptions is the value of the Connection field.
bool isHopByHopField(std::string_view name, std::string_view connectionOptions);

/// Decodes the header of a request. Error: BadRequest, with a message for the caller.
Result<ForwardedRequest> decodeRequest(const http::RequestHeader& header, const WireNames& names, TimePoint now);

/// Value of the cookie \a name in the Cookie field \a cookies; empty when it is missing.
std::string_view cookieValue(std::string_view cookies, std::string_view name);

/// Encodes the header of the request for a backend server, with \a expectedServer as the incarnation that may run it,
/// if it is not empty.
std::string encodeRequestHead(
    const ForwardedRequest& request, const WireNames& names, std::string_view expectedServer, Duration timeLeft);

/// Incarnation of a backend server that has said that it leaves.
struct LeavingServer {
    std::string id;
    std::uint64_t startTimeMs = 0; ///< See ServerEntry::startTimeMs.
};

/// Response to a caller, from a backend server or created by this instance.
struct CallerResponse {
    unsigned status = 0;
    std::string reason;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    std::optional<std::size_t> announcedBytes; ///< Size of the body, when the response to HEAD states it.
    bool closesConnection = false;
    ResultCode code = ResultCode::Answered; ///< For logs and metrics.
    std::optional<LeavingServer> leavingServer; ///< The server that created it, if it leaves; for other instances.
    std::optional<unsigned> serversTried; ///< Servers to which the request was sent, where this is known.
};

/// Encodes the header of a response with a body of \a bodyBytes; without a value the body is chunked.
std::string encodeResponseHead(const CallerResponse& response, std::optional<std::size_t> bodyBytes);

/// Response for an error: a 4xx status for a mistake of the caller, 503 with Retry-After when the request did not run,
/// and 502 or 504 when it may have run.
CallerResponse responseForError(
    const Error& error, const std::string& requestId, const WireNames& names, std::optional<Duration> retryAfter);

} // namespace clementinefall::forwarding
