#include "forwarding/heartbeat.h"

#include "forwarding/backendserver.h"

#include "base/log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

namespace clementinefall::forwarding {

namespace json = boost::json;

namespace {

constexpr unsigned heartbeatVersion = 1;

/// Crash marks may take this part of a heartbeat, so that rate limits and loads have room in each one.
constexpr std::size_t maximumMarkBytes = maximumHeartbeatBytes / 2;

/// The same for cold servers.
constexpr std::size_t maximumColdBytes = maximumHeartbeatBytes / 3;

/// Hundredths are precise enough for a value that changes several times per second.
constexpr double utilizationPrecision = 100;

std::string_view stateName(InstanceState state)
{
    switch (state) {
    case InstanceState::Starting:
        return "starting";
    case InstanceState::Ready:
        return "ready";
    case InstanceState::Stopping:
        return "stopping";
    }
    return "starting";
}

/// Nothing for a value that is no time of a clock.
std::optional<Duration> readClockTime(const json::value& value)
{
    constexpr std::uint64_t latest = std::chrono::duration_cast<milliseconds>(Duration::max()).count();
    boost::system::error_code error;
    const auto count = value.to_number<std::uint64_t>(error);
    if (error || count > latest)
        return std::nullopt;
    return milliseconds(count);
}

json::object writeMark(const requests::CrashMark& mark, TimePoint now)
{
    json::object object { { "fingerprint", requests::formatFingerprint(mark.fingerprint) }, { "service", mark.service },
        { "server", mark.server }, { "reporter", mark.reporter }, { "number", mark.number },
        { "in_flight", mark.inFlight }, { "age_ms", std::chrono::duration_cast<milliseconds>(now - mark.at).count() } };
    if (mark.run)
        object["run"] = json::array { mark.run->sent.count(), mark.run->lost.count() };
    if (mark.isConfirmed)
        object["confirmed"] = true;
    if (mark.hasSurvivors)
        object["survivors"] = true;
    return object;
}

/// As many of the \a marks as fit in \a maximumBytes of JSON.
json::array writeMarks(const std::vector<requests::CrashMark>& marks, TimePoint now, std::size_t maximumBytes)
{
    constexpr std::string_view envelope = R"(,"crashes":[])";
    std::size_t bytes = envelope.size();
    json::array result;
    for (const requests::CrashMark& mark : marks) {
        json::object object = writeMark(mark, now);
        bytes += json::serialize(object).size() + 1;
        if (bytes > maximumBytes)
            break;
        result.push_back(std::move(object));
    }
    return result;
}

bool isSet(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    return value != nullptr && value->as_bool();
}

/// A run whose times are no times of a clock, or run backwards, is not known.
std::optional<requests::ReportedRun> readRun(const json::value& value)
{
    const json::array& times = value.as_array();
    const auto sent = readClockTime(times.at(0));
    const auto lost = readClockTime(times.at(1));
    if (!sent || !lost || *sent > *lost)
        return std::nullopt;
    return requests::ReportedRun { .sent = std::chrono::duration_cast<milliseconds>(*sent),
        .lost = std::chrono::duration_cast<milliseconds>(*lost) };
}

requests::CrashMark readMark(const json::object& object, TimePoint now)
{
    requests::CrashMark mark;
    const auto fingerprint = requests::parseFingerprint(std::string_view(object.at("fingerprint").as_string()));
    if (!fingerprint)
        throw std::invalid_argument("fingerprint");
    mark.fingerprint = *fingerprint;
    mark.service = std::string(object.at("service").as_string());
    mark.server = std::string(object.at("server").as_string());
    mark.reporter = object.at("reporter").to_number<std::uint64_t>();
    mark.number = object.at("number").to_number<std::uint64_t>();
    mark.inFlight = object.at("in_flight").to_number<std::uint32_t>();
    mark.at = now - milliseconds(object.at("age_ms").to_number<std::uint32_t>());
    if (const json::value* run = object.if_contains("run"))
        mark.run = readRun(*run);
    mark.isConfirmed = isSet(object, "confirmed");
    mark.hasSurvivors = isSet(object, "survivors");
    return mark;
}

/// As `[fingerprint, age in ms]`. The age is rounded up, so that a clearing covers no mark that is newer.
json::array writeClearings(const std::vector<requests::MarkClearing>& clearings, TimePoint now)
{
    json::array result;
    for (const requests::MarkClearing& clearing : clearings)
        result.push_back(json::array { requests::formatFingerprint(clearing.fingerprint),
            std::chrono::ceil<milliseconds>(now - clearing.at).count() });
    return result;
}

requests::MarkClearing readClearing(const json::array& fields, TimePoint now)
{
    const auto fingerprint = requests::parseFingerprint(std::string_view(fields.at(0).as_string()));
    if (!fingerprint)
        throw std::invalid_argument("fingerprint");
    return { *fingerprint, now - milliseconds(fields.at(1).to_number<std::uint32_t>()), "answered" };
}

/// The servers with the most requests in flight, as many as fit in \a maximumBytes of JSON.
json::object mostLoaded(const std::map<std::string, unsigned>& inFlight, std::size_t maximumBytes)
{
    std::vector<std::pair<unsigned, std::string_view>> servers;
    servers.reserve(inFlight.size());
    for (const auto& [server, count] : inFlight)
        servers.emplace_back(count, server);
    std::sort(servers.begin(), servers.end(), std::greater<>());
    constexpr std::string_view envelope = R"(,"in_flight":{})";
    constexpr std::size_t punctuationBytes = 4; // Two quotes, a colon and a comma.
    std::size_t bytes = envelope.size();
    json::object result;
    for (const auto& [count, server] : servers) {
        bytes += server.size() + std::to_string(count).size() + punctuationBytes;
        if (bytes > maximumBytes)
            break;
        result[server] = count;
    }
    return result;
}

/// As `"server":[age in ms, requests per second]`, without the latter when the limit has ended.
json::object writeRateLimits(
    const std::map<std::string, RateLimitState>& limits, TimePoint now, std::size_t maximumBytes)
{
    constexpr std::string_view envelope = R"(,"limits":{})";
    std::size_t bytes = envelope.size();
    json::object result;
    for (const auto& [server, limit] : limits) {
        json::array entry { std::chrono::duration_cast<milliseconds>(now - limit.asOf).count() };
        if (limit.perSecond)
            entry.emplace_back(*limit.perSecond);
        constexpr std::size_t punctuationBytes = 4;
        bytes += server.size() + json::serialize(entry).size() + punctuationBytes;
        if (bytes > maximumBytes)
            break;
        result[server] = std::move(entry);
    }
    return result;
}

/// As `"server":remaining ms`, rounded up.
json::object writeColdServers(const std::map<std::string, Duration>& servers, std::size_t maximumBytes)
{
    constexpr std::string_view envelope = R"(,"cold":{})";
    constexpr std::size_t punctuationBytes = 4;
    std::size_t bytes = envelope.size();
    json::object result;
    for (const auto& [server, remaining] : servers) {
        const auto ms = std::chrono::ceil<milliseconds>(remaining).count();
        bytes += server.size() + std::to_string(ms).size() + punctuationBytes;
        if (bytes > maximumBytes)
            break;
        result[server] = ms;
    }
    return result;
}

std::map<std::string, Duration> readColdServers(const json::object& servers)
{
    std::map<std::string, Duration> result;
    for (const auto& item : servers) {
        const milliseconds remaining { item.value().to_number<std::uint32_t>() };
        result[std::string(item.key())] = std::min<Duration>(remaining, maximumColdTime);
    }
    return result;
}

std::map<std::string, RateLimitState> readRateLimits(const json::object& limits, TimePoint now)
{
    std::map<std::string, RateLimitState> result;
    for (const auto& item : limits) {
        const json::array& entry = item.value().as_array();
        RateLimitState limit { .perSecond = {}, .asOf = now - milliseconds(entry.at(0).to_number<std::uint32_t>()) };
        if (entry.size() > 1)
            limit.perSecond = entry.at(1).to_number<double>();
        if (limit.perSecond && !(*limit.perSecond >= 0 && std::isfinite(*limit.perSecond)))
            throw std::invalid_argument("limits");
        result[std::string(item.key())] = limit;
    }
    return result;
}

/// As `"kind":[era, revision, newest change from, until, age in ms]`. The age is rounded up.
json::object writeReports(const std::vector<platform::KindReport>& reports)
{
    json::object result;
    for (const platform::KindReport& report : reports) {
        result[report.kind] = json::array { report.position.era, report.position.revision, report.lastChangeFrom,
            report.lastChangeUntil, std::chrono::ceil<milliseconds>(report.age).count() };
    }
    return result;
}

platform::KindReport readReport(std::string kind, const json::array& fields)
{
    const auto field = [&fields](std::size_t index) { return fields.at(index).to_number<std::uint64_t>(); };
    platform::KindReport report { .kind = std::move(kind),
        .position = { field(0), field(1) },
        .lastChangeFrom = field(2),
        .lastChangeUntil = field(3),
        .age = milliseconds(fields.at(4).to_number<std::uint32_t>()) };
    if (report.lastChangeFrom > report.lastChangeUntil)
        throw std::invalid_argument("newest change");
    return report;
}

std::vector<platform::KindReport> readReports(const json::value& reports)
{
    std::vector<platform::KindReport> result;
    try {
        for (const auto& item : reports.as_object())
            result.push_back(readReport(std::string(item.key()), item.value().as_array()));
    } catch (const std::exception& error) {
        logWarning("store_report_rejected", { { "why", error.what() } });
        result.clear();
    }
    return result;
}

std::optional<ClockEcho> readEcho(const json::value& value)
{
    const json::array* fields = value.if_array();
    if (fields == nullptr || fields->size() != 2)
        return std::nullopt;
    const auto stamp = readClockTime(fields->at(0));
    const auto receivedAt = readClockTime(fields->at(1));
    if (!stamp || !receivedAt)
        return std::nullopt;
    return ClockEcho { .stamp = *stamp, .receivedAt = *receivedAt };
}

} // namespace

std::string withClock(std::string text, TimePoint now, const std::optional<ClockEcho>& echo)
{
    const auto count = [](Duration duration) { return std::chrono::duration_cast<milliseconds>(duration).count(); };
    text.pop_back();
    text += fmt::format(R"(,"clock":{})", count(clockStamp(now)));
    if (echo)
        text += fmt::format(R"(,"echo":[{},{}])", count(echo->stamp), count(echo->receivedAt));
    return text + "}";
}

std::string encodeHeartbeat(const Heartbeat& heartbeat, TimePoint now)
{
    json::object message { { "version", heartbeatVersion }, { "name", heartbeat.name },
        { "incarnation", heartbeat.incarnation }, { "state", stateName(heartbeat.state) } };
    if (heartbeat.isStranded)
        message["stranded"] = true;
    if (heartbeat.asksServers)
        message["asks"] = true;
    std::string text = json::serialize(message);
    const auto addIfFits = [&](const char* key, json::value value) {
        json::object larger = message;
        larger[key] = std::move(value);
        std::string longer = json::serialize(larger);
        if (longer.size() > maximumHeartbeatBytes)
            return;
        message = std::move(larger);
        text = std::move(longer);
    };
    if (!heartbeat.reports.empty())
        addIfFits("known", writeReports(heartbeat.reports));
    if (!heartbeat.coldServers.empty())
        addIfFits("cold", writeColdServers(heartbeat.coldServers, maximumColdBytes));
    if (!heartbeat.clearings.empty())
        addIfFits("cleared", writeClearings(heartbeat.clearings, now));
    if (!heartbeat.crashMarks.empty())
        addIfFits("crashes",
            writeMarks(heartbeat.crashMarks, now, std::min(maximumMarkBytes, maximumHeartbeatBytes - text.size())));
    if (!heartbeat.rateLimits.empty())
        addIfFits("limits", writeRateLimits(heartbeat.rateLimits, now, maximumHeartbeatBytes - text.size()));
    if (!heartbeat.regionUtilization.empty()) {
        json::object utilizations;
        for (const auto& [service, utilization] : heartbeat.regionUtilization)
            utilizations[service] = std::round(utilization * utilizationPrecision) / utilizationPrecision;
        addIfFits("use", std::move(utilizations));
    }
    if (!heartbeat.inFlight.empty())
        addIfFits("in_flight", mostLoaded(heartbeat.inFlight, maximumHeartbeatBytes - text.size()));
    return text;
}

Result<Heartbeat> decodeHeartbeat(std::string_view text, TimePoint now)
{
    try {
        const json::value document = json::parse({ text.data(), text.size() });
        const json::object& message = document.as_object();
        if (message.at("version").to_number<unsigned>() != heartbeatVersion)
            return makeError(ResultCode::PeerVersion, "unknown heartbeat version");
        Heartbeat heartbeat;
        heartbeat.name = std::string(message.at("name").as_string());
        heartbeat.incarnation = message.at("incarnation").to_number<std::uint64_t>();
        const std::string_view state = message.at("state").as_string();
        for (const InstanceState candidate :
            { InstanceState::Starting, InstanceState::Ready, InstanceState::Stopping }) {
            if (stateName(candidate) == state)
                heartbeat.state = candidate;
        }
        if (const json::value* isStranded = message.if_contains("stranded"))
            heartbeat.isStranded = isStranded->as_bool();
        heartbeat.asksServers = isSet(message, "asks");
        if (const json::value* cold = message.if_contains("cold"))
            heartbeat.coldServers = readColdServers(cold->as_object());
        if (const json::value* requestCounts = message.if_contains("in_flight")) {
            for (const auto& item : requestCounts->as_object())
                heartbeat.inFlight[std::string(item.key())] = item.value().to_number<unsigned>();
        }
        if (const json::value* utilizations = message.if_contains("use")) {
            for (const auto& item : utilizations->as_object())
                heartbeat.regionUtilization[std::string(item.key())] = item.value().to_number<double>();
        }
        if (const json::value* marks = message.if_contains("crashes")) {
            for (const json::value& mark : marks->as_array())
                heartbeat.crashMarks.push_back(readMark(mark.as_object(), now));
        }
        if (const json::value* clearings = message.if_contains("cleared")) {
            for (const json::value& clearing : clearings->as_array())
                heartbeat.clearings.push_back(readClearing(clearing.as_array(), now));
        }
        if (const json::value* limits = message.if_contains("limits"))
            heartbeat.rateLimits = readRateLimits(limits->as_object(), now);
        if (const json::value* reports = message.if_contains("known"))
            heartbeat.reports = readReports(*reports);
        if (const json::value* clock = message.if_contains("clock"))
            heartbeat.clock = readClockTime(*clock);
        if (const json::value* echo = message.if_contains("echo"))
            heartbeat.echo = readEcho(*echo);
        return heartbeat;
    } catch (const std::exception& error) {
        return makeError(ResultCode::PeerBadMessage, "malformed heartbeat: {}", error.what());
    }
}

} // namespace clementinefall::forwarding
