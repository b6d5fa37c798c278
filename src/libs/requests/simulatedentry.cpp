#include "requests/simulatedentry.h"

#include "requests/connectionhealth.h"

#include <algorithm>

namespace clementinefall::requests::simulation {

namespace {

constexpr milliseconds maximumDeadline { 2000 };
constexpr milliseconds oneWayLatency { 4 };
constexpr milliseconds naiveTimeout { 600 };
constexpr std::size_t maximumNaiveAttempts = 3;
constexpr double overloadProbability = 0.02;
constexpr double remoteProbability = 0.25;
constexpr std::uint64_t maximumSkewMs = 1000;

/// Short enough for the ceiling of a key range to be extended several times in one schedule.
constexpr KeyRangeReservation keyRangeTimes { seconds(6), seconds(4) };

ExecutionLimits limitsFor(const World& world)
{
    ExecutionLimits limits;
    if (world.hasSmallTables) {
        limits.records = 12;
        limits.keptBytes = 1000;
        limits.bodyBytes = 40;
        limits.waitersPerRecord = 1;
    }
    return limits;
}

IdentityIssuer issuerFor(const World& world)
{
    if (world.hasSmallTables)
        return IdentityIssuer(seconds(3), 64);
    return IdentityIssuer();
}

AttemptEnd attemptEndOf(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Replied:
        return AttemptEnd::Answered;
    case ExchangeEnd::ConnectRefused:
        return AttemptEnd::ConnectRefused;
    case ExchangeEnd::NothingWritten:
        return AttemptEnd::NothingWritten;
    case ExchangeEnd::LostAfterWrite:
        return AttemptEnd::LostAfterWrite;
    case ExchangeEnd::TimedOut:
        return AttemptEnd::TimedOut;
    case ExchangeEnd::ResponseTruncated:
        return AttemptEnd::ResponseTruncated;
    }
    return AttemptEnd::TimedOut;
}

ForwardEnd forwardEndOf(ExchangeEnd end, AttemptEnd classification)
{
    switch (end) {
    case ExchangeEnd::Replied:
        return classification == AttemptEnd::Answered ? ForwardEnd::HomeResponded : ForwardEnd::ResponseInvalid;
    case ExchangeEnd::ConnectRefused:
        return ForwardEnd::ConnectRefused;
    case ExchangeEnd::NothingWritten:
        return ForwardEnd::NothingWritten;
    case ExchangeEnd::LostAfterWrite:
        return ForwardEnd::LostAfterWrite;
    case ExchangeEnd::TimedOut:
        return ForwardEnd::TimedOut;
    case ExchangeEnd::ResponseTruncated:
        return ForwardEnd::ResponseTruncated;
    }
    return ForwardEnd::TimedOut;
}

} // namespace

SimulatedEntry::SimulatedEntry(
    World& entryWorld, std::size_t entryIndex, std::vector<std::shared_ptr<SimulatedEntry>>& allEntries)
    : world(entryWorld)
    , index(entryIndex)
    , node(entryWorld.entryNodes[entryIndex])
    , entries(allEntries)
    , incarnation(entryWorld.random())
    , clockSkewMs(static_cast<std::int64_t>(entryWorld.uniformBelow(2 * maximumSkewMs))
          - static_cast<std::int64_t>(maximumSkewMs))
    , table(limitsFor(entryWorld), issuerFor(entryWorld))
    , keyRange(this->incarnation, keyRangeTimes)
    , keys(entryWorld.hasSmallTables ? 6 : 16384)
    , inFlight(this->incarnation)
{
}

void SimulatedEntry::handle(const Message& message, const ReplyFunction& reply)
{
    if (message.tag.empty()) {
        this->issue(reply);
        return;
    }
    const SessionPtr session = this->newSession(message, reply);
    if (this->world.options.isNaive) {
        this->handleNaive(session);
    } else if (message.isExecute) {
        this->handleExecute(session);
    } else if (!message.identity.empty()) {
        this->handleIdentity(message, reply);
    } else if (!message.key.empty()) {
        const std::string home(homeOfKey(message.key, this->world.entryNames));
        if (home == this->world.entryNames[this->index])
            this->beginAtHome(session);
        else
            this->forward(message, home, reply);
    } else {
        this->handleDirect(session);
    }
}

SimulatedEntry::SessionPtr SimulatedEntry::newSession(const Message& message, const ReplyFunction& reply) const
{
    auto session = std::make_shared<Session>();
    session->message = message;
    StreamHash hash;
    hash.update(message.content);
    session->requestHash = hash.digest();
    session->fingerprint = fingerprintOf("service", "POST", "/", session->requestHash);
    session->deadline = deadlineOf(this->now(), message.left, maximumDeadline);
    session->reply = reply;
    return session;
}

std::optional<ResultCode> SimulatedEntry::rejectionReason(const Session& session)
{
    if (this->isStopping)
        return ResultCode::NotRunStopping;
    if (this->quarantine.isQuarantined(session.fingerprint, this->now())) {
        ++this->world.report.quarantineRejections;
        return ResultCode::NotRunHeldBack;
    }
    if (session.deadline <= this->now())
        return ResultCode::NotRunDeadline;
    if (this->world.chance(overloadProbability))
        return ResultCode::NotRunNoCapacity;
    return std::nullopt;
}

void SimulatedEntry::issue(const ReplyFunction& reply)
{
    const auto issued = this->table.issue(1, this->now());
    if (!issued || this->isStopping) {
        reply({ ResultCode::NotRunRecordTableFull, "", "" });
        return;
    }
    const Identity identity { this->world.entryNames[this->index], this->incarnation, issued->first };
    reply({ ResultCode::Answered, "", formatIdentity(identity) });
}

void SimulatedEntry::handleIdentity(const Message& message, const ReplyFunction& reply)
{
    const auto parsed = parseIdentity(message.identity);
    if (!isOk(parsed)) {
        reply({ errorOf(parsed).code, message.tag, "" });
        return;
    }
    const Identity& identity = valueOf(parsed);
    switch (routeIdentity(identity, this->world.entryNames[this->index], this->incarnation, message.isForwarded)) {
    case IdentityRoute::Home: {
        const SessionPtr session = this->newSession(message, reply);
        session->sequence = identity.sequence;
        this->beginAtHome(session);
        return;
    }
    case IdentityRoute::Forward:
        this->forward(message, identity.instance, reply);
        return;
    case IdentityRoute::HomeReplaced:
        reply({ codeOfForward(ForwardEnd::HomeReplaced, ResultCode::UnknownNotDecided), message.tag, "" });
        return;
    case IdentityRoute::WrongHome:
        reply({ codeOfRejection(RequestRole::Forwarder, ResultCode::NotRunInvalidIdentity), message.tag, "" });
        return;
    }
}

void SimulatedEntry::forward(const Message& message, const std::string& home, const ReplyFunction& reply)
{
    const auto found = std::find(this->world.entryNames.begin(), this->world.entryNames.end(), home);
    const auto homeIndex = static_cast<std::size_t>(found - this->world.entryNames.begin());
    const std::size_t homeNode = this->world.entryAddress(homeIndex);
    const TimePoint deadline = deadlineOf(this->now(), message.left, maximumDeadline);
    const auto left = deadlineForNextHop(deadline, this->now(), oneWayLatency);
    if (message.isForwarded || this->isStopping || !left) {
        reply({ codeOfRejection(RequestRole::Forwarder, ResultCode::NotRunStopping), message.tag, "" });
        return;
    }
    Message forwarded = message;
    forwarded.isForwarded = true;
    forwarded.left = *left;
    const std::string tag = message.tag;
    this->world.network.exchange(this->node, homeNode, forwarded, deadline - this->now(), true,
        [tag, reply](ExchangeEnd end, const Reply& response) {
            const AttemptEnd checked = classifyResponse({ tag, response.tag, true });
            const ForwardEnd forwardEnd = forwardEndOf(end, checked);
            const ResultCode code = codeOfForward(forwardEnd, response.code);
            reply({ code, tag, forwardEnd == ForwardEnd::HomeResponded ? response.body : "" });
        });
}

void SimulatedEntry::beginAtHome(const SessionPtr& session)
{
    // The clock is read before the simulated wait for the mutex, during which the process may be paused.
    const TimePoint observedAt = this->now();
    this->runAfterShortDelay([this, session, observedAt] {
        const Message& message = session->message;
        if (!message.key.empty()) {
            const KeyLookup lookup
                = this->keys.find(message.key, message.label, this->keyRange, this->table, observedAt);
            const auto* found = std::get_if<KeySequence>(&lookup);
            if (!found) {
                session->reply({ codeOfKeyLookup(lookup), message.tag, "" });
                return;
            }
            session->sequence = found->sequence;
        }
        const HomeStep step = homeBegin(this->table, session->sequence, session->requestHash,
            this->rejectionReason(*session), observedAt, [session](const StoredResultPtr& result) {
                session->reply({ codeForCopy(*result), session->message.tag, result->body });
            });
        if (const auto* now = std::get_if<ReplyNow>(&step)) {
            session->reply({ now->code, message.tag, now->result ? now->result->body : "" });
        } else if (std::holds_alternative<RunRequest>(step)) {
            this->budget.recordFirstAttempt(this->now());
            this->runAfterShortDelay([this, session] { this->dispatch(session); });
        }
    });
}

void SimulatedEntry::handleDirect(const SessionPtr& session)
{
    if (const auto rejection = this->rejectionReason(*session)) {
        session->reply({ codeOfRejection(RequestRole::Direct, *rejection), session->message.tag, "" });
        return;
    }
    this->budget.recordFirstAttempt(this->now());
    this->dispatch(session);
    this->scheduleHedge(session);
}

void SimulatedEntry::handleExecute(const SessionPtr& session)
{
    const auto rejection = this->rejectionReason(*session);
    const auto target = this->chooseTarget(*session, false);
    if (rejection || !target) {
        const ResultCode reason = rejection.value_or(ResultCode::NotRunNoServer);
        session->reply({ codeOfRejection(RequestRole::Executor, reason), session->message.tag, "" });
        return;
    }
    this->attempt(session, *target, [session](AttemptEnd end, const Reply& reply) {
        session->reply({ codeOfAttempt(end), session->message.tag, end == AttemptEnd::Answered ? reply.body : "" });
    });
}

void SimulatedEntry::handleNaive(const SessionPtr& session)
{
    if (session->attemptsMade == maximumNaiveAttempts) {
        session->reply({ ResultCode::NotRunNoServer, session->message.tag, "" });
        return;
    }
    if (session->attemptsMade++ == 0)
        ++this->world.report.firstAttempts;
    ++this->world.report.attempts;
    const std::size_t server = this->world.serverNodes[this->world.uniformBelow(this->world.serverNodes.size())];
    this->world.network.exchange(this->node, server, session->message, naiveTimeout, false,
        [this, session](ExchangeEnd end, const Reply& reply) {
            if (end == ExchangeEnd::Replied && reply.code == ResultCode::Answered)
                session->reply({ ResultCode::Answered, session->message.tag, reply.body });
            else
                this->handleNaive(session);
        });
}

std::optional<SimulatedEntry::Target> SimulatedEntry::chooseTarget(const Session& session, bool mayLeaveZone)
{
    std::vector<Target> local;
    std::vector<Target> remote;
    for (std::size_t i = 0; i < this->world.serverNodes.size(); ++i) {
        if (i % 2 == this->index % 2 && !session.attemptedNodes.contains(this->world.serverNodes[i]))
            local.push_back({ this->world.serverNodes[i], false });
    }
    for (std::size_t i = 0; i < this->world.entryNodes.size() && mayLeaveZone; ++i) {
        if (i % 2 != this->index % 2 && !session.attemptedNodes.contains(this->world.entryNodes[i]))
            remote.push_back({ this->world.entryNodes[i], true });
    }
    const bool isRemote = !remote.empty() && (local.empty() || this->world.chance(remoteProbability));
    const std::vector<Target>& candidates = isRemote ? remote : local;
    if (candidates.empty())
        return std::nullopt;
    return candidates[this->world.uniformBelow(candidates.size())];
}

void SimulatedEntry::dispatch(const SessionPtr& session)
{
    const auto target = this->chooseTarget(*session, true);
    const bool isLate = session->deadline <= this->now();
    if (session->attemptsMade == 0 && (isLate || !target)) {
        this->complete(session, isLate ? ResultCode::NotRunDeadline : ResultCode::NotRunNoServer, {});
        return;
    }
    if (session->attemptsMade++ == 0)
        ++this->world.report.firstAttempts;
    ++this->world.report.attempts;
    ++session->runningAttempts;
    this->attempt(session, *target,
        [this, session](AttemptEnd end, const Reply& reply) { this->afterAttempt(session, end, reply); });
}

void SimulatedEntry::scheduleHedge(const SessionPtr& session)
{
    const auto delay = hedgeDelay(this->latencies.quantile(0.95, this->now()));
    if (!delay)
        return;
    this->world.network.runOnNode(this->node, *delay, [this, session, delay] {
        HedgeState state;
        state.isIdempotent = session->message.isIdempotent;
        state.attemptsMade = session->attemptsMade;
        state.hasOtherServer = this->chooseTarget(*session, true).has_value();
        state.waited = *delay;
        state.delay = *delay;
        state.left = session->deadline - this->now();
        if (!session->isDone && decideHedge(state, this->budget, this->now()))
            this->dispatch(session);
    });
}

void SimulatedEntry::attempt(
    const SessionPtr& session, const Target& target, std::function<void(AttemptEnd, const Reply&)> onEnd)
{
    session->attemptedNodes.insert(target.node);
    Message message = session->message;
    message.isExecute = target.isExecutor;
    const Duration left = session->deadline - this->now();
    message.left = deadlineForNextHop(session->deadline, this->now(), oneWayLatency).value_or(milliseconds(0));
    const std::string server = target.isExecutor ? "" : fmt::format("s{}", target.node);
    const std::uint64_t attemptId
        = target.isExecutor ? 0 : this->inFlight.recordSent(server, { session->fingerprint, "service", this->now() });
    const TimePoint sent = this->now();
    const Duration timeout
        = message.isIdempotent ? firstByteTimeout(this->latencies.quantile(0.999, this->now()), left) : left;
    this->world.network.exchange(this->node, target.node, message, timeout, false,
        [this, session, target, server, attemptId, sent, onEnd = std::move(onEnd)](
            ExchangeEnd end, const Reply& reply) {
            AttemptEnd attemptEnd = attemptEndOf(end);
            if (end == ExchangeEnd::Replied) {
                const bool isShed = reply.code == ResultCode::NotRunShedByServer && !target.isExecutor;
                attemptEnd = classifyResponse({ session->message.tag, reply.tag, true, true, true, isShed });
                if (target.isExecutor && attemptEnd == AttemptEnd::Answered)
                    attemptEnd = classifyExecutorCode(reply.code);
            }
            if (attemptEnd == AttemptEnd::Answered)
                this->latencies.add(this->now() - sent, this->now());
            if (!target.isExecutor)
                this->recordAttemptEnd(*session, server, attemptId, attemptEnd);
            onEnd(attemptEnd, reply);
        });
}

void SimulatedEntry::recordAttemptEnd(
    const Session& session, const std::string& server, std::uint64_t attemptId, AttemptEnd end)
{
    const bool isUnsent = end == AttemptEnd::ConnectRefused || end == AttemptEnd::NothingWritten;
    if (isUnsent)
        this->inFlight.recordEnded(server, attemptId);
    if (end == AttemptEnd::LostAfterWrite) {
        if (const std::optional<CrashMark> mark = this->inFlight.recordLost(server, attemptId, this->now())) {
            this->quarantine.merge(*mark, this->now());
            this->notifyPeers({ *mark }, std::nullopt);
        }
    }
    this->inFlight.recordEnded(server, attemptId);
    if (end == AttemptEnd::Answered)
        this->notifyPeers({}, this->quarantine.recordSuccess(session.fingerprint, this->now()));
}

void SimulatedEntry::afterAttempt(const SessionPtr& session, AttemptEnd end, const Reply& reply)
{
    --session->runningAttempts;
    session->attemptEnds.push_back(end);
    if (session->isDone)
        return;
    RetryState state;
    state.isIdempotent = session->message.isIdempotent;
    state.ended = session->attemptEnds;
    state.running = session->runningAttempts;
    state.hasOtherServer = this->chooseTarget(*session, true).has_value();
    state.left = session->deadline - this->now();
    state.expectedLatency = this->latencies.quantile(0.5, this->now()).value_or(milliseconds(20));
    const RetryDecision decision = decideRetry(state, this->budget, this->now());
    if (decision.verdict == RetryVerdict::Retry)
        this->dispatch(session);
    else if (decision.verdict == RetryVerdict::Stop)
        this->complete(session, decision.code, reply);
}

void SimulatedEntry::complete(const SessionPtr& session, ResultCode code, const Reply& reply)
{
    session->isDone = true;
    StoredResult response;
    response.httpStatus = 200;
    response.body = reply.body;
    if (session->sequence == 0) {
        session->reply({ code, session->message.tag, code == ResultCode::Answered ? reply.body : "" });
        return;
    }
    const TimePoint observedAt = this->now();
    this->runAfterShortDelay(
        [this, session, observedAt, body = reply.body, result = resultWithCode(code, std::move(response))] {
            const FinishResult finished = homeFinish(this->table, session->sequence, result, observedAt);
            const bool isAnswered = finished.result->code == ResultCode::Answered;
            session->reply({ finished.result->code, session->message.tag, isAnswered ? body : "" });
            for (const Waiter& waiter : finished.waiters)
                waiter(finished.result);
        });
}

void SimulatedEntry::notifyPeers(const std::vector<CrashMark>& marks, const std::optional<MarkClearing>& clearing)
{
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        if (i == this->index || (marks.empty() && !clearing))
            continue;
        this->world.network.sendOneWay(this->node, this->world.entryNodes[i], [this, i, marks, clearing] {
            SimulatedEntry& peer = *this->entries[i];
            for (const CrashMark& mark : marks)
                peer.quarantine.merge(mark, peer.now());
            if (clearing)
                peer.quarantine.merge(*clearing, peer.now());
        });
    }
}

void SimulatedEntry::tick()
{
    this->table.expire(this->now());
    this->keys.discardBelow(this->table.floor(), this->keyRange);
    this->quarantine.expire(this->now());
    if (!this->isWritingRange)
        this->renewKeyRange();
}

void SimulatedEntry::stop()
{
    this->isStopping = true;
    if (const auto closing = this->keyRange.close())
        this->writeKeyRange(*closing);
}

void SimulatedEntry::renewKeyRange()
{
    SimulatedPlatform& platform = this->world.platform;
    if (platform.isDown)
        return;
    if (this->keyRange.needsRead())
        this->keyRange.read(platform.read(this->world.entryNames[this->index]));
    else if (const auto wanted = this->keyRange.requiredWrite(this->wallClockMs()))
        this->writeKeyRange(*wanted);
}

void SimulatedEntry::writeKeyRange(const KeyRangeWrite& wanted)
{
    SimulatedPlatform& platform = this->world.platform;
    this->isWritingRange = true;
    const bool isLost = this->world.chance(platform.lostResponseProbability);
    // A write whose response is lost may take effect late, after this process or its successor has written again.
    const Duration delay = this->world.randomMilliseconds(1, isLost ? 3000 : 10);
    const std::string name = this->world.entryNames[this->index];
    const unsigned generation = this->world.network.generationOf(this->node);
    this->world.scheduler.after(delay, [this, wanted, isLost, name, generation] {
        const std::uint64_t version = this->world.platform.write(name, wanted);
        if (isLost || this->world.network.generationOf(this->node) != generation)
            return;
        this->runAfterShortDelay([this, wanted, version] {
            this->isWritingRange = false;
            if (version == 0)
                this->keyRange.onWriteFailed();
            else
                this->keyRange.onWriteConfirmed(wanted, version);
        });
    });
    if (isLost) {
        this->runAfterShortDelay([this] {
            this->isWritingRange = false;
            this->keyRange.onWriteFailed();
        });
    }
}

void SimulatedEntry::runAfterShortDelay(Action action)
{
    this->world.network.runOnNode(this->node, microseconds(this->world.uniformBelow(400)), std::move(action));
}

std::int64_t SimulatedEntry::wallClockMs() const
{
    return std::chrono::duration_cast<milliseconds>(this->now().time_since_epoch()).count() + this->clockSkewMs;
}

} // namespace clementinefall::requests::simulation
