#include "requests/relayfields.h"

#include <algorithm>
#include <array>

namespace clementinefall::requests {

namespace HeaderName = http::HeaderName;

namespace {

/// Hop-by-hop fields and those that each hop sets itself.
constexpr std::array hopByHopFields {
    std::string_view("Connection"),
    std::string_view("Keep-Alive"),
    std::string_view("Proxy-Connection"),
    std::string_view("TE"),
    std::string_view("Trailer"),
    std::string_view("Transfer-Encoding"),
    std::string_view("Upgrade"),
    std::string_view("Expect"),
    std::string_view("Content-Length"),
    std::string_view("Host"),
    HeaderName::deadlineMs,
    HeaderName::hop,
    HeaderName::attempt,
    HeaderName::traceParent,
    HeaderName::outcome,
    HeaderName::result,
    HeaderName::notRun,
    HeaderName::draining,
};

} // namespace

void eraseHopByHopFields(beast::http::fields& fields)
{
    for (const std::string_view name : hopByHopFields)
        fields.erase(name);
}

std::string targetWithinService(std::string_view target, std::string_view service)
{
    const std::string prefix = fmt::format("/v1/services/{}", service);
    std::string rest(target.substr(std::min(prefix.size(), target.size())));
    if (rest.empty() || rest.front() != '/')
        rest.insert(rest.begin(), '/');
    return rest;
}

ForwardEnd forwardEndOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::ConnectRefused:
        return ForwardEnd::ConnectRefused;
    case AttemptEnd::NothingWritten:
        return ForwardEnd::NothingWritten;
    case AttemptEnd::TimedOut:
        return ForwardEnd::TimedOut;
    case AttemptEnd::ResponseTruncated:
        return ForwardEnd::ResponseTruncated;
    case AttemptEnd::ResponseInvalid:
        return ForwardEnd::ResponseInvalid;
    case AttemptEnd::CancelledSent:
    case AttemptEnd::CancelledUnsent:
        return ForwardEnd::CallerDisconnected;
    case AttemptEnd::LostAfterWrite:
        return ForwardEnd::LostAfterWrite;
    default:
        return ForwardEnd::HomeResponded;
    }
}

} // namespace clementinefall::requests
