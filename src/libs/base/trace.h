#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinefall {

/// W3C trace context as carried by the `traceparent` header.
struct TraceContext {
    std::array<std::uint64_t, 2> traceId {};
    std::uint64_t spanId = 0;
    bool sampled = false;

    /// `00-<32 hex digits>-<16 hex digits>-<flags>`.
    std::string text() const;
    std::string traceIdText() const;
};

std::optional<TraceContext> parseTraceParent(std::string_view text);

/// New trace with a random identity.
TraceContext newTrace(Random& random, bool sampled);

/// Context for a child of \a parent in the same trace.
TraceContext childOf(const TraceContext& parent, Random& random);

/// One hop of a request.
struct Span {
    TraceContext context;
    std::uint64_t parentSpanId = 0;
    std::string name;
    WallClock::time_point start;
    WallClock::time_point end;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// One OTLP/JSON `resourceSpans` document in one line.
std::string formatSpan(const Span& span, std::string_view serviceName);

/// Writes the spans of sampled traces as lines to a file or to standard error. Safe from every thread.
class SpanSink {
public:
    /// \a target is empty (off), `stderr`, or a path that is appended to.
    SpanSink(std::string sinkServiceName, const std::string& target);
    ~SpanSink();
    SpanSink(const SpanSink&) = delete;
    SpanSink& operator=(const SpanSink&) = delete;

    bool isEnabled() const { return this->file != nullptr; }
    void write(const Span& span);

private:
    std::string serviceName;
    std::FILE* file = nullptr;
    std::mutex mutex;
};

} // namespace clementinefall
