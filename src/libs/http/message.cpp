#include "http/message.h"

#include <boost/json.hpp>

#include <charconv>

namespace clementinefall::http {

std::string_view fieldValue(const beast::http::fields& fields, std::string_view name)
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return {};
    return found->value();
}

std::optional<std::uint64_t> fieldNumber(const beast::http::fields& fields, std::string_view name)
{
    const std::string_view text = fieldValue(fields, name);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

Response jsonResponse(unsigned status, std::string body)
{
    Response response;
    response.result(status);
    response.version(11);
    response.set(Field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

unsigned statusFor(ResultCode code)
{
    switch (code) {
    case ResultCode::HeaderTooLarge:
        return 431;
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::NotFound:
    case ResultCode::PlatformNotFound:
    case ResultCode::AdminNotFound:
        return 404;
    case ResultCode::MethodNotAllowed:
        return 405;
    case ResultCode::IdentityBodyMismatch:
    case ResultCode::AdminConflict:
    case ResultCode::AdminBadState:
    case ResultCode::PlatformConflict:
        return 409;
    case ResultCode::TooManyConnections:
        return 429;
    case ResultCode::SlowSender:
        return 408;
    case ResultCode::AdminForbidden:
        return 403;
    case ResultCode::AdminUnauthenticated:
        return 401;
    case ResultCode::NotRunMissingIdentity:
    case ResultCode::NotRunInvalidIdentity:
    case ResultCode::NotRunClassMismatch:
        return 400;
    case ResultCode::NotRunUnknownService:
        return 404;
    case ResultCode::NotRunBodyLimit:
        return 413;
    default:
        break;
    }
    const unsigned thousands = number(code) / 1000;
    if (thousands == 1)
        return 200;
    if (thousands == 2 || thousands == 7 || thousands == 8)
        return 503;
    if (thousands == 3)
        return 504;
    return 400;
}

Response errorResponse(const Error& error)
{
    const boost::json::object body {
        { "result", number(error.code) },
        { "name", resultCodeInfo(error.code).name },
        { "outcome", outcomeName(outcomeOf(error.code)) },
        { "message", error.message },
    };
    Response response = jsonResponse(statusFor(error.code), boost::json::serialize(body) + "\n");
    setResultFields(response, error.code);
    return response;
}

void setResultFields(beast::http::fields& fields, ResultCode code)
{
    fields.set(HeaderName::outcome, outcomeName(outcomeOf(code)));
    fields.set(HeaderName::result, std::to_string(number(code)));
}

} // namespace clementinefall::http
