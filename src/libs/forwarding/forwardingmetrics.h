#pragma once

#include "base/clock.h"
#include "base/resultcode.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace clementinefall::forwarding {

/// Counters and latency histograms of the request path, in Prometheus' text format.
class ForwardingMetrics {
public:
    ForwardingMetrics();

    void noteRequest(const std::string& route, ResultCode code, unsigned status, Duration took);
    void noteAttempt(const std::string& service, const std::string& end);
    void notePlacement(bool isRecent);
    void noteStoreCall(const std::string& kind, bool succeeded);
    void setGauge(const std::string& name, double value);

    /// All metrics as text.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Counter>& attempts;
    prometheus::Family<prometheus::Counter>& placements;
    prometheus::Family<prometheus::Counter>& storeCalls;
    prometheus::Family<prometheus::Histogram>& latencies;
    prometheus::Family<prometheus::Gauge>& gauges;
    std::map<std::string, prometheus::Counter*> counterCache;
    std::map<std::string, prometheus::Histogram*> latencyCache;
};

} // namespace clementinefall::forwarding
