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
#include <string_view>

namespace clementinefall::forwarding {

/// Prometheus metrics of the request path: counters, latency histograms and gauges.
class ForwardingMetrics {
public:
    ForwardingMetrics();

    /// Records a finished request; \a latency runs from the complete request to its response.
    void recordRequest(const std::string& route, ResultCode code, unsigned status, Duration latency);
    void recordServerAttempt(const std::string& service, const std::string& end);
    /// Records a request that is sent to a backend server, or sent again.
    void recordSend(const std::string& service, bool isRepeat);
    /// Records whether the retry budget of the service allowed a retry.
    void recordRetryDecision(const std::string& service, bool isGranted);
    /// Records that a backend server asked for \a notice, "leaving" or "pause".
    void recordNotice(const std::string& service, const std::string& notice);
    void recordPlacement(bool isCached);
    /// Records a request for a permit under the rate limit of a backend server.
    void recordPermit(const std::string& service, bool isGranted);
    void recordStoreCall(const std::string& kind, bool succeeded);
    void setGauge(const std::string& name, double value);
    /// Sets the age of what is known of a kind of the store's objects; \a source names what proved it.
    void setKnowledgeAge(const std::string& kind, std::string_view source, Duration age);

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct KnowledgeAge {
        std::string source;
        prometheus::Gauge* gauge = nullptr;
    };

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Counter>& attempts;
    prometheus::Family<prometheus::Counter>& sends;
    prometheus::Family<prometheus::Counter>& retries;
    prometheus::Family<prometheus::Counter>& notices;
    prometheus::Family<prometheus::Counter>& placements;
    prometheus::Family<prometheus::Counter>& permits;
    prometheus::Family<prometheus::Counter>& storeCalls;
    prometheus::Family<prometheus::Histogram>& latencies;
    prometheus::Family<prometheus::Gauge>& gauges;
    prometheus::Family<prometheus::Gauge>& knowledgeAges;
    std::map<std::string, KnowledgeAge> knowledgeAgeByKind;
    std::map<std::string, prometheus::Counter*> counterCache;
    std::map<std::string, prometheus::Histogram*> latencyCache;
};

} // namespace clementinefall::forwarding
