#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "base/settings.h"

#include <array>
#include <cstdint>
#include <string>

namespace clementinefall::link {

/// Forward: from the side that connects to the target. Backward: from the target.
enum class Direction : std::uint8_t { Forward, Backward };

enum class Protocol : std::uint8_t { Tcp, Udp, Both };

/// Quality of one direction.
struct PathQuality {
    milliseconds delay { 0 };
    milliseconds jitter { 0 }; ///< Each piece waits a random part of it in addition.
    double lossPercent = 0; ///< Of the pieces of a stream, or of the datagrams.
};

struct PathCounters {
    std::uint64_t bytes = 0; ///< Delivered.
    std::uint64_t pieces = 0; ///< Delivered.
    std::uint64_t lost = 0; ///< Retransmitted pieces of a stream, or dropped datagrams.
    std::uint64_t silencedBytes = 0; ///< Accepted and not delivered.
    std::uint64_t overflow = 0; ///< Datagrams dropped because too many were under way.
};

struct Path {
    PathQuality quality;
    PathCounters counters;
    bool silent = false; ///< Nothing is delivered, on connections that are open and on new ones.
};

/// A relay as its settings describe it, with its current state. Used on one thread.
struct RelayState {
    std::string name;
    HostPort listen;
    HostPort target;
    Protocol protocol = Protocol::Both;
    std::array<Path, 2> paths;
    bool cut = false; ///< Connects are refused and datagrams dropped.
    std::uint64_t connections = 0;
    std::uint64_t resets = 0;
    Random random;

    Path& path(Direction direction) { return this->paths[static_cast<std::size_t>(direction)]; }
};

/// Extra delay of a lost piece of a stream: the smallest retransmission timeout of common TCP implementations.
inline constexpr milliseconds retransmissionTimeout { 200 };

/// Whether a piece is lost.
bool drawLoss(const PathQuality& quality, Random& random);

/// Delay and jitter of a piece.
Duration drawDelay(const PathQuality& quality, Random& random);

/// Delivery time of a piece of a stream. Never before \a previous, so that pieces stay in order.
TimePoint streamDueTime(Path& path, Random& random, TimePoint now, TimePoint previous);

} // namespace clementinefall::link
