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

/// In-memory simulation of processes and connections, driven by an event scheduler and a seeded random generator. Used
/// only by the schedule exploration.
namespace clementinefall::requests::simulation {

using Action = std::function<void()>;

/// Runs events in order of time; events scheduled for the same time run in the order of their creation.
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
    struct EventOrder {
        bool operator()(const Event& left, const Event& right) const
        {
            return left.time != right.time ? left.time > right.time : left.number > right.number;
        }
    };
    TimePoint time = TimePoint {} + std::chrono::hours(1);
    std::uint64_t createdCount = 0;
    std::priority_queue<Event, std::vector<Event>, EventOrder> events;
};

struct Message {
    std::string tag; ///< Identifies the request in the history; echoed in responses.
    std::string identity;
    std::string key;
    std::int64_t label = 0; ///< Of the key, in ms of the caller's clock.
    std::string content;
    milliseconds left { 2000 }; ///< Time until the deadline, `Clementine-Deadline-Ms`.
    bool isIdempotent = false;
    bool crashesServer = false;
    bool isForwarded = false; ///< `Clementine-Hop: home`.
    bool isExecute = false; ///< `Clementine-Hop: execute`.
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

using CompletionHandler = std::function<void(ExchangeEnd, const Reply&)>;

/// Probability of each fault per message, 0 to 1.
struct NetworkFaults {
    double delayedRequest = 0.0; ///< The request arrives up to 6 s late.
    double lostReply = 0.0;
    double truncatedReply = 0.0;
    double staleReply = 0.0; ///< The reply to an earlier request between the same processes is delivered instead.
    double duplicate = 0.0; ///< Only in exchanges that allow duplicates.
};

/// Processes that can be killed, replaced at the same address and paused, and the exchanges between them. An exchange
/// is one request and its reply on one TCP connection. The network may lose, delay or truncate it, but TCP never
/// delivers it twice; duplicates come from senders that resend.
class Network {
public:
    Network(Scheduler& networkScheduler, Random& networkRandom)
        : scheduler(networkScheduler)
        , random(networkRandom)
    {
    }

    std::size_t addNode(std::function<void(const Message&, const ReplyFunction&)> handler);
    void setHandler(std::size_t node, std::function<void(const Message&, const ReplyFunction&)> handler);

    /// Ends the process. Its peers see a connection reset unless the link to them is blocked.
    void kill(std::size_t node);

    /// Starts a new process at the address of a killed one.
    void replace(std::size_t node);
    void pause(std::size_t node, Duration duration);

    bool isAlive(std::size_t node) const { return this->nodes[node].isAlive; }
    unsigned generationOf(std::size_t node) const { return this->nodes[node].generation; }

    /// Drops all messages of one direction, or delivers them again.
    void setBlocked(std::size_t from, std::size_t to, bool isBlocked);

    /// Runs \a action in the current process of \a node after \a delay, unless that process was killed by then. A
    /// paused process runs it when it resumes.
    void runOnNode(std::size_t node, Duration delay, Action action);

    /// Sends \a message and calls \a onEnd with the reply or the failure, at the latest after \a timeout. With
    /// \a mayDuplicate, NetworkFaults::duplicate may deliver the message a second time.
    void exchange(std::size_t from, std::size_t to, const Message& message, Duration timeout, bool mayDuplicate,
        CompletionHandler onEnd);

    /// Sends a message that has no reply, as gossip does.
    void sendOneWay(std::size_t from, std::size_t to, Action action);

    NetworkFaults faults;

private:
    struct Exchange {
        std::size_t from = 0;
        std::size_t to = 0;
        unsigned senderGeneration = 0;
        bool isDone = false;
        CompletionHandler onEnd;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;
    struct Node {
        bool isAlive = true;
        unsigned generation = 1;
        TimePoint pausedUntil;
        std::function<void(const Message&, const ReplyFunction&)> handler;
        std::vector<ExchangePtr> inbound;
    };

    bool chance(double probability) { return randomUnit(this->random) < probability; }
    Duration latency() { return microseconds(500 + randomBelow(this->random, 6000)); }
    bool isBlocked(std::size_t from, std::size_t to) const { return this->blocked.contains({ from, to }); }
    void runOnGeneration(std::size_t node, unsigned generation, TimePoint time, Action action);
    void finish(const ExchangePtr& exchange, ExchangeEnd end, const Reply& reply);
    void deliver(const ExchangePtr& exchange, const Message& message, unsigned receiverGeneration);
    void deliverReply(const ExchangePtr& exchange, unsigned receiverGeneration, const Reply& reply);

    Scheduler& scheduler;
    Random& random;
    std::vector<Node> nodes;
    std::set<std::pair<std::size_t, std::size_t>> blocked;
    /// By sender and receiver: process generation of the receiver that a pooled connection leads to.
    std::map<std::pair<std::size_t, std::size_t>, unsigned> pooledGeneration;
    std::map<std::pair<std::size_t, std::size_t>, Reply> lastReply; ///< By sender and receiver.
};

} // namespace clementinefall::requests::simulation
