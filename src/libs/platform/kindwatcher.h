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
#include <string>
#include <vector>

namespace clementinefall::platform {

/// One object of a store, with its content decoded as far as the store's own form goes.
struct StoredObject {
    std::string name;
    std::uint64_t revision = 0; ///< Of the object's last change.
    boost::json::value content;
};

struct ObjectSet {
    std::uint64_t revision = 0; ///< Of the store when the set was read.
    std::vector<StoredObject> objects;
};

struct ObjectChange {
    StoredObject object;
    bool isRemoved = false;
};

struct ChangeSet {
    std::uint64_t revision = 0;
    std::vector<ObjectChange> changes;
};

/// What a read must return. A read that may be old costs the store little.
enum class Freshness : std::uint8_t { Latest, AllowStale };

/// A store whose objects can be listed and watched by kind.
class ObjectSource {
public:
    virtual ~ObjectSource() = default;

    /// All objects of a kind. Errors: those of Transport::call().
    virtual Awaitable<Result<ObjectSet>> list(std::string kind, Freshness freshness) = 0;

    /// Changes after \a revision; waits up to \a wait for the first one and may then return none. Errors: as above;
    /// PlatformHistoryLost when the store no longer knows what changed.
    virtual Awaitable<Result<ChangeSet>> changes(
        std::string kind, std::uint64_t revision, milliseconds wait, Freshness freshness)
        = 0;
};

struct WatchOptions {
    milliseconds wait { 4000 }; ///< Length of one waiting call; a connection that went silent costs no more than this.
    milliseconds responseAllowance { 700 }; ///< Beyond the wait; a later answer means that the store was away.
    milliseconds minimumInterval { 400 }; ///< Least time between two calls, so that many changes cost few calls.
    Freshness freshness = Freshness::Latest; ///< Of the changes, and of all lists but the first.
    milliseconds maximumBackoff { 600 }; ///< Between two tries while the store is away.
};

/// Keeps up with one kind of objects: lists them, watches for changes, and lists again after the store was away or has
/// lost its history.
class KindWatcher : public std::enable_shared_from_this<KindWatcher> {
public:
    KindWatcher(asio::any_io_executor watcherExecutor, std::shared_ptr<ObjectSource> objectSource,
        std::string objectKind, WatchOptions watchOptions);

    /// Called with the whole set; \a afterOutage is true when the store was away since the last call.
    std::function<void(const ObjectSet&, bool afterOutage)> onList;
    std::function<void(const ChangeSet&)> onChanges;
    /// Called after each call with whether it succeeded.
    std::function<void(bool)> onCall;

    void start();
    void stop();

    /// Whether the last call succeeded.
    bool didLastCallSucceed() const { return this->hasListed && this->failures == 0; }
    TimePoint lastSuccess() const { return this->lastSuccessAt; }

private:
    Awaitable<void> run();
    Awaitable<bool> listOnce();
    Awaitable<bool> watchOnce();
    void recordFailure(const Error& error);
    void recordSuccess();

    asio::any_io_executor executor;
    std::shared_ptr<ObjectSource> source;
    std::string kind;
    WatchOptions options;
    asio::steady_timer delayTimer;
    Random random;
    std::uint64_t revision = 0;
    unsigned failures = 0;
    bool needsList = true;
    bool hasListed = false;
    bool mustWatchAtOnce = false; ///< The list may have been old; the changes since then are read without a pause.
    bool hadOutage = false;
    bool stopped = false;
    TimePoint lastSuccessAt {};
};

} // namespace clementinefall::platform
