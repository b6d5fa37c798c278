#include "forwarding/forwardedrequest.h"

#include "http/responsecheck.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace clementinefall::forwarding {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return beast::iequals({ left.data(), left.size() }, { right.data(), right.size() });
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

void appendField(std::string& head, std::string_view name, std::string_view value)
{
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
}

/// Status for a result code. 503 guarantees that the request did not and will not run; 502 and 504 guarantee nothing.
unsigned statusOf(ResultCode code)
{
    switch (code) {
    case ResultCode::BadRequest:
        return 400;
    case ResultCode::HeaderTooLarge:
        return 431;
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::NotFound:
        return 404;
    case ResultCode::SlowSender:
        return 408;
    case ResultCode::UnknownTimeout:
        return 504;
    default:
        return outcomeOf(code) == Outcome::NotRun ? 503 : 502;
    }
}

} // namespace

bool isHopByHopField(std::string_view name, std::string_view connectionOptions)
{
    for (const std::string_view field : { "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
             "Transfer-Encoding", "Upgrade", "Content-Length", "Proxy-Authenticate", "Proxy-Authorization" }) {
        if (equalsIgnoringCase(name, field))
            return true;
    }
    if (connectionOptions.empty())
        return false;
    const beast::http::token_list options({ connectionOptions.data(), connectionOptions.size() });
    return std::any_of(options.begin(), options.end(), [name](const auto& option) {
        return equalsIgnoringCase(name, { option.data(), option.size() });
    });
}

std::string_view cookieValue(std::string_view cookies, std::string_view name)
{
    while (!cookies.empty()) {
        const std::size_t end = cookies.find(';');
        const std::string_view pair = trimmed(cookies.substr(0, end));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && trimmed(pair.substr(0, equals)) == name)
            return trimmed(pair.substr(equals + 1));
        cookies = end == std::string_view::npos ? std::string_view {} : cookies.substr(end + 1);
    }
    return {};
}

Result<ForwardedRequest> decodeRequest(const http::RequestHeader& header, const WireNames& names, TimePoint now)
{
    ForwardedRequest request;
    request.receivedAt = now;
    request.method = std::string(header.method_string());
    request.target = std::string(header.target());
    if (header.version() != 11 && header.version() != 10)
        return makeError(ResultCode::BadRequest, "HTTP version {} is not supported", header.version());
    if (request.target.empty() || request.target.front() != '/')
        return makeError(ResultCode::BadRequest, "the request target must be an absolute path");
    // Without a final chunked coding, the length of the body is not known (RFC 9112 section 6.3). No other coding is
    // supported, and HTTP/1.0 has none (section 6.1).
    const std::size_t codings = header.count(http::Field::transfer_encoding);
    if (codings > 1 || (codings == 1 && (header.version() != 11 || !http::isChunkedAlone(header))))
        return makeError(ResultCode::BadRequest, "the transfer coding is not chunked alone");
    if (codings > 0 && header.count(http::Field::content_length) > 0)
        return makeError(ResultCode::BadRequest, "the request has a length and a transfer coding");
    if (header.count(http::Field::host) != 1)
        return makeError(ResultCode::BadRequest, "the request must have exactly one Host field");
    request.host = std::string(header[http::Field::host]);
    if (header.count(names.requestId) != 1 || header[names.requestId].empty())
        return makeError(
            ResultCode::BadRequest, "the request must have exactly one non-empty {} field", names.requestId);
    request.id = std::string(header[names.requestId]);
    const auto timeLeft = header.find(names.timeLeft);
    if (timeLeft != header.end()) {
        const auto timeLeftMs = http::fieldNumber(header, names.timeLeft);
        // Longer than any route's timeout; prevents overflow in time arithmetic.
        constexpr std::uint64_t maximumMs = 24ULL * 3600 * 1000;
        if (!timeLeftMs)
            return makeError(ResultCode::BadRequest, "{} must be a whole number of milliseconds", names.timeLeft);
        request.timeLeft = milliseconds(std::min(*timeLeftMs, maximumMs));
    }
    const auto options = header[http::Field::connection];
    const std::string_view connectionOptions { options.data(), options.size() };
    for (const auto& field : header) {
        const std::string_view name { field.name_string().data(), field.name_string().size() };
        const std::string_view value { field.value().data(), field.value().size() };
        if (equalsIgnoringCase(name, "Host") || equalsIgnoringCase(name, "Expect")
            || equalsIgnoringCase(name, names.timeLeft) || equalsIgnoringCase(name, names.expectedServer)
            || isHopByHopField(name, connectionOptions))
            continue;
        if (equalsIgnoringCase(name, "Cookie") && request.affinityKey.empty())
            request.affinityKey = std::string(cookieValue(value, names.affinityCookie));
        request.fields.emplace_back(name, value);
    }
    return request;
}

std::string encodeRequestHead(
    const ForwardedRequest& request, const WireNames& names, std::string_view expectedServer, Duration timeLeft)
{
    std::string head;
    head.reserve(512);
    head += request.method;
    head += ' ';
    head += request.target;
    head += " HTTP/1.1\r\n";
    appendField(head, "Host", request.host);
    for (const auto& [name, value] : request.fields)
        appendField(head, name, value);
    const auto timeLeftMs = std::chrono::duration_cast<milliseconds>(timeLeft).count();
    appendField(head, names.timeLeft, std::to_string(std::max<std::int64_t>(1, timeLeftMs)));
    if (!expectedServer.empty())
        appendField(head, names.expectedServer, expectedServer);
    if (request.hasBody || !request.body.empty())
        appendField(head, "Content-Length", std::to_string(request.body.size()));
    head += "\r\n";
    return head;
}

std::string encodeResponseHead(const CallerResponse& response, std::optional<std::size_t> bodyBytes)
{
    std::string head;
    head.reserve(256);
    head += "HTTP/1.1 ";
    head += std::to_string(response.status);
    head += ' ';
    if (response.reason.empty()) {
        const auto reason = beast::http::obsolete_reason(static_cast<beast::http::status>(response.status));
        head.append(reason.data(), reason.size());
    } else {
        head += response.reason;
    }
    head += "\r\n";
    for (const auto& [name, value] : response.fields)
        appendField(head, name, value);
    const bool hasNoBody = response.status == 204 || response.status == 304;
    if (bodyBytes && !hasNoBody)
        appendField(head, "Content-Length", std::to_string(*bodyBytes));
    else if (!bodyBytes)
        appendField(head, "Transfer-Encoding", "chunked");
    if (response.closesConnection)
        appendField(head, "Connection", "close");
    head += "\r\n";
    return head;
}

CallerResponse responseForError(
    const Error& error, const std::string& requestId, const WireNames& names, std::optional<Duration> retryAfter)
{
    CallerResponse response;
    response.code = error.code;
    response.serversTried = 0;
    response.status = statusOf(error.code);
    if (!requestId.empty())
        response.fields.emplace_back(names.requestId, requestId);
    response.fields.emplace_back("Content-Type", "text/plain");
    if (response.status == 503 && retryAfter) {
        const double inSeconds = std::chrono::duration<double>(*retryAfter).count();
        response.fields.emplace_back("Retry-After", fmt::format("{:.3f}", inSeconds));
    }
    response.body = error.text() + "\n";
    return response;
}

} // namespace clementinefall::forwarding
