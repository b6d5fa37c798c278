#include "requests/simulatedsystem.h"

#include "requests/simulatedentry.h"
#include "requests/simulatedserver.h"

#include <algorithm>

namespace clementinefall::requests::simulation {

namespace {

constexpr std::size_t entryCount = 4;
constexpr std::size_t serverCount = 6;
constexpr std::size_t callerCount = 2;
constexpr unsigned operationCount = 120;
constexpr unsigned maximumSends = 4;
constexpr unsigned crashingResubmissions = 8;
constexpr milliseconds callerTimeout { 2500 };

/// One request of a caller, which may be sent several times.
struct Operation {
    Message message;
    std::size_t callerNode = 0;
    unsigned sends = 0;
    unsigned resubmissionsLeft = 0; ///< How often the caller may still submit the same content under a new identity.
    bool isAnswered = false;
    bool isNotRun = false;
};

using OperationPtr = std::shared_ptr<Operation>;

bool isDirect(const Message& message) { return message.identity.empty() && message.key.empty(); }

/// Builds the processes, starts the callers' requests and injects failures.
class Schedule {
public:
    explicit Schedule(const ScheduleOptions& options)
        : world(options)
    {
    }

    ScheduleReport run();

private:
    void build();
    void startEntry(std::size_t index);
    void scheduleTick(std::size_t node, const std::shared_ptr<SimulatedEntry>& entry);
    void startOperation(bool isCrashing, unsigned resubmissionsLeft, const std::string& content);
    void obtainIdentity(const OperationPtr& operation, unsigned triesLeft);
    void beginSending(const OperationPtr& operation);
    void send(const OperationPtr& operation);
    void afterSend(const OperationPtr& operation, const std::string& tag, ExchangeEnd end, const Reply& reply);
    void injectFailures(FailureKind kind);
    void injectOnce(FailureKind kind);
    void replaceEntry(std::size_t index, Duration downTime);
    void partitionZones(bool isOneWay);
    void countOutcomes();
    std::size_t randomEntry() { return this->world.uniformBelow(entryCount); }
    std::vector<std::size_t> nodesOfZone(std::size_t zone) const;

    World world;
    std::vector<std::shared_ptr<SimulatedEntry>> entries;
    std::vector<std::shared_ptr<SimulatedEntry>> deadEntries; ///< Kept because pending events may refer to them.
    std::vector<std::unique_ptr<SimulatedServer>> servers;
    std::vector<OperationPtr> operations;
    std::uint64_t createdCount = 0;
};

ScheduleReport Schedule::run()
{
    const FailureKind kind = this->world.options.kind;
    const bool isCombined = kind == FailureKind::Combined;
    this->world.hasSmallTables = kind == FailureKind::SmallTables || (isCombined && this->world.chance(0.3));
    this->build();
    for (unsigned i = 0; i < operationCount; ++i) {
        this->world.scheduler.after(this->world.randomMilliseconds(0, milliseconds(activeDuration).count()),
            [this] { this->startOperation(false, 0, fmt::format("request {}", ++this->createdCount)); });
    }
    this->injectFailures(kind);
    this->world.scheduler.run();
    this->countOutcomes();
    return this->world.report;
}

void Schedule::build()
{
    World& w = this->world;
    for (std::size_t i = 0; i < entryCount; ++i) {
        w.entryNames.push_back(fmt::format("e{}", i));
        w.entryNodes.push_back(w.network.addNode({}));
        w.previousEntryNodes.emplace_back();
    }
    for (std::size_t i = 0; i < serverCount; ++i) {
        w.serverNodes.push_back(w.network.addNode({}));
        this->servers.push_back(std::make_unique<SimulatedServer>(w, w.serverNodes[i]));
        w.network.setHandler(w.serverNodes[i],
            [server = this->servers.back().get()](
                const Message& message, const ReplyFunction& reply) { server->handle(message, reply); });
    }
    for (std::size_t i = 0; i < callerCount; ++i)
        w.callerNodes.push_back(w.network.addNode({}));
    // Each instance starts as the replacement of one that closed its key range in a planned stop a minute ago.
    const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(w.scheduler.now().time_since_epoch());
    const std::int64_t closedAt = (sinceEpoch - minutes(1)).count();
    for (const std::string& name : w.entryNames)
        w.platform.write(name, { 0, { 1, closedAt, closedAt } });
    this->entries.resize(entryCount);
    for (std::size_t i = 0; i < entryCount; ++i)
        this->startEntry(i);
}

void Schedule::startEntry(std::size_t index)
{
    if (this->entries[index])
        this->deadEntries.push_back(this->entries[index]);
    this->entries[index] = std::make_shared<SimulatedEntry>(this->world, index, this->entries);
    const std::size_t node = this->world.entryNodes[index];
    this->world.network.setHandler(
        node, [entry = this->entries[index].get()](const Message& message, const ReplyFunction& reply) {
            entry->handle(message, reply);
        });
    this->entries[index]->tick();
    this->entries[index]->tick();
    this->scheduleTick(node, this->entries[index]);
}

void Schedule::scheduleTick(std::size_t node, const std::shared_ptr<SimulatedEntry>& entry)
{
    const TimePoint end = TimePoint {} + std::chrono::hours(1) + tickDuration;
    if (this->world.scheduler.now() >= end)
        return;
    this->world.network.runOnNode(node, seconds(1), [this, node, entry] {
        entry->tick();
        this->scheduleTick(node, entry);
    });
}

void Schedule::startOperation(bool isCrashing, unsigned resubmissionsLeft, const std::string& content)
{
    const auto operation = std::make_shared<Operation>();
    operation->callerNode = this->world.callerNodes[this->world.uniformBelow(callerCount)];
    operation->resubmissionsLeft = resubmissionsLeft;
    Message& message = operation->message;
    message.content = content;
    message.crashesServer = isCrashing;
    const std::uint64_t kind = this->world.uniformBelow(10);
    if (kind < 2) {
        message.isIdempotent = true;
        message.tag = fmt::format("direct-{}", ++this->createdCount);
        this->beginSending(operation);
    } else if (kind < 4) {
        message.key = fmt::format("key-{}", ++this->createdCount);
        message.tag = message.key;
        const auto skew = static_cast<std::int64_t>(this->world.uniformBelow(1000)) - 500;
        const auto sinceEpoch = this->world.scheduler.now().time_since_epoch();
        message.label = std::chrono::duration_cast<milliseconds>(sinceEpoch).count() + skew;
        this->beginSending(operation);
    } else {
        this->obtainIdentity(operation, 3);
    }
}

void Schedule::obtainIdentity(const OperationPtr& operation, unsigned triesLeft)
{
    if (triesLeft == 0)
        return;
    const std::size_t entry = this->world.entryAddress(this->randomEntry());
    this->world.network.exchange(operation->callerNode, entry, {}, seconds(1), false,
        [this, operation, triesLeft](ExchangeEnd end, const Reply& reply) {
            // The reply to another request carries a tag; callers match replies by connection and tag.
            const bool isIdentity
                = end == ExchangeEnd::Replied && reply.code == ResultCode::Answered && reply.tag.empty();
            if (!isIdentity) {
                this->obtainIdentity(operation, triesLeft - 1);
                return;
            }
            operation->message.identity = reply.body;
            operation->message.tag = reply.body;
            this->beginSending(operation);
        });
}

void Schedule::beginSending(const OperationPtr& operation)
{
    const Message& message = operation->message;
    this->operations.push_back(operation);
    if (!isDirect(message))
        this->world.history.recordInvocation(message.tag, message.content, message.isIdempotent);
    this->send(operation);
    if (!this->world.options.isNaive && this->world.chance(0.1))
        this->send(operation);
}

void Schedule::send(const OperationPtr& operation)
{
    ++operation->sends;
    Message message = operation->message;
    if (isDirect(message)) {
        // Without an identity, a resent message is not linked to the first one, so each message has its own result.
        message.tag += fmt::format("-{}", operation->sends);
        this->world.history.recordInvocation(message.tag, message.content, true);
    }
    const std::size_t entry = this->world.entryAddress(this->randomEntry());
    const CompletionHandler onEnd = [this, operation, tag = message.tag](ExchangeEnd end, const Reply& reply) {
        this->afterSend(operation, tag, end, reply);
    };
    this->world.network.exchange(operation->callerNode, entry, message, callerTimeout, !isDirect(message), onEnd);
}

void Schedule::afterSend(const OperationPtr& operation, const std::string& tag, ExchangeEnd end, const Reply& reply)
{
    // Callers, like entry instances, accept a reply only if it echoes the tag of their request.
    const bool isMatchingReply = end == ExchangeEnd::Replied && reply.tag == tag;
    Outcome outcome = Outcome::Unknown;
    if (isMatchingReply) {
        outcome = outcomeOf(reply.code);
        this->world.history.recordResponse(tag, reply.code, reply.body);
    }
    operation->isAnswered |= outcome == Outcome::Answered;
    operation->isNotRun |= outcome == Outcome::NotRun;

    // Some callers violate the protocol by resending a request after its final result; this must have no effect. The
    // baseline is measured without such callers, since it gives no guarantee for them.
    const double probabilityAfterFinalResult = this->world.options.isNaive ? 0.0 : 0.15;
    const double resendProbability = outcome == Outcome::Unknown ? 0.7 : probabilityAfterFinalResult;
    if (operation->sends < maximumSends && this->world.chance(resendProbability)) {
        this->world.scheduler.after(
            this->world.randomMilliseconds(20, 4000), [this, operation] { this->send(operation); });
    }
    if (operation->resubmissionsLeft > 0 && outcome != Outcome::Answered) {
        const unsigned left = std::exchange(operation->resubmissionsLeft, 0) - 1;
        this->world.scheduler.after(this->world.randomMilliseconds(50, 400),
            [this, left, content = operation->message.content] { this->startOperation(true, left, content); });
    }
}

void Schedule::injectFailures(FailureKind kind)
{
    if (kind == FailureKind::None)
        return;
    NetworkFaults& faults = this->world.network.faults;
    if (kind == FailureKind::LostResponses || kind == FailureKind::Combined) {
        faults.lostReply = 0.06;
        faults.truncatedReply = 0.04;
        faults.staleReply = 0.03;
    }
    if (kind == FailureKind::LateAndDuplicated || kind == FailureKind::Combined) {
        faults.delayedRequest = 0.08;
        faults.duplicate = 0.15;
    }
    if (kind == FailureKind::PlatformOutage || kind == FailureKind::Combined)
        this->world.platform.lostResponseProbability = 0.3;
    if (kind == FailureKind::Combined) {
        const std::uint64_t count = 3 + this->world.uniformBelow(6);
        for (std::uint64_t i = 0; i < count; ++i)
            this->injectOnce(static_cast<FailureKind>(1 + this->world.uniformBelow(failureKindCount - 2)));
        return;
    }
    const std::uint64_t count = 1 + this->world.uniformBelow(3);
    for (std::uint64_t i = 0; i < count; ++i)
        this->injectOnce(kind);
}

void Schedule::injectOnce(FailureKind kind)
{
    World& w = this->world;
    const Duration start = w.randomMilliseconds(200, 9000);
    const std::size_t entry = this->randomEntry();
    const std::size_t server = w.uniformBelow(serverCount);
    w.scheduler.after(start, [this, kind, entry, server] {
        World& inner = this->world;
        switch (kind) {
        case FailureKind::KillEntry:
            inner.network.kill(inner.entryNodes[entry]);
            break;
        case FailureKind::ReplaceEntry:
            this->replaceEntry(entry, inner.randomMilliseconds(10, 1500));
            break;
        case FailureKind::PauseEntry:
            inner.network.pause(inner.entryNodes[entry], inner.randomMilliseconds(50, 9000));
            break;
        case FailureKind::PredecessorResumes: {
            const std::size_t previous = inner.entryNodes[entry];
            if (!inner.network.isAlive(previous))
                break;
            inner.network.pause(previous, inner.randomMilliseconds(200, 6000));
            inner.previousEntryNodes[entry].push_back(previous);
            inner.entryNodes[entry] = inner.network.addNode({});
            this->startEntry(entry);
            break;
        }
        case FailureKind::KillServer:
            this->servers[server]->restart(inner.randomMilliseconds(200, 3000));
            break;
        case FailureKind::Partition:
        case FailureKind::OneWayLoss:
            this->partitionZones(kind == FailureKind::OneWayLoss);
            break;
        case FailureKind::Drain:
            this->entries[entry]->stop();
            this->servers[server]->setDraining(true);
            inner.scheduler.after(seconds(4), [this, entry, server] {
                this->servers[server]->setDraining(false);
                this->replaceEntry(entry, milliseconds(200));
            });
            break;
        case FailureKind::PlatformOutage:
            inner.platform.isDown = true;
            this->replaceEntry(entry, milliseconds(300));
            inner.scheduler.after(inner.randomMilliseconds(500, 6000), [this] { this->world.platform.isDown = false; });
            break;
        case FailureKind::CrashingRequest:
            ++inner.report.crashingRequests;
            this->startOperation(true, crashingResubmissions, fmt::format("crash {}", ++this->createdCount));
            break;
        case FailureKind::None:
        case FailureKind::LostResponses:
        case FailureKind::LateAndDuplicated:
        case FailureKind::SmallTables:
        case FailureKind::Combined:
            break;
        }
    });
}

void Schedule::replaceEntry(std::size_t index, Duration downTime)
{
    const std::size_t node = this->world.entryNodes[index];
    if (!this->world.network.isAlive(node))
        return;
    this->world.network.kill(node);
    this->world.scheduler.after(downTime, [this, index, node] {
        if (this->world.network.isAlive(node))
            return;
        this->world.network.replace(node);
        this->startEntry(index);
    });
}

void Schedule::partitionZones(bool isOneWay)
{
    const std::size_t zone = this->world.uniformBelow(2);
    const auto from = this->nodesOfZone(zone);
    std::vector<std::size_t> to = this->nodesOfZone(1 - zone);
    if (this->world.chance(0.3))
        to = from; // Loss inside one zone.
    const auto set = [this, from, to, isOneWay](bool isBlocked) {
        for (const std::size_t a : from) {
            for (const std::size_t b : to) {
                this->world.network.setBlocked(a, b, isBlocked);
                if (!isOneWay)
                    this->world.network.setBlocked(b, a, isBlocked);
            }
        }
    };
    set(true);
    this->world.scheduler.after(this->world.randomMilliseconds(300, 5000), [set] { set(false); });
}

std::vector<std::size_t> Schedule::nodesOfZone(std::size_t zone) const
{
    std::vector<std::size_t> nodes;
    for (const auto* group : { &this->world.entryNodes, &this->world.serverNodes, &this->world.callerNodes }) {
        for (std::size_t i = zone; i < group->size(); i += 2)
            nodes.push_back((*group)[i]);
    }
    return nodes;
}

void Schedule::countOutcomes()
{
    ScheduleReport& report = this->world.report;
    for (const OperationPtr& operation : this->operations) {
        if (operation->message.isIdempotent)
            continue;
        ++report.operations;
        if (operation->isAnswered)
            ++report.answered;
        else if (operation->isNotRun)
            ++report.notRun;
        else
            ++report.unknown;
    }
    for (const auto& [content, crashes] : this->world.crashesByContent)
        report.maximumCrashesPerRequest = std::max(report.maximumCrashesPerRequest, crashes);
    report.violations = this->world.history.check();
}

} // namespace

std::string_view failureKindName(FailureKind kind)
{
    constexpr std::array<std::string_view, failureKindCount> names { "none", "kill-entry", "replace-entry",
        "pause-entry", "predecessor-resumes", "kill-server", "partition", "one-way-loss", "lost-answers",
        "late-and-duplicated", "drain", "platform-outage", "crashing-request", "small-tables", "combined" };
    return names[static_cast<std::size_t>(kind)];
}

ScheduleReport runSchedule(const ScheduleOptions& options) { return Schedule(options).run(); }

std::uint64_t SimulatedPlatform::write(const std::string& home, const KeyRangeWrite& wanted)
{
    StoredKeyRange& stored = this->objects[home];
    if (stored.version != wanted.expectedVersion)
        return 0;
    stored = { stored.version + 1, wanted.range };
    return stored.version;
}

} // namespace clementinefall::requests::simulation
