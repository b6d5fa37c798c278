#include "forwarding/permitmessage.h"

#include <boost/json.hpp>

#include <cmath>

namespace clementinefall::forwarding {

namespace json = boost::json;

namespace {

/// Starts each message, which distinguishes it from a heartbeat.
constexpr std::string_view prefix = R"({"permit":")";

std::int64_t toMs(Duration duration) { return std::chrono::duration_cast<milliseconds>(duration).count(); }

/// A permit must not be used before its time, so fractions of a millisecond are rounded up.
std::int64_t toMsRoundedUp(Duration duration) { return std::chrono::ceil<milliseconds>(duration).count(); }

/// 0 when the field is missing, as in messages of an older release.
Duration readMs(const json::object& message, std::string_view name)
{
    const json::value* value = message.if_contains(name);
    return value == nullptr ? Duration {} : Duration(milliseconds(value->to_number<std::uint32_t>()));
}

void writeLimit(json::object& message, const RateLimitState& limit, TimePoint now)
{
    if (limit.perSecond)
        message["limit"] = *limit.perSecond;
    message["age_ms"] = toMs(now - limit.asOf);
}

RateLimitState readLimit(const json::object& message, TimePoint now)
{
    RateLimitState limit;
    limit.asOf = now - milliseconds(message.at("age_ms").to_number<std::uint32_t>());
    if (const json::value* perSecond = message.if_contains("limit")) {
        limit.perSecond = perSecond->to_number<double>();
        if (!std::isfinite(*limit.perSecond) || *limit.perSecond < 0)
            throw std::invalid_argument("limit");
    }
    return limit;
}

} // namespace

bool isPermitMessage(std::string_view text) { return text.starts_with(prefix); }

std::string encodePermitMessage(const PermitMessage& message, TimePoint now)
{
    json::object document;
    if (const auto* request = std::get_if<PermitRequest>(&message)) {
        document["permit"] = "request";
        document["number"] = request->number;
        document["server"] = request->server;
        document["wait_ms"] = toMs(request->maximumDelay);
        writeLimit(document, request->limit, now);
    } else {
        const auto& reply = std::get<PermitReply>(message);
        document["permit"] = "reply";
        document["number"] = reply.number;
        document["granted"] = reply.isGranted;
        document["delay_ms"] = toMsRoundedUp(reply.delay);
        if (reply.nextAvailable)
            document["next_ms"] = toMsRoundedUp(*reply.nextAvailable);
        document["retry_ms"] = toMsRoundedUp(reply.retryAfter);
        writeLimit(document, reply.limit, now);
    }
    return json::serialize(document);
}

Result<PermitMessage> decodePermitMessage(std::string_view text, TimePoint now)
{
    try {
        const json::value value = json::parse({ text.data(), text.size() });
        const json::object& document = value.as_object();
        const std::string_view type = document.at("permit").as_string();
        if (type == "request") {
            return PermitMessage { PermitRequest { .number = document.at("number").to_number<std::uint64_t>(),
                .server = std::string(document.at("server").as_string()),
                .maximumDelay = readMs(document, "wait_ms"),
                .limit = readLimit(document, now) } };
        }
        if (type != "reply")
            return makeError(ResultCode::PeerBadMessage, "unknown permit message");
        const bool hasNext = document.contains("next_ms");
        return PermitMessage { PermitReply { .number = document.at("number").to_number<std::uint64_t>(),
            .isGranted = document.at("granted").as_bool(),
            .delay = readMs(document, "delay_ms"),
            .nextAvailable = hasNext ? std::optional(readMs(document, "next_ms")) : std::nullopt,
            .retryAfter = milliseconds(document.at("retry_ms").to_number<std::uint32_t>()),
            .limit = readLimit(document, now) } };
    } catch (const std::exception& error) {
        return makeError(ResultCode::PeerBadMessage, "malformed permit message: {}", error.what());
    }
}

} // namespace clementinefall::forwarding
