#include "forwarding/memorybudget.h"

#include "base/log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace clementinefall::forwarding {

namespace {

/// Shares of the limit at which reading pauses, and at which new requests are rejected. The distance leaves room for
/// the guaranteed part of each message.
constexpr double pausedShare = 0.7;
constexpr double exhaustedShare = 0.9;

/// Share of the limit up to which large requests are taken. Below it, responses are read without a pause.
constexpr double largeRequestsShare = 0.5;

/// Share of the limit at which pressure counts as over. Hysteresis keeps the log from showing every small change.
constexpr double relievedShare = 0.6;

/// Longest wait for memory. Others than those that wait may be able to pass on their bytes meanwhile.
constexpr milliseconds maximumRoomWait { 250 };

std::uint64_t shareOf(std::uint64_t limit, double share)
{
    return static_cast<std::uint64_t>(static_cast<double>(limit) * share);
}

Duration blockedFor(const std::optional<TimePoint>& writingSince, TimePoint now)
{
    return writingSince ? now - *writingSince : Duration {};
}

} // namespace

MemoryPressure memoryPressure(const MemoryUse& use)
{
    if (use.usedBytes >= shareOf(use.limitBytes, exhaustedShare))
        return MemoryPressure::Exhausted;
    return use.usedBytes >= shareOf(use.limitBytes, pausedShare) ? MemoryPressure::ReadsPaused : MemoryPressure::None;
}

bool hasRoomForRequest(const MemoryUse& use, std::uint64_t requestBytes)
{
    if (requestBytes > smallRequestBytes)
        return use.usedBytes <= shareOf(use.limitBytes, largeRequestsShare);
    return memoryPressure(use) != MemoryPressure::Exhausted;
}

std::size_t readAllowance(const MemoryUse& use, std::uint64_t heldBytes)
{
    if (memoryPressure(use) == MemoryPressure::None)
        return maximumBodyReadBytes;
    return heldBytes < guaranteedBytes ? guaranteedBytes - static_cast<std::size_t>(heldBytes) : 0;
}

std::optional<std::size_t> connectionToClose(const MemoryUse& use, std::span<const HeldConnection> connections)
{
    if (memoryPressure(use) != MemoryPressure::Exhausted)
        return std::nullopt;
    std::optional<std::size_t> largest;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (connections[i].bytes == 0 || connections[i].blockedFor < callerBlockedTime)
            continue;
        if (!largest || connections[i].bytes > connections[*largest].bytes)
            largest = i;
    }
    return largest;
}

ConnectionMemory::ConnectionMemory(std::shared_ptr<MemoryBudget> memoryBudget, std::function<void()> onClose)
    : budget(std::move(memoryBudget))
    , close(std::move(onClose))
{
    this->budget->connections.insert(this);
}

ConnectionMemory::~ConnectionMemory() { this->budget->connections.erase(this); }

MessageMemory::MessageMemory(std::shared_ptr<ConnectionMemory> connectionMemory)
    : connection(std::move(connectionMemory))
{
}

MessageMemory::~MessageMemory()
{
    this->connection->budget->remove(
        *this->connection, this->requestBytes + this->responseBytes + this->earlierResponseBytes);
}

void MessageMemory::adjust(std::uint64_t& part, std::uint64_t bytes)
{
    const std::uint64_t before = std::exchange(part, bytes);
    if (bytes > before)
        this->connection->budget->add(*this->connection, bytes - before);
    else if (bytes < before)
        this->connection->budget->remove(*this->connection, before - bytes);
}

bool MessageMemory::reserveRequest(std::uint64_t bytes)
{
    if (bytes > this->requestBytes) {
        MemoryUse after = this->connection->budget->use();
        after.usedBytes += bytes - this->requestBytes;
        if (!hasRoomForRequest(after, bytes))
            return false;
    }
    this->adjust(this->requestBytes, bytes);
    return true;
}

void MessageMemory::holdRequest(std::uint64_t bytes) { this->adjust(this->requestBytes, bytes); }

void MessageMemory::holdResponse(std::uint64_t bytes, const std::string& server)
{
    if (bytes > this->responseBytes && this->connection->server != server)
        this->connection->server = server;
    this->adjust(this->responseBytes, bytes);
}

void MessageMemory::holdEarlierResponse(std::uint64_t bytes) { this->adjust(this->earlierResponseBytes, bytes); }

std::size_t MessageMemory::readAllowance() const
{
    return forwarding::readAllowance(this->connection->budget->use(), this->responseBytes);
}

MemoryBudget& MessageMemory::budget() const { return *this->connection->budget; }

std::shared_ptr<ConnectionMemory> MemoryBudget::open(std::function<void()> onClose)
{
    return std::make_shared<ConnectionMemory>(this->shared_from_this(), std::move(onClose));
}

void MemoryBudget::add(ConnectionMemory& connection, std::uint64_t bytes)
{
    connection.heldBytes += bytes;
    this->memoryUse.usedBytes += bytes;
    this->peak = std::max(this->peak, this->memoryUse.usedBytes);
}

void MemoryBudget::remove(ConnectionMemory& connection, std::uint64_t bytes)
{
    connection.heldBytes -= bytes;
    this->memoryUse.usedBytes -= bytes;
    this->wakeWaiting();
}

void MemoryBudget::wakeWaiting()
{
    // Each of those that go on may read at once, so no more of them do than there is room for.
    MemoryUse expected = this->memoryUse;
    while (!this->waiting.empty() && memoryPressure(expected) == MemoryPressure::None) {
        this->waiting.begin()->second->cancel();
        this->waiting.erase(this->waiting.begin());
        expected.usedBytes += maximumBodyReadBytes;
    }
}

Awaitable<void> MemoryBudget::waitForRoom(asio::any_io_executor executor, TimePoint since)
{
    const auto self = this->shared_from_this();
    const auto timer = std::make_shared<asio::steady_timer>(executor, maximumRoomWait);
    this->waiting.emplace(since, timer);
    co_await timer->async_wait(useTuple);
    std::erase_if(this->waiting, [&timer](const auto& entry) { return entry.second == timer; });
}

void MemoryBudget::relieve(TimePoint now)
{
    this->logPressure(now);
    if (this->pressure() != MemoryPressure::Exhausted)
        return;
    const std::vector<ConnectionMemory*> candidates { this->connections.begin(), this->connections.end() };
    std::vector<HeldConnection> held;
    held.reserve(candidates.size());
    for (const ConnectionMemory* candidate : candidates)
        held.push_back({ candidate->heldBytes, blockedFor(candidate->writingSince, now) });
    // The memory of a closed connection is free once its coroutines have ended.
    MemoryUse expected = this->memoryUse;
    std::vector<std::function<void()>> toClose;
    while (const auto index = connectionToClose(expected, held)) {
        HeldConnection& largest = held[*index];
        logWarning("caller_closed_for_memory",
            { { "server", candidates[*index]->server }, { "bytes", largest.bytes },
                { "not_reading_ms", std::chrono::duration_cast<milliseconds>(largest.blockedFor).count() },
                { "held_bytes", expected.usedBytes }, { "limit_bytes", expected.limitBytes } });
        expected.usedBytes -= largest.bytes;
        largest.bytes = 0;
        toClose.push_back(candidates[*index]->close);
    }
    this->closed += toClose.size();
    for (const auto& close : toClose)
        close();
}

void MemoryBudget::logPressure(TimePoint now)
{
    if (!this->pressureSince) {
        if (this->pressure() == MemoryPressure::None)
            return;
        this->pressureSince = now;
        this->rejectedBefore = this->rejected;
        this->closedBefore = this->closed;
        logWarning("memory_pressure_started",
            { { "held_bytes", this->memoryUse.usedBytes }, { "limit_bytes", this->memoryUse.limitBytes },
                { "paused_responses", this->waiting.size() } });
        return;
    }
    if (this->memoryUse.usedBytes >= shareOf(this->memoryUse.limitBytes, relievedShare))
        return;
    logInfo("memory_pressure_ended",
        { { "ms", std::chrono::duration_cast<milliseconds>(now - *this->pressureSince).count() },
            { "held_bytes", this->memoryUse.usedBytes }, { "peak_bytes", this->peak },
            { "rejected", this->rejected - this->rejectedBefore },
            { "callers_closed", this->closed - this->closedBefore } });
    this->pressureSince.reset();
}

} // namespace clementinefall::forwarding
