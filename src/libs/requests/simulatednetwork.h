#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "base/resultcode.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// In-memory stand-ins for processes and connections, driven by a seeded scheduler. For the schedule exploration only.
namespace clementinefall::requests::simulation {

using Action = std::function<void()>;

/// Events in order of time; events of the same time run in the order of their creation.
class Scheduler {
public:
    void at(TimePoint time, Action action);
    void after(Duration delay, Action action) { this->at(this->time + delay, std::move(action)); }

    /// Runs events until none is left.
    void run();

    TimePoint now() const { return this->time; }

private:
    struct Event {
        TimePoint time;
        std::uint64_t number = 0;
        Action action;
    };
    struct Later {
        bool operator()(const Event& left, const Event& right) const
        {
            return left.time != right.time ? left.time > right.time : left.number > right.number;
        }
    };
    TimePoint time = TimePoint {} + std::chrono::hours(1);
    std::uint64_t created = 0;
    std::priority_queue<Event, std::vector<Event>, Later> events;
};

struct Message {
    std::string tag; ///< Name of the request in the history; echoed by answers.
    std::string identity;
    std::string key;
    std::int64_t label = 0;
    std::string content;
    milliseconds left { 2000 }; ///< `Clementine-Deadline-Ms`
    bool isIdempotent = false;
    bool crashesServer = false;
    bool isForwarded = false; ///< `Clementine-Hop: home`
    bool isExecute = false; ///< `Clementine-Hop: execute`
};

struct Reply {
    ResultCode code = ResultCode::UnknownNotDecided;
    std::string tag;
    std::string body;
};

using ReplyFunction = std::function<void(const Reply&)>;

enum class ExchangeEnd : std::uint8_t {
    Replied,
    ConnectRefused,
    NothingWritten,
    LostAfterWrite,
    TimedOut,
    ResponseTruncated
};

using EndFunction = std::function<void(ExchangeEnd, const Reply&)>;

/// Chances of faults for each message, 0 to 1.
struct NetworkFaults {
    double lateRequest = 0.0; ///< Arrives up to 6 s late.
    double lostReply = 0.0;
    double cutReply = 0.0;
    double foreignReply = 0.0; ///< The reply to an earlier request between the same processes arrives instead.
    double duplicate = 0.0; ///< Only where allowed for the exchange.
};

/// Processes that can die, be replaced at the same address and be paused, and exchanges between them. An exchange is
/// one request on one TCP connection: the network may lose, delay or cut it, but TCP never delivers it twice; a
/// duplicate comes from a sender that sends again.
class Network {
public:
    Network(Scheduler& networkScheduler, Random& networkRandom)
        : scheduler(networkScheduler)
        , random(networkRandom)
    {
    }

    std::size_t addNode(std::function<void(const Message&, const ReplyFunction&)> handler);
    void setHandler(std::size_t node, std::function<void(const Message&, const ReplyFunction&)> handler);

    /// Ends the process. Connections to it are reset where the link still carries the reset.
    void kill(std::size_t node);

    /// Starts a new process at the address of a dead one.
    void replace(std::size_t node);
    void pause(std::size_t node, Duration duration);

    bool isAlive(std::size_t node) const { return this->nodes[node].isAlive; }
    unsigned lifeOf(std::size_t node) const { return this->nodes[node].life; }

    /// Messages of one direction are dropped, or carried again.
    void setBlocked(std::size_t from, std::size_t to, bool isBlocked);

    /// Runs \a action in the process \a node after \a delay unless it has died by then; a paused process runs it when
    /// it resumes.
    void runIn(std::size_t node, Duration delay, Action action);

    void exchange(std::size_t from, std::size_t to, const Message& message, Duration timeout, bool mayDuplicate,
        EndFunction onEnd);

    /// One-way message without answer, for gossip.
    void post(std::size_t from, std::size_t to, Action action);

    NetworkFaults faults;

private:
    struct Exchange {
        std::size_t from = 0;
        std::size_t to = 0;
        unsigned senderLife = 0;
        bool isDone = false;
        EndFunction onEnd;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;
    struct Node {
        bool isAlive = true;
        unsigned life = 1;
        TimePoint pausedUntil;
        std::function<void(const Message&, const ReplyFunction&)> handler;
        std::vector<ExchangePtr> inbound;
    };

    bool chance(double probability) { return randomUnit(this->random) < probability; }
    Duration latency() { return microseconds(500 + randomBelow(this->random, 6000)); }
    bool isBlocked(std::size_t from, std::size_t to) const { return this->blocked.contains({ from, to }); }
    void runInLife(std::size_t node, unsigned life, TimePoint time, Action action);
    void finish(const ExchangePtr& exchange, ExchangeEnd end, const Reply& reply);
    void deliver(const ExchangePtr& exchange, const Message& message, unsigned receiverLife);
    void carryReply(const ExchangePtr& exchange, unsigned receiverLife, const Reply& reply);

    Scheduler& scheduler;
    Random& random;
    std::vector<Node> nodes;
    std::set<std::pair<std::size_t, std::size_t>> blocked;
    std::map<std::pair<std::size_t, std::size_t>, unsigned> pooledLife; ///< Life that a pooled connection leads to.
    std::map<std::pair<std::size_t, std::size_t>, Reply> lastReply; ///< On the connections of two processes.
};

} // namespace clementinefall::requests::simulation
