#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "base/result.h"
#include "http/awaitable.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementinefall::platform {

/// One object of the store. Its name and revision are decoded; its content is left as the store's JSON.
struct StoredObject {
    std::string name;
    std::uint64_t revision = 0; ///< Store revision of the last change of this object.
    boost::json::value content;
};

/// A point in the history of the store. A store that is restored from a copy starts a new era: it gives out revisions
/// again, so those of different eras cannot be compared.
struct StorePosition {
    std::uint64_t era = 0; ///< Always 0 for a store that names none.
    std::uint64_t revision = 0;

    friend bool operator==(const StorePosition&, const StorePosition&) = default;
};

/// What proved the knowledge of a kind last.
enum class ProofSource : std::uint8_t {
    None,
    Store, ///< An answer of the store for the kind.
    StoreRevision, ///< An answer for another kind: the store has no change that is not known here.
    Watcher, ///< The zone's watcher.
    Instance, ///< A report of another instance.
};

struct ObjectSet {
    std::uint64_t era = 0; ///< See StorePosition.
    std::uint64_t revision = 0; ///< Store revision up to which the set is complete: that of its oldest part.
    std::vector<StoredObject> objects;
    TimePoint asOf {}; ///< The set was complete at this time; unset when it may be outdated.
    std::uint64_t newestRevision = 0; ///< Of the parts. Above `revision`, the set mixes states of different ages.
    bool isPartial = false; ///< The list got no further: objects that are not in the set may exist.
};

struct ObjectChange {
    StoredObject object;
    bool isRemoved = false;
};

struct ChangeSet {
    std::uint64_t era = 0; ///< When it is not the requested one, the store was restored and there are no changes.
    std::uint64_t revision = 0; ///< Store revision up to which the changes are complete.
    std::vector<ObjectChange> changes;
    TimePoint asOf {}; ///< The changes were complete at this time; unset when they may be outdated.
    ProofSource source = ProofSource::None; ///< Of `asOf`. With ProofSource::Store, `revision` is that of the store.
};

/// Applies changes to a set that they continue, in their order.
void applyChanges(ObjectSet& set, const ChangeSet& changes);

/// Whether a read may return an outdated state. Stale reads are cheaper for the store.
enum class Freshness : std::uint8_t { Latest, AllowStale };

/// A store whose objects can be listed and watched by kind.
class ObjectSource {
public:
    virtual ~ObjectSource() = default;

    /// All objects of a kind, or as many as can be had, see ObjectSet::isPartial. Errors: those of Transport::call().
    virtual Awaitable<Result<ObjectSet>> list(std::string kind, Freshness freshness) = 0;

    /// Changes after \a position. Waits up to \a wait for the first one and returns an empty set when there is none.
    /// Errors: as above, and PlatformHistoryLost when the store has discarded the changes after \a position.
    virtual Awaitable<Result<ChangeSet>> changes(
        std::string kind, StorePosition position, milliseconds wait, Freshness freshness)
        = 0;

    /// Changes after \a position, which the store itself returns at once. Uses a new connection, since those in use may
    /// have become silent. Errors: as above.
    virtual Awaitable<Result<ChangeSet>> changesNow(std::string kind, StorePosition position, milliseconds timeout) = 0;

    /// Changes after \a position as others know them that reach the store, when this instance does not. Errors: as
    /// above.
    virtual Awaitable<Result<ChangeSet>> changesKnownElsewhere(std::string kind, StorePosition position);
};

/// What happened since the previous list.
struct ListCircumstances {
    bool isAfterOutage = false; ///< The store was unreachable. Entries may have lapsed meanwhile.
    /// The store was restored from a copy. What was acknowledged last may be missing until it is written again, and
    /// what was removed last may be back. Counts as an outage, too.
    bool isAfterRestore = false;
    bool isPartial = false; ///< See ObjectSet::isPartial.
};

struct WatchOptions {
    milliseconds wait { 4000 }; ///< Long-poll time of a call. Bounds the delay that a silent connection causes.
    /// Beyond `wait`. A response later than half of it means that the store was unreachable.
    milliseconds responseAllowance { 700 };
    milliseconds minimumInterval { 400 }; ///< Between two calls, so that many changes share few calls.
    Freshness freshness = Freshness::Latest; ///< Of watch calls, and of all lists but the first.
    milliseconds maximumBackoff { 600 }; ///< Between two attempts while the store is unreachable.
    milliseconds partialListInterval { 5000 }; ///< From a partial list to the next attempt.
};

/// Follows the objects of one kind: lists them, watches for changes, and lists them again after the store was
/// unreachable, was restored from a copy or has discarded the changes needed.
class KindWatcher : public std::enable_shared_from_this<KindWatcher> {
public:
    KindWatcher(asio::any_io_executor watcherExecutor, std::shared_ptr<ObjectSource> objectSource,
        std::string objectKind, WatchOptions watchOptions);

    /// Called with the complete set.
    std::function<void(const ObjectSet&, const ListCircumstances&)> onList;
    std::function<void(const ChangeSet&)> onChanges;
    /// Called with each answer to a watch, after its changes were applied, and the revision after which it was asked.
    std::function<void(const ChangeSet&, std::uint64_t knownBefore)> onAnswer;
    /// Called once, when the objects are known to be current: after the changes since the first list, which may be
    /// stale, were read. Until then, an object that was removed before this process started may still be in the set.
    std::function<void()> onCaughtUp;
    /// Called when a call shows that the store was restored, before the objects are listed again.
    std::function<void()> onRestored;
    /// Called after each call to the store with whether it succeeded; not called after PlatformHistoryLost.
    std::function<void(bool)> onCall;

    void start();
    void stop();

    /// Asks the store itself for changes, beside the watch under way, whose answer may have been lost. When there are
    /// some, they are applied and the watch begins anew. Returns whether the store has responded; true,
    /// without a call, when isVerifiable() is false.
    Awaitable<bool> verify(milliseconds timeout);
    /// Whether the objects were listed and need not be listed again.
    bool isVerifiable() const { return this->hasListed && !this->needsList && !this->isStopped; }

    /// Whether the set was listed and no call has failed since.
    bool isInSync() const { return this->hasListed && this->failures == 0; }
    TimePoint lastSuccess() const { return this->lastSuccessAt; }

private:
    /// A watch call under way. One that is abandoned ends by itself, and its answer is not used.
    struct PendingCall {
        explicit PendingCall(const asio::any_io_executor& executor)
            : done(executor, TimePoint::max())
        {
        }
        /// Ends the wait for the call, also one that has not begun yet.
        void end() { this->done.expires_at(TimePoint::min()); }

        asio::steady_timer done; ///< Expires when the call has ended or is abandoned.
        std::optional<Result<ChangeSet>> result;
    };

    Awaitable<void> run();
    Awaitable<bool> listOnce();
    /// Replays the changes since the oldest part of a set whose parts were read at different revisions, until it is one
    /// state. Error: the set cannot be completed; the objects must be listed again from the store's current state.
    Awaitable<Status> completeList(ObjectSet& set);
    Awaitable<bool> watchOnce();
    /// Goes on from the last position with what others know, in place of a list that the store does not give. Returns
    /// false when nobody knows the changes.
    Awaitable<bool> resumeOnce();
    static Awaitable<void> callSource(std::shared_ptr<ObjectSource> source, std::shared_ptr<PendingCall> call,
        std::string kind, StorePosition position, milliseconds wait, Freshness freshness);
    void abandonCall();
    void applyChanges(const ChangeSet& changes);
    void recordFailure(const Error& error);
    void recordSuccess();
    void recordCaughtUp();
    /// Returns whether the store was restored since the last list; then the objects must be listed again.
    bool detectRestore(std::uint64_t era);

    asio::any_io_executor executor;
    std::shared_ptr<ObjectSource> source;
    std::string kind;
    WatchOptions options;
    asio::steady_timer delayTimer;
    Random random;
    StorePosition position;
    std::shared_ptr<PendingCall> pending;
    unsigned failures = 0;
    bool needsList = true;
    bool isResumable = false; ///< A list is needed only because the store could not be reached since `position`.
    bool hasListed = false;
    bool hasCaughtUp = false;
    bool mustListLatest = false; ///< A stale list could not be completed.
    std::optional<TimePoint> relistAt; ///< Set while the last list is partial.
    bool mustWatchAtOnce = false; ///< The list may be stale; changes since its revision are read without a delay.
    ListCircumstances sinceLastList;
    bool isStopped = false;
    TimePoint lastSuccessAt {};
};

} // namespace clementinefall::platform
