#include "requests/connectionhealth.h"

#include "base/hash.h"

#include <algorithm>

namespace clementinefall::requests {

namespace {

constexpr double minimumAgeFraction = 0.8;
constexpr milliseconds connectionRefillInterval { 125 };
constexpr unsigned connectionBurst = 4;
constexpr seconds probeInterval { 5 };
constexpr milliseconds initialReconnectBound { 250 };
constexpr unsigned maximumDoublings = 5;
constexpr milliseconds minimumFirstByteTimeout { 50 };
constexpr int firstByteLatencyFactor = 3;

} // namespace

Duration jitteredAge(Random& random)
{
    const double fraction = minimumAgeFraction + (1.0 - minimumAgeFraction) * randomUnit(random);
    return std::chrono::duration_cast<Duration>(maximumConnectionAge * fraction);
}

ConnectionUse decideUse(const ConnectionState& connection, const ServerSuspicion& suspicion, TimePoint now)
{
    if (connection.opened < suspicion.openedBefore)
        return ConnectionUse::ReplaceSuspect;
    if (now - connection.lastUsed >= maximumIdleTime)
        return ConnectionUse::CloseIdle;
    if (now - connection.opened >= connection.maximumAge)
        return ConnectionUse::CloseAged;
    return ConnectionUse::Reuse;
}

bool recordTimeout(ServerSuspicion& suspicion, const ConnectionState& connection, bool receivedAnyByte, TimePoint now)
{
    if (receivedAnyByte || connection.exchanges == 0)
        return false;
    suspicion.openedBefore = std::max(suspicion.openedBefore, now);
    return true;
}

bool beginReplacement(ServerSuspicion& suspicion)
{
    if (suspicion.isReplacing)
        return false;
    suspicion.isReplacing = true;
    return true;
}

void endReplacement(ServerSuspicion& suspicion) { suspicion.isReplacing = false; }

bool TokenBucket::take(TimePoint now)
{
    if (this->availableAt(now) > now)
        return false;
    this->fullAt = std::max(this->fullAt, now) + this->interval;
    return true;
}

TimePoint TokenBucket::availableAt(TimePoint now) const
{
    if (this->fullAt <= now)
        return now;
    return std::max(now, this->fullAt - this->interval * (this->capacity - 1));
}

TokenBucket newConnectionBucket() { return { connectionRefillInterval, connectionBurst }; }

TokenBucket probeBucket() { return { probeInterval, 1 }; }

std::string_view probingInstance(std::string_view server, std::span<const std::string> instancesOfZone)
{
    const std::uint64_t serverHash = hash64(server);
    const auto chosen = std::max_element(instancesOfZone.begin(), instancesOfZone.end(),
        [serverHash](const std::string& left, const std::string& right) {
            return hash64(left, serverHash) < hash64(right, serverHash);
        });
    return chosen == instancesOfZone.end() ? std::string_view {} : std::string_view(*chosen);
}

Duration reconnectDelay(unsigned failures, Random& random)
{
    const Duration bound = initialReconnectBound * (1U << std::min(failures, maximumDoublings));
    return std::chrono::duration_cast<Duration>(bound * randomUnit(random));
}

Duration firstByteTimeout(std::optional<Duration> p999, Duration timeLeft)
{
    if (!p999)
        return std::max(timeLeft, Duration::zero());
    const Duration derived = std::max<Duration>(*p999 * firstByteLatencyFactor, minimumFirstByteTimeout);
    return std::clamp(timeLeft, Duration::zero(), derived);
}

} // namespace clementinefall::requests
