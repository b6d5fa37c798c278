#include "requests/trafficstate.h"

namespace clementinefall::requests {

namespace {

/// A restarted instance waits this long for the status of zone members that never reported. They are dead or cut off;
/// a cut-off one still uses its own slots only, so the wait protects against one that is slow to answer.
constexpr seconds slotPresumeAfter { 10 };

} // namespace

TrafficState::TrafficState(InstanceIdentity identity, SpanSink& sink)
    : self(std::move(identity))
    , spans(sink)
    , slotHistory(this->self.name, this->self.incarnation, Clock::now(), slotPresumeAfter)
{
    this->servers.usableFrom = Clock::now();
}

std::variant<TrafficState::TakenServer, ResultCode> TrafficState::takeServer(steering::Index service,
    bundle::Priority priority, const std::vector<steering::ServerPosition>& tried, Random& random)
{
    const std::scoped_lock lock(this->serverMutex);
    const steering::Admission admission
        = steering::admit(this->servers, service, priority, tried, Clock::now(), random);
    if (!admission.server)
        return admission.rejection;
    const steering::ServerState& server = this->servers.servers[*admission.server];
    return TakenServer { *admission.server, server.name, server.address };
}

void TrafficState::releaseServer(
    steering::Index service, const TakenServer& server, const steering::AttemptOutcome& outcome, bool isDraining)
{
    const std::scoped_lock lock(this->serverMutex);
    const TimePoint now = Clock::now();
    steering::recordOutcome(this->servers, service, server.slot, outcome, now);
    if (outcome.kind == steering::AttemptOutcome::Kind::Success)
        steering::recordDrain(this->servers, server.name, steering::DrainSource::Server, isDraining, now);
}

void TrafficState::applyServers(const steering::RoutingSnapshot& snapshot, steering::Index localZone, TimePoint now)
{
    const std::scoped_lock lock(this->serverMutex);
    // Servers that run when this instance starts have served before; later ones start cold.
    steering::applySnapshot(this->servers, snapshot, now, !this->hasAppliedServers);
    this->hasAppliedServers = true;
    this->latencies.assign(snapshot.services.size(), LatencyWindow());
    this->slotHistory.adopt(steering::slotShares(snapshot, localZone));
    if (steering::isWithinMinimumShares(this->servers, this->slotHistory, now))
        this->slotHistory.confirm();
    this->slotHistory.settle(now);
    steering::applyShares(this->servers, this->slotHistory, now);
}

steering::ShareQuery TrafficState::tickServers(TimePoint now)
{
    const std::scoped_lock lock(this->serverMutex);
    steering::tick(this->servers, now);
    if (steering::isWithinMinimumShares(this->servers, this->slotHistory, now))
        this->slotHistory.confirm();
    this->slotHistory.settle(now);
    steering::applyShares(this->servers, this->slotHistory, now);
    return this->slotHistory.makeQuery();
}

steering::ShareStatus TrafficState::answerShareQuery(const steering::ShareQuery& query)
{
    const std::scoped_lock lock(this->serverMutex);
    return this->slotHistory.respondTo(query);
}

void TrafficState::recordShareStatus(const steering::ShareStatus& status, TimePoint now)
{
    const std::scoped_lock lock(this->serverMutex);
    this->slotHistory.recordStatus(status, now);
    this->slotHistory.settle(now);
    steering::applyShares(this->servers, this->slotHistory, now);
}

void TrafficState::noteLatency(steering::Index service, Duration latency)
{
    const std::scoped_lock lock(this->serverMutex);
    if (service < this->latencies.size())
        this->latencies[service].add(latency, Clock::now());
}

Duration TrafficState::firstByteTimeoutOf(steering::Index service, TimePoint deadline)
{
    constexpr double quantile = 0.999;
    const TimePoint now = Clock::now();
    const std::scoped_lock lock(this->serverMutex);
    const auto observed
        = service < this->latencies.size() ? this->latencies[service].quantile(quantile, now) : std::nullopt;
    return firstByteTimeout(observed, deadline - now);
}

bool TrafficState::hasSlots()
{
    const std::scoped_lock lock(this->serverMutex);
    return this->slotHistory.isStarted();
}

std::uint64_t TrafficState::settledSlotVersion()
{
    const std::scoped_lock lock(this->serverMutex);
    return this->slotHistory.settledVersion();
}

void TrafficState::recordPlatformDrain(std::string_view server, bool isLeaving, TimePoint now)
{
    const std::scoped_lock lock(this->serverMutex);
    steering::recordDrain(this->servers, server, steering::DrainSource::Platform, isLeaving, now);
}

} // namespace clementinefall::requests
