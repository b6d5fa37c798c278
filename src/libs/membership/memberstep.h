#pragma once

#include "base/result.h"
#include "membership/membertable.h"

#include <vector>

namespace clementinefall::membership {

struct OutgoingMessage {
    HostPort to;
    Message message;
};

/// A change of one member, reported to the owner of the table.
struct MemberChange {
    MemberRecord record;
    bool isNew = false; ///< Set for an added member and for a new incarnation at a known address.
};

/// Messages to send and events to report after a call of tick(), receive() or leave().
struct StepResult {
    std::vector<OutgoingMessage> sends;
    std::vector<MemberChange> changes;
    bool resumed = false; ///< The process was paused for longer than Timing::pauseLimit.
    bool superseded = false; ///< Another incarnation uses the address; this process must stop.
    std::vector<Error> errors; ///< PeerBadMessage for each rejected message.
};

/// Runs the timers that are due at \a now. To be called about every 50 ms, after all received messages were handled.
void tick(MemberTable& table, TimePoint now, Random& random, StepResult& result);

/// Handles a message that passed decodeMessage(). Rejects duplicates, messages with the local address as sender, acks
/// without an outstanding probe and messages of replaced incarnations, each with PeerBadMessage.
void receive(MemberTable& table, TimePoint now, Random& random, const Message& message, StepResult& result);

/// Sets the local instance to Leaving and announces that it takes no new work. Final for this incarnation.
void leave(MemberTable& table, TimePoint now, Random& random, StepResult& result);

} // namespace clementinefall::membership
