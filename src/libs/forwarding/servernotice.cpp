#include "forwarding/servernotice.h"

#include "base/durations.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace clementinefall::forwarding {

namespace {

/// Empty when it is not a finite number of seconds of at least 0.
std::optional<Duration> parsePause(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
        return std::nullopt;
    const double longest = std::chrono::duration<double>(maximumServerPause).count();
    return fromSeconds(std::min(value, longest));
}

void addInvalid(ServerNotice& notice, std::string_view name, std::string_view value)
{
    constexpr std::size_t maximumLoggedBytes = 64;
    notice.invalid.append(notice.invalid.empty() ? "" : ", ").append(name).append("=");
    notice.invalid.append(value.substr(0, maximumLoggedBytes));
}

} // namespace

ServerNotice readServerNotice(const boost::beast::http::fields& header, unsigned status, const WireNames& names)
{
    ServerNotice notice;
    const auto leaving = header.equal_range(names.serverLeaving);
    for (auto field = leaving.first; field != leaving.second; ++field) {
        const std::string_view value { field->value().data(), field->value().size() };
        if (value == "1")
            notice.isLeaving = true;
        else if (value != "0")
            addInvalid(notice, names.serverLeaving, value);
    }
    if (status != 503)
        return notice;
    const auto pauses = header.equal_range(boost::beast::http::field::retry_after);
    for (auto field = pauses.first; field != pauses.second; ++field) {
        const std::string_view value { field->value().data(), field->value().size() };
        const std::optional<Duration> pause = parsePause(value);
        if (pause)
            notice.pause = std::max(*pause, notice.pause.value_or(Duration {}));
        else
            addInvalid(notice, "Retry-After", value);
    }
    return notice;
}

} // namespace clementinefall::forwarding
