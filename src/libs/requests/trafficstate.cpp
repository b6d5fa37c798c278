#include "requests/trafficstate.h"

namespace clementinefall::requests {

namespace {

/// Time that a restarted instance waits for the status of zone members that never reported. Such a member is dead or
/// partitioned. A partitioned one uses only its own slots, so the wait is needed only for members that respond slowly.
constexpr seconds missingStatusTimeout { 10 };

} // namespace

TrafficState::TrafficState(InstanceIdentity identity, SpanSink& sink)
    : self(std::move(identity))
    , spans(sink)
    , slotHistory(this->self.name, this->self.incarnation, Clock::now(), missingStatusTimeout)
{
    this->servers.usableFrom = Clock::now();
}

std::variant<TrafficState::AcquiredServer, ResultCode> TrafficState::acquireServer(steering::Index service,
    bundle::Priority priority, const std::vector<steering::ServerPosition>& tried, Random& random)
{
    const std::scoped_lock lock(this->serverMutex);
    const steering::Admission admission
        = steering::admit(this->servers, service, priority, tried, Clock::now(), random);
    if (!admission.server)
        return admission.rejection;
    const steering::ServerState& server = this->servers.servers[*admission.server];
    return AcquiredServer { *admission.server, server.name, server.address };
}

void TrafficState::releaseServer(
    steering::Index service, const AcquiredServer& server, const steering::AttemptOutcome& outcome, bool isDraining)
{
    const std::scoped_lock lock(this->serverMutex);
    const TimePoint now = Clock::now();
    steering::recordOutcome(this->servers, service, server.position, outcome, now);
    if (outcome.kind == steering::AttemptOutcome::Kind::Success)
        steering::recordDrain(this->servers, server.name, steering::DrainSource::Server, isDraining, now);
}

void TrafficState::applyServers(const steering::RoutingSnapshot& snapshot, steering::Index localZone, TimePoint now)
{
    const std::scoped_lock lock(this->serverMutex);
    // Servers of the first snapshot have served requests before this instance started, so only later ones start cold.
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

void TrafficState::recordLatency(steering::Index service, Duration latency)
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

bool TrafficState::hasUsableSlots()
{
    const std::scoped_lock lock(this->serverMutex);
    return this->slotHistory.isStarted();
}

std::uint64_t TrafficState::settledSlotVersion()
{
    const std::scoped_lock lock(this->serverMutex);
    return this->slotHistory.settledVersion();
}

void TrafficState::recordPlatformDrain(std::string_view server, bool isDraining, TimePoint now)
{
    const std::scoped_lock lock(this->serverMutex);
    steering::recordDrain(this->servers, server, steering::DrainSource::Platform, isDraining, now);
}

} // namespace clementinefall::requests
