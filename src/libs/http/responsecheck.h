#pragma once

#include "http/message.h"

#include <cstdint>
#include <string_view>

namespace clementinefall::http {

/// Interim responses that a reader skips before it closes the connection; a faulty server may send them without end.
inline constexpr unsigned maximumInterimResponses = 8;

/// What the header of a response begins.
enum class ResponseKind : std::uint8_t {
    Interim, ///< Status 1xx; the final response follows on the same connection.
    Final,
    Invalid, ///< Nothing that HTTP/1.1 allows here: neither its status nor its fields say anything about a request.
};

struct ResponseCheck {
    ResponseKind kind = ResponseKind::Invalid;
    std::string_view fault {}; ///< Reason for ResponseKind::Invalid.
};

/// Whether the header fields name chunked as the only transfer coding. Takes the first Transfer-Encoding field.
bool isChunkedAlone(const beast::http::fields& header);

/// Checks the header of a response to a request without an upgrade. Every reader of responses asks this before it uses
/// the status or a field, since the library accepts any version and any three digits as a status. Sources: RFC 9110
/// section 15; RFC 9112 sections 2.3, 4, 6.1 and 6.3.
ResponseCheck checkResponseHeader(const ResponseHeader& header);

} // namespace clementinefall::http
