#include "forwarding/forwardingmetrics.h"

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

namespace clementinefall::forwarding {

namespace {

template <typename T>
prometheus::Family<T>& family(auto builder, prometheus::Registry& registry, const char* name, const char* help)
{
    return builder.Name(name).Help(help).Register(registry);
}

/// Bucket bounds in seconds, from a fast response to the longest common deadline.
const prometheus::Histogram::BucketBoundaries latencyBounds { 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2.5, 5, 10 };

} // namespace

ForwardingMetrics::ForwardingMetrics()
    : registry(std::make_shared<prometheus::Registry>())
    , requests(family<prometheus::Counter>(prometheus::BuildCounter(), *this->registry, "clementinefall_requests_total",
          "Finished requests by route, status and result code."))
    , attempts(family<prometheus::Counter>(prometheus::BuildCounter(), *this->registry, "clementinefall_attempts_total",
          "Sends to backend servers by service and end."))
    , sends(family<prometheus::Counter>(prometheus::BuildCounter(), *this->registry, "clementinefall_sends_total",
          "Requests written to backend servers, by service and whether it was the first time."))
    , retries(family<prometheus::Counter>(prometheus::BuildCounter(), *this->registry, "clementinefall_retries_total",
          "Decisions on retries by the retry budget, by service and result."))
    , notices(family<prometheus::Counter>(prometheus::BuildCounter(), *this->registry,
          "clementinefall_server_notices_total",
          "Notices of backend servers that leave or ask for a pause, by service."))
    , placements(family<prometheus::Counter>(prometheus::BuildCounter(), *this->registry,
          "clementinefall_placements_total", "Placements by whether the server recently handled the object."))
    , permits(family<prometheus::Counter>(prometheus::BuildCounter(), *this->registry, "clementinefall_permits_total",
          "Requests for permits at backend servers with a rate limit, by service and result."))
    , storeCalls(family<prometheus::Counter>(prometheus::BuildCounter(), *this->registry,
          "clementinefall_store_calls_total", "Calls to the platform's store by kind of object."))
    , latencies(family<prometheus::Histogram>(prometheus::BuildHistogram(), *this->registry,
          "clementinefall_request_seconds", "Time from the whole request to its answer, by route."))
    , gauges(family<prometheus::Gauge>(
          prometheus::BuildGauge(), *this->registry, "clementinefall_state", "State of this entry instance."))
    , knowledgeAges(
          family<prometheus::Gauge>(prometheus::BuildGauge(), *this->registry, "clementinefall_knowledge_age_seconds",
              "Age of what is known of the store's objects, by kind and by what proved it."))
{
}

void ForwardingMetrics::recordRequest(const std::string& route, ResultCode code, unsigned status, Duration latency)
{
    auto& counter = this->counterCache[fmt::format("r/{}/{}/{}", route, status, number(code))];
    if (counter == nullptr) {
        counter = &this->requests.Add(
            { { "route", route }, { "status", std::to_string(status) }, { "code", std::to_string(number(code)) } });
    }
    counter->Increment();
    auto& histogram = this->latencyCache[route];
    if (histogram == nullptr)
        histogram = &this->latencies.Add({ { "route", route } }, latencyBounds);
    histogram->Observe(std::chrono::duration<double>(latency).count());
}

void ForwardingMetrics::recordServerAttempt(const std::string& service, const std::string& end)
{
    auto& counter = this->counterCache[fmt::format("a/{}/{}", service, end)];
    if (counter == nullptr)
        counter = &this->attempts.Add({ { "service", service }, { "end", end } });
    counter->Increment();
}

void ForwardingMetrics::recordSend(const std::string& service, bool isRepeat)
{
    const char* kind = isRepeat ? "repeat" : "first";
    auto& counter = this->counterCache[fmt::format("w/{}/{}", service, kind)];
    if (counter == nullptr)
        counter = &this->sends.Add({ { "service", service }, { "kind", kind } });
    counter->Increment();
}

void ForwardingMetrics::recordRetryDecision(const std::string& service, bool isGranted)
{
    const char* result = isGranted ? "granted" : "denied";
    auto& counter = this->counterCache[fmt::format("b/{}/{}", service, result)];
    if (counter == nullptr)
        counter = &this->retries.Add({ { "service", service }, { "result", result } });
    counter->Increment();
}

void ForwardingMetrics::recordNotice(const std::string& service, const std::string& notice)
{
    auto& counter = this->counterCache[fmt::format("n/{}/{}", service, notice)];
    if (counter == nullptr)
        counter = &this->notices.Add({ { "service", service }, { "notice", notice } });
    counter->Increment();
}

void ForwardingMetrics::recordPlacement(bool isCached)
{
    auto& counter = this->counterCache[isCached ? "p/recent" : "p/fresh"];
    if (counter == nullptr)
        counter = &this->placements.Add({ { "object", isCached ? "recent" : "fresh" } });
    counter->Increment();
}

void ForwardingMetrics::recordPermit(const std::string& service, bool isGranted)
{
    const char* result = isGranted ? "granted" : "denied";
    auto& counter = this->counterCache[fmt::format("l/{}/{}", service, result)];
    if (counter == nullptr)
        counter = &this->permits.Add({ { "service", service }, { "result", result } });
    counter->Increment();
}

void ForwardingMetrics::recordStoreCall(const std::string& kind, bool succeeded)
{
    auto& counter = this->counterCache[fmt::format("s/{}/{}", kind, succeeded)];
    if (counter == nullptr)
        counter = &this->storeCalls.Add({ { "kind", kind }, { "result", succeeded ? "ok" : "failed" } });
    counter->Increment();
}

void ForwardingMetrics::setGauge(const std::string& name, double value)
{
    this->gauges.Add({ { "name", name } }).Set(value);
}

void ForwardingMetrics::setKnowledgeAge(const std::string& kind, std::string_view source, Duration age)
{
    KnowledgeAge& current = this->knowledgeAgeByKind[kind];
    if (current.gauge == nullptr || current.source != source) {
        if (current.gauge != nullptr)
            this->knowledgeAges.Remove(current.gauge);
        current.source = source;
        current.gauge = &this->knowledgeAges.Add({ { "kind", kind }, { "source", current.source } });
    }
    current.gauge->Set(std::chrono::duration<double>(age).count());
}

std::string ForwardingMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

} // namespace clementinefall::forwarding
