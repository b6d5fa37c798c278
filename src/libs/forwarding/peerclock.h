#pragma once

#include "base/clock.h"

#include <optional>

/// Relation between the steady clocks of two entry instances, learned from heartbeats. A time of the other instance is
/// never taken for a later one than it was, however long a heartbeat was on its way or waited for a paused process.
namespace clementinefall::forwarding {

/// A stamp of the receiver that its sender got, and the sender's clock at that moment.
struct ClockEcho {
    Duration stamp {};
    Duration receivedAt {};
};

/// What this instance knows of the clock of one incarnation of another instance.
struct PeerClock {
    std::optional<Duration> offset; ///< Something that happened at time t there happened here at t + offset or later.
    std::optional<ClockEcho> echo; ///< The newest stamp from there, to be sent back.
};

/// The local clock as it is sent in a stamp.
Duration clockStamp(TimePoint now);

/// Records the stamp of a heartbeat that has arrived at \a now.
void recordStamp(PeerClock& clock, Duration stamp, TimePoint now);

/// Records an echo of an own stamp. One that is from the future or older than the liveness of an instance is ignored.
void recordEcho(PeerClock& clock, const ClockEcho& echo, TimePoint now);

/// The earliest local time of something that happened at \a peerTime there. Nothing without an echo, or when the result
/// is in the future, as after a suspension of this machine.
std::optional<TimePoint> localTime(const PeerClock& clock, Duration peerTime, TimePoint now);

} // namespace clementinefall::forwarding
