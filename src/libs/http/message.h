#pragma once

#include "base/result.h"
#include "http/awaitable.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinefall::http {

using RequestHeader = beast::http::request_header<>;
using ResponseHeader = beast::http::response_header<>;
using Request = beast::http::request<beast::http::string_body>;
using Response = beast::http::response<beast::http::string_body>;
using Verb = beast::http::verb;
using Field = beast::http::field;

/// Names of the system's own header fields.
namespace HeaderName {
inline constexpr std::string_view requestClass = "Clementine-Class";
inline constexpr std::string_view deadlineMs = "Clementine-Deadline-Ms";
inline constexpr std::string_view identity = "Clementine-Identity";
inline constexpr std::string_view outcome = "Clementine-Outcome";
inline constexpr std::string_view result = "Clementine-Result";
inline constexpr std::string_view callerZone = "Clementine-Zone";
inline constexpr std::string_view hop = "Clementine-Hop";
inline constexpr std::string_view attempt = "Clementine-Attempt";
inline constexpr std::string_view notRun = "Clementine-Not-Run"; ///< A backend server's proof that it shed the request.
inline constexpr std::string_view draining = "Clementine-Draining"; ///< A backend server's signal that it is leaving.
inline constexpr std::string_view traceParent = "traceparent";
} // namespace HeaderName

/// Size limit for one header, in bytes.
inline constexpr std::uint32_t maximumHeaderBytes = 16 * 1024;

/// Size of the buffer for each direction of a relayed body, in bytes.
inline constexpr std::size_t relayBufferBytes = 64 * 1024;

/// Value of a field, empty when it is missing.
std::string_view fieldValue(const beast::http::fields& fields, std::string_view name);

/// Value of a field that holds a whole number, if there is one that is valid.
std::optional<std::uint64_t> fieldNumber(const beast::http::fields& fields, std::string_view name);

/// JSON response without a numbered result.
Response jsonResponse(unsigned status, std::string body);

/// HTTP status for a result code: 503 not run, 504 unknown, 4xx for the sender's mistakes.
unsigned statusFor(ResultCode code);

/// Response for an error: JSON body with number, name and message, and the result and outcome fields.
Response errorResponse(const Error& error);

/// Sets the `Clementine-Outcome` and `Clementine-Result` fields.
void setResultFields(beast::http::fields& fields, ResultCode code);

} // namespace clementinefall::http
