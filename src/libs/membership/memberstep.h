#pragma once

#include "base/result.h"
#include "membership/membertable.h"

#include <vector>

namespace clementinefall::membership {

struct Outgoing {
    HostPort to;
    Message message;
};

/// A change of one member, for the owner of the table.
struct MemberChange {
    MemberRecord record;
    bool isNew = false; ///< The member was not known before, or is another incarnation at a known address.
};

/// What a step function wants done.
struct Step {
    std::vector<Outgoing> sends;
    std::vector<MemberChange> changes;
    bool resumed = false; ///< The process was paused for longer than Timing::pauseLimit.
    bool superseded = false; ///< Another process has taken over the address; this one must stop.
    std::vector<Error> errors; ///< Refused messages: PeerBadMessage.
};

/// Runs what is due at \a now. Call it every 50 ms or so, after the messages that have arrived were handled.
void tick(MemberTable& table, TimePoint now, Random& random, Step& step);

/// Handles a message that passed decodeMessage(). Refuses copies, own messages that come back, answers that nobody
/// waits for and messages of replaced incarnations, each with PeerBadMessage.
void receive(MemberTable& table, TimePoint now, Random& random, const Message& message, Step& step);

/// Announces that the instance takes no new work. The state is final for this incarnation.
void leave(MemberTable& table, TimePoint now, Random& random, Step& step);

} // namespace clementinefall::membership
