#include "base/trace.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace clementinefall;

TEST_CASE("Trace context")
{
    Random random(7);

    SECTION("a traceparent header survives formatting and parsing")
    {
        const TraceContext context = newTrace(random, true);
        const auto parsed = parseTraceParent(context.text());
        REQUIRE(parsed);
        CHECK(parsed->traceId == context.traceId);
        CHECK(parsed->spanId == context.spanId);
        CHECK(parsed->sampled);
    }

    SECTION("a malformed header gives no context")
    {
        CHECK_FALSE(parseTraceParent(""));
        CHECK_FALSE(parseTraceParent("00-00000000000000000000000000000000-0000000000000001-01"));
        CHECK_FALSE(parseTraceParent("00-0000000000000000000000000000000g-0000000000000001-01"));
        CHECK_FALSE(parseTraceParent("00x00000000000000000000000000000001-0000000000000001-01"));
    }

    SECTION("a child span stays in the trace and is written as OTLP/JSON")
    {
        const TraceContext parent = newTrace(random, true);
        Span span;
        span.context = childOf(parent, random);
        span.parentSpanId = parent.spanId;
        span.name = "dispatch";
        span.attributes = { { "server", "b1" } };
        const auto document = boost::json::parse(formatSpan(span, "entry")).as_object();
        const auto& written = document.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").at(0).as_object();
        CHECK(written.at("traceId").as_string() == parent.traceIdText());
        CHECK(written.at("name").as_string() == "dispatch");
        CHECK(written.contains("parentSpanId"));
    }
}
