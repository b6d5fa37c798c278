#pragma once

#include "base/clock.h"
#include "http/awaitable.h"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

/// One account for the bytes of all messages under way in the process. Callers that do not read, and servers or callers
/// that send without end, would otherwise fill the memory together, although each message has a limit of its own.
namespace clementinefall::forwarding {

/// Bytes of the messages under way, and their limit.
struct MemoryUse {
    std::uint64_t limitBytes = 0;
    std::uint64_t usedBytes = 0;
};

enum class MemoryPressure : std::uint8_t {
    None,
    ReadsPaused, ///< Responses that are not passed on yet are read no further than guaranteedBytes.
    Exhausted, ///< New requests are rejected as not run, and callers that do not read are closed.
};

/// Bytes that each message may hold however full the account is, so that all of them make progress.
inline constexpr std::size_t guaranteedBytes = 4096;

/// Limits of one read of a message: of its body, and of its header, which few exceed.
inline constexpr std::size_t maximumBodyReadBytes = 16UL * 1024;
inline constexpr std::size_t maximumHeaderReadBytes = 4096;

/// Time without progress in writing after which a caller counts as one that does not read.
inline constexpr seconds callerBlockedTime { 1 };

/// Requests above this size, with their bodies, are taken only while the account has room for others. Uploads to
/// servers that do not read would otherwise leave none for the rest.
inline constexpr std::size_t smallRequestBytes = 64UL * 1024;

MemoryPressure memoryPressure(const MemoryUse& use);

/// Whether a request may hold \a requestBytes, which \a use includes.
bool hasRoomForRequest(const MemoryUse& use, std::uint64_t requestBytes);

/// How much of a message that holds \a heldBytes may be read at once; zero when reading has to wait.
std::size_t readAllowance(const MemoryUse& use, std::uint64_t heldBytes);

/// A caller's connection with all its messages.
struct HeldConnection {
    std::uint64_t bytes = 0;
    Duration blockedFor {}; ///< Time since the caller last took bytes of a response; zero if nothing is written.
};

/// The connection to close under this use: the largest one of those whose callers do not read, if memory is exhausted.
std::optional<std::size_t> connectionToClose(const MemoryUse& use, std::span<const HeldConnection> connections);

class MemoryBudget;

/// What the messages of one caller's connection hold. Created by MemoryBudget::open().
class ConnectionMemory {
public:
    ConnectionMemory(std::shared_ptr<MemoryBudget> memoryBudget, std::function<void()> onClose);
    ConnectionMemory(const ConnectionMemory&) = delete;
    ConnectionMemory& operator=(const ConnectionMemory&) = delete;
    ~ConnectionMemory();

    std::uint64_t bytes() const { return this->heldBytes; }
    /// To be called when a write to the caller begins and whenever it makes progress.
    void recordWriteProgress(TimePoint now) { this->writingSince = now; }
    void recordWriteEnd() { this->writingSince.reset(); }

private:
    friend class MemoryBudget;
    friend class MessageMemory;

    std::shared_ptr<MemoryBudget> budget;
    std::function<void()> close;
    std::uint64_t heldBytes = 0;
    std::optional<TimePoint> writingSince; ///< Last progress of a write that is not complete.
    std::string server; ///< Of the last response.
};

/// The bytes of one message, or of one request with its response. Returns them to the account at its end.
class MessageMemory {
public:
    explicit MessageMemory(std::shared_ptr<ConnectionMemory> connectionMemory);
    MessageMemory(const MessageMemory&) = delete;
    MessageMemory& operator=(const MessageMemory&) = delete;
    ~MessageMemory();

    /// Sets the size of the request. Returns false, and changes nothing, when there is no room for it.
    bool reserveRequest(std::uint64_t bytes);
    /// Sets the size of the bytes that were received of a request, parsed or not.
    void holdRequest(std::uint64_t bytes);
    /// Sets the size of the bytes that were received of a response, parsed or not.
    void holdResponse(std::uint64_t bytes, const std::string& server);
    /// Sets the size of the response of an earlier attempt, which is kept while the request is tried again.
    void holdEarlierResponse(std::uint64_t bytes);

    /// How much of the response may be read at once; zero when reading has to wait.
    std::size_t readAllowance() const;
    MemoryBudget& budget() const;

private:
    void adjust(std::uint64_t& part, std::uint64_t bytes);

    std::shared_ptr<ConnectionMemory> connection;
    std::uint64_t requestBytes = 0;
    std::uint64_t responseBytes = 0;
    std::uint64_t earlierResponseBytes = 0;
};

/// Not thread-safe.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
public:
    explicit MemoryBudget(std::uint64_t limitBytes) { this->memoryUse.limitBytes = limitBytes; }

    /// \a onClose is called when the connection has to be closed to free memory.
    std::shared_ptr<ConnectionMemory> open(std::function<void()> onClose);

    const MemoryUse& use() const { return this->memoryUse; }
    std::uint64_t peakBytes() const { return this->peak; }
    std::uint64_t closedConnections() const { return this->closed; }
    MemoryPressure pressure() const { return memoryPressure(this->memoryUse); }

    /// Waits for memory, for a short time at most. Those with the earliest \a since go on first.
    Awaitable<void> waitForRoom(asio::any_io_executor executor, TimePoint since);
    /// Counts a request that was rejected because memory is exhausted.
    void recordRejection() { ++this->rejected; }
    /// Closes connections while memory is exhausted. To be called several times a second.
    void relieve(TimePoint now);

private:
    friend class ConnectionMemory;
    friend class MessageMemory;

    void add(ConnectionMemory& connection, std::uint64_t bytes);
    void remove(ConnectionMemory& connection, std::uint64_t bytes);
    void wakeWaiting();
    void logPressure(TimePoint now);

    MemoryUse memoryUse;
    std::uint64_t peak = 0;
    std::uint64_t rejected = 0;
    std::uint64_t closed = 0;
    std::set<ConnectionMemory*> connections;
    std::multimap<TimePoint, std::shared_ptr<asio::steady_timer>> waiting; ///< By the begin of the wait.
    std::optional<TimePoint> pressureSince; ///< Set from the log line at the start of the pressure to that at its end.
    std::uint64_t rejectedBefore = 0; ///< At the start of the pressure.
    std::uint64_t closedBefore = 0;
};

} // namespace clementinefall::forwarding
