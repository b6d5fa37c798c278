#pragma once

#include "platform/currency.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

/// When an instance verifies what it knows of a kind of objects with a call of its own to the store. The calls that
/// wait for changes may stay without an answer; their connection may be silent while others work.
namespace clementinefall::platform {

/// Times derived from the bound within which an instance must know of a change. With one lost answer and the first
/// verification lost, too, they add up to less than the bound.
struct VerificationTiming {
    Duration age {}; ///< Of the knowledge, from which it is verified.
    /// The same when the store has moved on by changes of unknown kinds and other instances rely on this one.
    Duration relayedAge {};
    Duration behindDelay {}; ///< After the report of a change that is not known here; its answer may be on the way.
    Duration timeout {}; ///< Of the first call; each further one may take twice as long.
    Duration maximumTimeout {};
};

/// \a share is between 0 and 1 and differs between the instances, so that the first one verifies for all that hear from
/// it. \a hasWatcher tells that this instance asks another one of its zone.
VerificationTiming verificationTiming(Duration changeBound, double share, bool hasWatcher);

/// What was tried for one kind.
struct VerificationState {
    unsigned failures = 0; ///< Since the last success.
    TimePoint notBefore {}; ///< Of the next call.
    TimePoint behindSince {}; ///< Another instance reports a change that is not known here; unset if none does.
};

/// When the kind is to be verified next. Nothing before its first proof: its lists and watches are under way then.
std::optional<TimePoint> verificationDue(const KindCurrency& kind, const VerificationState& state,
    const VerificationTiming& timing, StorePosition newestRevision, bool isRelayed);

/// Time allowed for the next call.
Duration verificationTimeout(const VerificationState& state, const VerificationTiming& timing);

void recordVerification(VerificationState& state, const VerificationTiming& timing, bool succeeded, TimePoint now);

} // namespace clementinefall::platform
