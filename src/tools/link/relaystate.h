#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "base/settings.h"

#include <array>
#include <cstdint>
#include <string>

namespace clementinefall::link {

/// Forward: from the client or sender to the target. Backward: from the target to the client or sender.
enum class Direction : std::uint8_t { Forward, Backward };

enum class Protocol : std::uint8_t { Tcp, Udp, Both };

/// Impairments that the relay injects in one direction.
struct PathQuality {
    milliseconds delay { 0 };
    milliseconds jitter { 0 }; ///< Maximum extra delay of a piece, uniformly distributed from 0.
    double lossPercent = 0; ///< Share of lost stream pieces or datagrams, 0 to 100.
};

/// Totals of one direction. A piece is a chunk of a TCP stream or a UDP datagram.
struct PathCounters {
    std::uint64_t bytes = 0; ///< Delivered bytes.
    std::uint64_t pieces = 0; ///< Delivered pieces.
    std::uint64_t lost = 0; ///< Stream pieces delayed as if retransmitted, or dropped datagrams.
    std::uint64_t silencedBytes = 0; ///< Bytes accepted and discarded by silence, for datagrams also by a cut.
    std::uint64_t overflow = 0; ///< Datagrams dropped for lack of a session or because too many were in flight.
};

/// Impairments, counters and silence of one direction.
struct Path {
    PathQuality quality;
    PathCounters counters;
    bool silent = false; ///< Discards the bytes of existing and new connections and senders.
};

/// Settings and current state of a relay. Not synchronized: used on one thread.
struct RelayState {
    std::string name;
    HostPort listen;
    HostPort target;
    Protocol protocol = Protocol::Both;
    std::array<Path, 2> paths; ///< Indexed by Direction.
    bool cut = false; ///< TCP connections are refused and datagrams dropped.
    std::uint64_t connections = 0; ///< TCP connections accepted since the start.
    std::uint64_t resets = 0; ///< TCP connections reset since the start.
    Random random;

    Path& path(Direction direction) { return this->paths[static_cast<std::size_t>(direction)]; }
};

/// Extra delay of a lost piece of a stream: the minimum retransmission timeout of common TCP implementations.
inline constexpr milliseconds retransmissionTimeout { 200 };

/// Draws at random whether a piece is lost.
bool sampleLoss(const PathQuality& quality, Random& random);

/// Draws the delay of a piece, including jitter.
Duration sampleDelay(const PathQuality& quality, Random& random);

/// Delivery time of a piece of a stream that is received at \a now. Counts a loss as a retransmission in \a path. Never
/// earlier than \a previous, the delivery time of the preceding piece, so that pieces stay in order.
TimePoint streamDeliveryTime(Path& path, Random& random, TimePoint now, TimePoint previous);

} // namespace clementinefall::link
