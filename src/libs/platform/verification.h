#pragma once

#include "platform/currency.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

/// Which instances verify first. The others hear of it and need no call of their own.
enum class VerificationRank : std::uint8_t {
    First, ///< Of the instances whose zone has no watcher. It watches with short calls and reports their proofs.
    Second,
    Other,
};

/// The rank of \a self among \a instances, ordered by hash. Instances that know the same ones agree. Other for one that
/// is not among them.
VerificationRank verificationRank(const std::string& self, const std::vector<std::string>& instances);

VerificationTiming verificationTiming(Duration changeBound, VerificationRank rank);

/// What was tried for one kind.
struct VerificationState {
    unsigned failures = 0; ///< Since the last success.
    TimePoint notBefore {}; ///< Of the next call.
    StorePosition reported; ///< Of the newest change that another instance has reported and that was not known here.
    TimePoint behindSince {}; ///< When it was reported first.
};

/// When the kind is to be verified next. Nothing before its first proof: its lists and watches are under way then.
std::optional<TimePoint> verificationDue(const KindCurrency& kind, const VerificationState& state,
    const VerificationTiming& timing, StorePosition newestRevision, bool isRelayed);

/// Time allowed for the next call.
Duration verificationTimeout(const VerificationState& state, const VerificationTiming& timing);

/// Records that another instance knows a change at \a reported that is not known here.
void recordBehind(VerificationState& state, const KindCurrency& kind, StorePosition reported, TimePoint now);

void recordVerification(VerificationState& state, const VerificationTiming& timing, bool succeeded, TimePoint now);

} // namespace clementinefall::platform
