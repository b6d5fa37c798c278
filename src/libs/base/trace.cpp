#include "base/trace.h"

#include "base/log.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <charconv>

namespace clementinefall {

namespace {

constexpr std::size_t traceParentLength = 55;

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string unixNanoseconds(WallClock::time_point time)
{
    return fmt::format("{}", std::chrono::duration_cast<nanoseconds>(time.time_since_epoch()).count());
}

boost::json::object attribute(std::string_view key, std::string_view value)
{
    return { { "key", key }, { "value", { { "stringValue", value } } } };
}

} // namespace

std::string TraceContext::traceIdText() const
{
    return fmt::format("{:016x}{:016x}", this->traceId[0], this->traceId[1]);
}

std::string TraceContext::text() const
{
    return fmt::format("00-{}-{:016x}-{:02x}", this->traceIdText(), this->spanId, this->sampled ? 1 : 0);
}

std::optional<TraceContext> parseTraceParent(std::string_view text)
{
    if (text.size() < traceParentLength || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const auto high = parseHex(text.substr(3, 16));
    const auto low = parseHex(text.substr(19, 16));
    const auto span = parseHex(text.substr(36, 16));
    const auto flags = parseHex(text.substr(53, 2));
    if (!high || !low || !span || !flags || (*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    return TraceContext { { *high, *low }, *span, (*flags & 1U) != 0 };
}

TraceContext newTrace(Random& random, bool sampled)
{
    return TraceContext { { random(), random() }, random(), sampled };
}

TraceContext childOf(const TraceContext& parent, Random& random)
{
    return TraceContext { parent.traceId, random(), parent.sampled };
}

std::string formatSpan(const Span& span, std::string_view serviceName)
{
    boost::json::array attributes;
    for (const auto& [key, value] : span.attributes)
        attributes.push_back(attribute(key, value));
    boost::json::object spanObject {
        { "traceId", span.context.traceIdText() },
        { "spanId", fmt::format("{:016x}", span.context.spanId) },
        { "name", span.name },
        { "startTimeUnixNano", unixNanoseconds(span.start) },
        { "endTimeUnixNano", unixNanoseconds(span.end) },
        { "attributes", std::move(attributes) },
    };
    if (span.parentSpanId != 0)
        spanObject["parentSpanId"] = fmt::format("{:016x}", span.parentSpanId);
    boost::json::object scope { { "spans", boost::json::array { std::move(spanObject) } } };
    boost::json::object resource { { "attributes", boost::json::array { attribute("service.name", serviceName) } } };
    boost::json::object resourceSpans {
        { "resource", std::move(resource) },
        { "scopeSpans", boost::json::array { std::move(scope) } },
    };
    boost::json::object document { { "resourceSpans", boost::json::array { std::move(resourceSpans) } } };
    return boost::json::serialize(document);
}

SpanSink::SpanSink(std::string sinkServiceName, const std::string& target)
    : serviceName(std::move(sinkServiceName))
{
    if (target.empty())
        return;
    this->file = target == "stderr" ? stderr : std::fopen(target.c_str(), "a");
    if (!this->file)
        logError("trace_target_cannot_be_opened", { { "target", target } });
}

SpanSink::~SpanSink()
{
    if (this->file && this->file != stderr)
        std::fclose(this->file);
}

void SpanSink::write(const Span& span)
{
    if (!this->file || !span.context.sampled)
        return;
    const std::string line = formatSpan(span, this->serviceName);
    const std::scoped_lock lock(this->mutex);
    fmt::print(this->file, "{}\n", line);
    std::fflush(this->file);
}

} // namespace clementinefall
