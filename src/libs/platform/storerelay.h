#pragma once

#include "http/exchange.h"
#include "platform/changelog.h"
#include "platform/currency.h"
#include "platform/transport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Relay of the store's changes within an availability zone. One instance of each zone, the watcher, watches the store
/// for all; the others, the followers, ask it. The calls to the store then grow with the number of zones and not with
/// the number of instances. A follower whose watcher is dead, slow or cut off from the store asks the store itself,
/// soon enough to meet the bound for drained backend servers. An instance that the store turns away, while it serves
/// others, asks those in any zone.
namespace clementinefall::platform {

/// What an instance does to follow the store.
enum class RelayRole : std::uint8_t {
    Unknown, ///< The instances of the zone are not known yet.
    Alone, ///< Watches the store and has no followers.
    Watcher, ///< Watches the store for its followers too.
    Follower, ///< Asks the watcher, the first instance in the order of the zone, or the second one if that fails.
};

struct RelayAssignment {
    RelayRole role = RelayRole::Unknown;
    std::vector<std::string> watcherNames; ///< Instances that a follower asks, in the order of preference.
    std::vector<HostPort> watchers; ///< Their addresses.
};

/// A zone of up to this many instances has no relay: the shorter calls of a watcher would cost more than they save.
inline constexpr std::size_t maximumInstancesWithoutRelay = 2;

/// The part of the instance \a self in its zone, whose instances are ordered by rendezvous hashing. Instances that know
/// the same members make the same choice. The second instance is a follower that the others can ask: once the watcher
/// fails, it asks the store itself. \a instances includes \a self. Leaves `watchers` empty.
RelayAssignment assignRelay(std::string_view zone, const std::string& self, std::vector<std::string> instances);

/// What an instance has learned of the fleet since its start.
struct ZoneKnowledge {
    TimePoint startedAt {};
    TimePoint fleetKnownAt {}; ///< When the first other instance of any zone was known; unset before.
    std::size_t othersInZone = 0;
};

/// Whether an instance knows the instances of its zone well enough to choose its part. After a restart it knows the
/// fleet at once. At the first start of the fleet, the others register only a little later.
bool isZoneKnown(const ZoneKnowledge& knowledge, TimePoint now);

/// Times of the relay, derived from the bound within which an instance must know of a change. They add up to less than
/// the bound also when a watcher loses the store just before the change: `freshness`, the pause of the follower between
/// two calls, and one call to the store.
struct RelayTiming {
    Duration watcherWait {}; ///< Long-poll time of a watcher's calls to the store for the leading kind.
    Duration followerWait {}; ///< Long-poll time of a follower's calls to a watcher.
    Duration responseAllowance {}; ///< Of a watcher, beyond `followerWait`.
    Duration freshness {}; ///< Age of a watcher's knowledge from which it is no longer used.
    /// Time for which a follower asks on before it takes the loss of the store by itself and its watchers for an
    /// outage.
    Duration outageTolerance {};
    Duration startDelay = milliseconds(3500); ///< Time to learn the instances of the zone after the start.
    Duration watcherBackoff = seconds(2); ///< After a failed call to a watcher.
    /// Between two calls of a follower to a store that its watcher cannot reach either.
    /// Also while other instances know the changes.
    Duration outageRetryDelay = milliseconds(1500);
};

RelayTiming relayTiming(Duration changeBound);

/// The changes that this instance knows, served to its followers.
class StoreRelay : public std::enable_shared_from_this<StoreRelay> {
public:
    /// \a leadingKind is the kind that is watched with short calls, whose answers prove the other kinds, too, while the
    /// store does not change. \a storeCurrency tells how old the knowledge of each kind is.
    StoreRelay(asio::any_io_executor relayExecutor, std::string leadingKind, RelayTiming relayTiming,
        std::shared_ptr<const StoreCurrency> storeCurrency);

    void restart(const std::string& kind, StorePosition position, bool afterOutage);
    void append(const std::string& kind, const ChangeSet& changes);
    /// Whether the last call for \a kind succeeded.
    void setInSync(const std::string& kind, bool isInSync);
    /// Lets waiting calls look at the currency again. To be called after proofs were discarded.
    void wake();
    bool isLeading(std::string_view kind) const { return kind == this->leadingKind; }

    /// Handles `GET /changes/KIND?after=REVISION&era=N&wait_ms=N`. Status 200 with the changes, the age of the
    /// knowledge of the kind and the time that the call has waited, or with no changes and the newer era after a
    /// restore of the store; 400 for a malformed call, 410 when the changes are no longer known, 503 when this instance
    /// is not in sync with the store.
    Awaitable<void> handle(std::shared_ptr<http::Exchange> exchange);

private:
    struct Kind {
        ChangeLog log;
        bool isInSync = false;
    };
    struct Call {
        std::string name; ///< Of the kind.
        const Kind* kind = nullptr; ///< In `kinds`, from which nothing is removed.
        StorePosition after; ///< What the follower knows.
        Duration wait {};
    };
    /// Nothing for a malformed call or an unknown kind.
    std::optional<Call> parseCall(std::string_view text) const;
    http::Response response(const Call& call, Duration waited) const;
    bool isFresh(const Call& call) const;
    Duration age(const Call& call) const { return ageOf(*this->currency, call.name, Clock::now()); }

    asio::any_io_executor executor;
    std::string leadingKind;
    RelayTiming timing;
    std::map<std::string, Kind, std::less<>> kinds;
    std::shared_ptr<const StoreCurrency> currency;
    std::vector<std::weak_ptr<asio::steady_timer>> waiting;
};

/// Source of changes that asks the watchers of the zone, or the store when there is none that knows its state.
class RelayedSource : public ObjectSource, public std::enable_shared_from_this<RelayedSource> {
public:
    RelayedSource(asio::any_io_executor sourceExecutor, std::shared_ptr<ObjectSource> objectStore,
        std::shared_ptr<StoreRelay> storeRelay, RelayTiming relayTiming);

    /// What this instance is to do; asked before each call.
    std::function<RelayAssignment()> assignment;
    /// Whether the other instances of zones without a watcher rely on the proofs of this one.
    std::function<bool()> provesForOthers;
    /// Addresses of instances of all zones that know the state of the store, in the order of preference. They are asked
    /// when neither the store nor a watcher of the zone responds.
    std::function<std::vector<HostPort>()> otherInstances;
    /// Called after each call to a watcher with whether its response was used.
    std::function<void(bool)> onWatcherCall;

    Awaitable<Result<ObjectSet>> list(std::string kind, Freshness freshness) override;
    Awaitable<Result<ChangeSet>> changes(
        std::string kind, StorePosition position, milliseconds wait, Freshness freshness) override;
    Awaitable<Result<ChangeSet>> changesNow(std::string kind, StorePosition position, milliseconds timeout) override;
    Awaitable<Result<ChangeSet>> changesKnownElsewhere(std::string kind, StorePosition position) override;

    /// Ends the calls to watchers in progress, see Transport::dropConnections().
    void dropConnections();

private:
    struct Watcher {
        std::shared_ptr<Transport> transport;
        TimePoint backoffUntil {};
    };
    struct RelayedChanges {
        ChangeSet changes;
        Duration age {};
    };
    /// Errors: as askWatchers().
    Awaitable<Result<RelayedChanges>> askWatcher(
        std::shared_ptr<Transport> transport, std::string kind, StorePosition position);
    /// Asks the watchers in turn. Errors: PlatformHistoryLost; PlatformBadAnswer when they have lost the store; those
    /// of Transport::call() when one does not respond.
    Awaitable<Result<ChangeSet>> askWatchers(std::vector<HostPort> addresses, std::string kind, StorePosition position);
    Awaitable<Result<ChangeSet>> askStore(
        std::string kind, StorePosition position, milliseconds wait, Freshness freshness);
    /// Asks the store, and other instances when it does not respond or has failed a short time ago.
    Awaitable<Result<ChangeSet>> askStoreOrOthers(
        std::string kind, StorePosition position, milliseconds wait, Freshness freshness);
    bool hasStoreJustFailed() const { return Clock::now() - this->storeFailedAt < this->timing.outageRetryDelay; }
    using Watchers = std::map<std::string, Watcher>; ///< By address.
    static void keepOnly(Watchers& known, const std::vector<HostPort>& addresses);
    Watcher& watcherAt(Watchers& known, const HostPort& address);

    asio::any_io_executor executor;
    std::shared_ptr<ObjectSource> store;
    std::shared_ptr<StoreRelay> relay;
    RelayTiming timing;
    Watchers watchers; ///< Of the zone, those of the last call.
    Watchers others; ///< Instances of all zones, those of the last call.
    TimePoint startedAt {};
    TimePoint storeFailedAt {};
};

} // namespace clementinefall::platform
