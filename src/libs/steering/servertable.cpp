#include "steering/servertable.h"

#include <algorithm>
#include <cmath>

namespace clementinefall::steering {

namespace {

/// Weight of the newest attempt in the moving averages; about the last ten attempts count.
constexpr double averageWeight = 0.1;
/// Error rate above which a server counts as unhealthy.
constexpr double unhealthyErrorRate = 0.5;
/// Multiple of comparisonLatency() above which a server counts as unhealthy.
constexpr double unhealthyLatencyFactor = 4;
/// Attempts before a server may be ejected. With fewer, ejections would be due to chance.
constexpr unsigned minimumSamples = 5;
constexpr seconds ejectionBase { 5 };
constexpr unsigned maximumEjectionDoublings = 3;

constexpr double initialRamp = 0.1;
constexpr double rampFactorPerSecond = 1.5;
/// The ramp does not rise while latency is at least this multiple of the baseline.
constexpr double rampLatencyFactor = 2;

/// Time after a successful attempt during which failed probes have no effect.
constexpr seconds successValidity { 10 };
constexpr double failedProbeQuality = 0.05;
constexpr double minimumQuality = 0.05;
/// Maximum fraction by which a load report lowers the weight.
constexpr double maximumReportEffect = 0.5;

std::string shareItemName(const RoutingSnapshot& snapshot, const ServerRoute& server)
{
    return snapshot.services[server.service].name + '/' + server.name;
}

ServerState* findServer(ServerTable& table, std::string_view name)
{
    const auto found = std::find_if(
        table.servers.begin(), table.servers.end(), [&](const ServerState& server) { return server.name == name; });
    return found == table.servers.end() ? nullptr : &*found;
}

/// Position for a new server: that of a removed server without requests in flight, or a new one at the end.
ServerPosition acquirePosition(ServerTable& table)
{
    for (ServerPosition at = 0; at < table.servers.size(); ++at) {
        if (!table.servers[at].isConfigured && table.servers[at].inFlight == 0)
            return at;
    }
    table.servers.emplace_back();
    return static_cast<ServerPosition>(table.servers.size() - 1);
}

bool isUnhealthy(const ServerState& server)
{
    return server.samples >= minimumSamples && server.errorRate > unhealthyErrorRate;
}

/// Whether every server that could take requests is unhealthy, so that health does not distinguish them. Load is then
/// spread evenly, since preferring the least unhealthy servers would overload them.
bool areAllUnhealthy(const ServerTable& table, const ServicePool& pool)
{
    return std::all_of(pool.servers.begin(), pool.servers.end(), [&](ServerPosition at) {
        const ServerState& server = table.servers[at];
        return server.isLeaving() || server.ejectedUntil || isUnhealthy(server);
    });
}

double score(const ServerState& server, bool ignoresHealth, TimePoint now)
{
    const double quality = ignoresHealth ? 1 : serverQuality(server, now);
    return (server.inFlight + 1) / (server.share * server.ramp * quality);
}

/// Free slots of the share. With \a ignoresHealth, ramp and ejection do not reduce the share.
unsigned availableSlots(const ServerState& server, bool ignoresHealth, TimePoint now)
{
    if (ignoresHealth && !server.isLeaving())
        return server.share > server.inFlight ? server.share - server.inFlight : 0;
    const unsigned usable = usableSlots(server, now);
    return usable > server.inFlight ? usable - server.inFlight : 0;
}

/// Latency in ms against which a server with \a serverLatencyMs is checked for being an outlier.
double comparisonLatency(const ServerTable& table, const ServicePool& pool, double serverLatencyMs)
{
    unsigned below = 0;
    unsigned above = 0;
    double largestBelow = 0;
    for (const ServerPosition at : pool.servers) {
        const double latency = table.servers[at].latencyMs;
        if (latency <= 0)
            continue;
        below += latency < serverLatencyMs ? 1 : 0;
        above += latency > serverLatencyMs ? 1 : 0;
        largestBelow = latency < serverLatencyMs ? std::max(largestBelow, latency) : largestBelow;
    }
    // Only servers of the slower half can be outliers; the next faster server represents the rest of the pool.
    return below > above ? largestBelow : serverLatencyMs;
}

void ejectIfOutlier(ServerTable& table, const ServicePool& pool, ServerState& server, TimePoint now)
{
    if (server.ejectedUntil || server.samples < minimumSamples || areAllUnhealthy(table, pool))
        return;
    const bool isSlow = server.latencyMs > unhealthyLatencyFactor * comparisonLatency(table, pool, server.latencyMs);
    if (!isUnhealthy(server) && !isSlow)
        return;
    std::size_t activeCount = 0;
    std::size_t ejectedCount = 0;
    for (const ServerPosition at : pool.servers) {
        activeCount += table.servers[at].isLeaving() ? 0 : 1;
        ejectedCount += table.servers[at].ejectedUntil ? 1 : 0;
    }
    if ((ejectedCount + 1) * 3 > activeCount)
        return;
    server.ejectedUntil = now + ejectionBase * (1U << std::min(server.ejections, maximumEjectionDoublings));
    ++server.ejections;
}

/// Mean of the baselines in a pool, in ms. It is the initial baseline of a new server, whose own first responses are
/// slow since it is cold.
double poolBaseline(const ServerTable& table, const ServicePool& pool)
{
    double sum = 0;
    unsigned count = 0;
    for (const ServerPosition at : pool.servers) {
        sum += table.servers[at].baselineMs;
        count += table.servers[at].baselineMs > 0 ? 1 : 0;
    }
    return count > 0 ? sum / count : 0;
}

void updateAverages(ServerState& server, const AttemptOutcome& outcome, double expectedBaseline, TimePoint now)
{
    using Kind = AttemptOutcome::Kind;
    // A server that sheds load is full, not faulty.
    if (outcome.kind == Kind::Shed) {
        server.reportedLoad = 1;
        server.reportedAt = now;
        server.hasReport = true;
        return;
    }
    const bool isSuccess = outcome.kind == Kind::Success;
    server.samples = std::min(server.samples + 1, minimumSamples);
    server.errorRate += averageWeight * ((isSuccess ? 0.0 : 1.0) - server.errorRate);
    if (!isSuccess)
        return;
    server.lastSuccess = now;
    server.hasSucceeded = true;
    const double latency = std::chrono::duration<double, std::milli>(outcome.latency).count();
    server.latencyMs = server.latencyMs > 0 ? server.latencyMs + averageWeight * (latency - server.latencyMs) : latency;
    // Moving by 2% towards each sample converges on the median.
    constexpr double medianStep = 0.02;
    if (server.baselineMs <= 0)
        server.baselineMs = expectedBaseline > 0 ? expectedBaseline : latency;
    else
        server.baselineMs *= latency > server.baselineMs ? 1 + medianStep : 1 - medianStep;
}

void raiseRamp(ServerState& server, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - server.rampedAt).count();
    if (server.ramp >= 1 || elapsed <= 0)
        return;
    server.rampedAt = now;
    const bool isSlow = server.latencyMs >= rampLatencyFactor * server.baselineMs && server.baselineMs > 0;
    if (isSlow || isUnhealthy(server) || !server.hasSucceeded)
        return;
    // A late tick after a pause counts as one second at most.
    server.ramp = std::min(1.0, server.ramp * std::pow(rampFactorPerSecond, std::min(elapsed, 1.0)));
}

void startCold(ServerState& server, TimePoint now)
{
    server.ramp = initialRamp;
    server.rampedAt = now;
    server.samples = 0;
    server.errorRate = 0;
}

} // namespace

bool ServerState::isLeaving() const
{
    return !this->isConfigured || std::any_of(this->drainedSince.begin(), this->drainedSince.end(), [](const auto& s) {
        return s.has_value();
    });
}

std::optional<TimePoint> ServerState::leavingSince() const
{
    std::optional<TimePoint> first;
    for (const auto& since : this->drainedSince) {
        if (since)
            first = std::min(first.value_or(*since), *since);
    }
    return first;
}

void applySnapshot(ServerTable& table, const RoutingSnapshot& snapshot, TimePoint now, bool isWarm)
{
    for (ServerState& server : table.servers)
        server.isConfigured = false;
    table.pools.assign(snapshot.services.size(), {});
    for (Index service = 0; service < snapshot.services.size(); ++service) {
        const ServiceRoute& route = snapshot.services[service];
        ServicePool& pool = table.pools[service];
        pool.priority = route.priority;
        if (!snapshot.localZone)
            continue;
        for (const Index index : route.serversByZone[*snapshot.localZone]) {
            const ServerRoute& server = snapshot.servers[index];
            const std::string name = shareItemName(snapshot, server);
            ServerState* state = findServer(table, name);
            if (!state) {
                state = &table.servers[acquirePosition(table)];
                *state = ServerState {};
                state->name = name;
                if (!isWarm)
                    startCold(*state, now);
            }
            state->isConfigured = true;
            state->route = index;
            state->address = server.address;
            state->slots = server.slots;
            state->heldUntil.reserve(server.slots);
            recordDrain(table, name, DrainSource::Operator, server.isLeaving, now);
            pool.servers.push_back(static_cast<ServerPosition>(state - table.servers.data()));
        }
    }
}

ShareTable slotShares(const RoutingSnapshot& snapshot, Index zone)
{
    ShareTable shares;
    shares.version = snapshot.version;
    const auto& peers = snapshot.zones[zone].instances;
    for (const ServerRoute& server : snapshot.servers) {
        if (server.zone != zone)
            continue;
        shares.items.push_back(shareItemName(snapshot, server));
        const auto amounts = divideSlots(snapshot, server);
        for (std::size_t at = 0; at < peers.size(); ++at)
            shares.holders[snapshot.instances[peers[at]].name].push_back(amounts[at]);
    }
    return shares;
}

void applyShares(ServerTable& table, const ShareHistory& history, TimePoint now)
{
    const bool isUsable = now >= table.usableFrom;
    for (ServerState& server : table.servers) {
        const std::uint64_t share = isUsable ? history.usable(server.name) : 0;
        server.share = static_cast<unsigned>(std::min<std::uint64_t>(share, server.slots));
    }
}

bool isWithinMinimumShares(const ServerTable& table, const ShareHistory& history, TimePoint now)
{
    return now >= table.usableFrom
        && std::all_of(table.servers.begin(), table.servers.end(),
            [&](const ServerState& server) { return server.inFlight <= history.minimumShare(server.name); });
}

void recordDrain(ServerTable& table, std::string_view name, DrainSource source, bool isLeaving, TimePoint now)
{
    ServerState* server = findServer(table, name);
    if (!server)
        return;
    const bool wasLeaving = server->isLeaving();
    auto& since = server->drainedSince[static_cast<std::size_t>(source)];
    since = isLeaving ? std::optional(since.value_or(now)) : std::nullopt;
    if (wasLeaving && !server->isLeaving())
        startCold(*server, now);
}

void recordReport(ServerTable& table, ServerPosition at, double load, TimePoint measuredAt)
{
    ServerState& server = table.servers[at];
    if (server.hasReport && measuredAt < server.reportedAt)
        return;
    server.reportedLoad = std::clamp(load, 0.0, 1.0);
    server.reportedAt = measuredAt;
    server.hasReport = true;
}

void recordProbe(ServerTable& table, ServerPosition at, bool isSuccess)
{
    table.servers[at].isProbeFailing = !isSuccess;
}

void tick(ServerTable& table, TimePoint now)
{
    for (ServerState& server : table.servers) {
        const auto released = std::remove_if(
            server.heldUntil.begin(), server.heldUntil.end(), [&](TimePoint until) { return until <= now; });
        server.inFlight -= static_cast<unsigned>(server.heldUntil.end() - released);
        server.heldUntil.erase(released, server.heldUntil.end());
        if (server.ejectedUntil && *server.ejectedUntil <= now) {
            server.ejectedUntil.reset();
            startCold(server, now);
        }
        raiseRamp(server, now);
    }
}

double serverQuality(const ServerState& server, TimePoint now)
{
    double quality = 1 - server.errorRate;
    if (server.baselineMs > 0 && server.latencyMs > server.baselineMs)
        quality *= server.baselineMs / server.latencyMs;
    const bool hasRecentSuccess = server.hasSucceeded && now - server.lastSuccess < successValidity;
    if (server.isProbeFailing && !hasRecentSuccess)
        quality *= failedProbeQuality;
    if (server.hasReport) {
        const double age = std::max(0.0, std::chrono::duration<double>(now - server.reportedAt).count());
        quality *= 1 - maximumReportEffect * server.reportedLoad * std::exp2(-age);
    }
    return std::max(quality, minimumQuality);
}

unsigned usableSlots(const ServerState& server, TimePoint now)
{
    if (server.isLeaving() || server.share == 0 || (server.ejectedUntil && *server.ejectedUntil > now))
        return 0;
    // At least one slot, since without requests the ramp of a cold server would never rise.
    return std::max(1U, static_cast<unsigned>(server.share * server.ramp));
}

double admissionLimit(bundle::Priority priority)
{
    switch (priority) {
    case bundle::Priority::Bulk:
        return 0.7;
    case bundle::Priority::Upload:
        return 0.8;
    case bundle::Priority::Lookup:
        return 0.9;
    case bundle::Priority::Critical:
        break;
    }
    return 1.0;
}

std::optional<ServerPosition> selectServer(
    const ServerTable& table, Index service, std::span<const ServerPosition> excluded, TimePoint now, Random& random)
{
    const ServicePool& pool = table.pools[service];
    const bool ignoresHealth = areAllUnhealthy(table, pool);
    // Reservoir sampling of two servers needs one pass and no list of the eligible ones.
    std::array<ServerPosition, 2> chosen {};
    std::uint64_t eligible = 0;
    for (const ServerPosition at : pool.servers) {
        if (availableSlots(table.servers[at], ignoresHealth, now) == 0
            || std::find(excluded.begin(), excluded.end(), at) != excluded.end())
            continue;
        ++eligible;
        const std::uint64_t position = eligible <= 2 ? eligible - 1 : randomBelow(random, eligible);
        if (position < 2)
            chosen[position] = at;
    }
    if (eligible == 0)
        return std::nullopt;
    if (eligible == 1)
        return chosen[0];
    const double first = score(table.servers[chosen[0]], ignoresHealth, now);
    const double second = score(table.servers[chosen[1]], ignoresHealth, now);
    if (first == second)
        return chosen[randomBelow(random, 2)];
    return first < second ? chosen[0] : chosen[1];
}

Admission admit(ServerTable& table, Index service, bundle::Priority priority, std::span<const ServerPosition> excluded,
    TimePoint now, Random& random)
{
    const ServicePool& pool = table.pools[service];
    const bool ignoresHealth = areAllUnhealthy(table, pool);
    unsigned total = 0;
    unsigned used = 0;
    bool hasServer = false;
    for (const ServerPosition at : pool.servers) {
        const ServerState& server = table.servers[at];
        hasServer = hasServer || !server.isLeaving();
        const unsigned available = availableSlots(server, ignoresHealth, now);
        used += server.isLeaving() ? 0 : server.inFlight;
        total += server.isLeaving() ? 0 : server.inFlight + available;
    }
    if (!hasServer)
        return { std::nullopt, ResultCode::NotRunNoServer };
    // The first request is always within the limit; otherwise a pool with one slot would admit no low priority at all.
    if (used > 0 && used + 1 > total * admissionLimit(priority))
        return { std::nullopt, ResultCode::NotRunNoCapacity };
    const auto server = selectServer(table, service, excluded, now, random);
    if (!server)
        return { std::nullopt, ResultCode::NotRunNoCapacity };
    ++table.servers[*server].inFlight;
    return { server, ResultCode::Answered };
}

void recordOutcome(ServerTable& table, Index service, ServerPosition at, const AttemptOutcome& outcome, TimePoint now)
{
    ServerState& server = table.servers[at];
    if (outcome.kind == AttemptOutcome::Kind::Unknown && outcome.deadline > now)
        server.heldUntil.push_back(outcome.deadline);
    else
        --server.inFlight;
    if (service >= table.pools.size())
        return;
    const ServicePool& pool = table.pools[service];
    updateAverages(server, outcome, poolBaseline(table, pool), now);
    ejectIfOutlier(table, pool, server, now);
}

unsigned freeSlots(const ServerTable& table, Index service, TimePoint now)
{
    unsigned result = 0;
    for (const ServerPosition at : table.pools[service].servers)
        result += availableSlots(table.servers[at], false, now);
    return result;
}

Duration meanLatency(const ServerTable& table, Index service)
{
    double sum = 0;
    unsigned count = 0;
    for (const ServerPosition at : table.pools[service].servers) {
        sum += table.servers[at].latencyMs;
        count += table.servers[at].latencyMs > 0 ? 1 : 0;
    }
    const std::chrono::duration<double, std::milli> mean(count > 0 ? sum / count : 0);
    return std::chrono::duration_cast<Duration>(mean);
}

} // namespace clementinefall::steering
