#include "requests/requestsession.h"

#include "requests/relayfields.h"

#include "base/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace clementinefall::requests {

using http::Field;
using http::RequestHeader;
using http::Response;
using http::ResponseHeader;
namespace HeaderName = http::HeaderName;

namespace {

/// Expected duration of an exchange with a backend server of the zone. A retry with less time left would only add load.
constexpr milliseconds minimumRetryTime { 20 };

constexpr unsigned firstServerErrorStatus = 500;

} // namespace

RequestSession::RequestSession(TrafficState& trafficState, ConnectionPool& connectionPool,
    std::shared_ptr<http::Exchange> source, std::string serviceName, Random randomSource)
    : state(trafficState)
    , pool(connectionPool)
    , exchange(std::move(source))
    , service(std::move(serviceName))
    , random(randomSource)
{
}

Awaitable<void> RequestSession::run(std::shared_ptr<RequestSession> session)
{
    ++session->state.counters.requests;
    co_await session->process();
}

std::optional<ResultCode> RequestSession::readRequest()
{
    const RequestHeader& header = this->exchange->header();
    const TimePoint now = Clock::now();
    const std::string_view hop = http::fieldValue(header, HeaderName::hop);
    this->identityText = http::fieldValue(header, HeaderName::identity);
    if (hop == "execute")
        this->role = RequestRole::Executor;
    else if (!this->identityText.empty())
        this->role = RequestRole::Forwarder; // Becomes Home when the identity names this incarnation.

    const auto parent = parseTraceParent(http::fieldValue(header, HeaderName::traceParent));
    const TraceContext context = parent ? childOf(*parent, this->random) : newTrace(this->random, false);
    this->span = Span { context, parent ? parent->spanId : 0, hop.empty() ? "request" : std::string(hop),
        WallClock::now(), {}, { { "service", this->service }, { "instance", this->state.self.name } } };

    this->routing = this->state.routing();
    if (!this->routing || !this->routing->snapshot->localZone)
        return ResultCode::NotRunNoBundle;
    const steering::RoutingSnapshot& snapshot = *this->routing->snapshot;
    const auto found = steering::find(snapshot.serviceIndex, this->service);
    if (!found)
        return ResultCode::NotRunUnknownService;
    this->serviceIndex = *found;
    const steering::ServiceRoute& route = snapshot.services[*found];
    const auto zone = steering::find(snapshot.zoneIndex, http::fieldValue(header, HeaderName::callerZone));
    this->callerZone = zone.value_or(*snapshot.localZone);

    std::optional<milliseconds> left;
    if (const auto value = http::fieldNumber(header, HeaderName::deadlineMs))
        left = milliseconds(std::min<std::uint64_t>(*value, static_cast<std::uint64_t>(route.deadline.count())));
    this->deadline = deadlineOf(now, left, route.deadline);
    this->upstreamTarget = targetWithinService(header.target(), this->service);

    const std::string_view requestClass = http::fieldValue(header, HeaderName::requestClass);
    this->isIdempotent = requestClass.empty() ? route.requestClass != bundle::RequestClass::NonIdempotent
                                              : requestClass == "idempotent";
    if (!requestClass.empty() && requestClass != "idempotent" && requestClass != "non-idempotent")
        return ResultCode::BadParameter;
    if (this->isIdempotent && route.requestClass == bundle::RequestClass::NonIdempotent)
        return ResultCode::NotRunClassMismatch;
    if (!this->isIdempotent && route.requestClass == bundle::RequestClass::Idempotent)
        return ResultCode::NotRunClassMismatch;
    if (!this->isIdempotent && this->identityText.empty())
        return ResultCode::NotRunMissingIdentity;
    this->body.maximumBytes = route.maximumBodyBytes;
    const auto length = this->exchange->bodyBytes();
    if (length && *length > route.maximumBodyBytes)
        return ResultCode::NotRunBodyLimit;
    return std::nullopt;
}

Awaitable<Status> RequestSession::receivePrefix()
{
    this->body.totalBytes = this->exchange->bodyBytes();
    std::string piece(http::relayBufferBytes, '\0');
    while (this->body.prefix.size() < http::relayBufferBytes) {
        const asio::mutable_buffer target = asio::buffer(piece.data(), piece.size() - this->body.prefix.size());
        const Result<std::size_t> bytes = co_await this->exchange->receiveBody(target);
        if (!isOk(bytes))
            co_return errorOf(bytes);
        if (valueOf(bytes) == 0)
            break;
        this->body.prefix.append(piece, 0, valueOf(bytes));
    }
    this->body.isComplete = this->exchange->isBodyComplete();
    if (this->body.isComplete)
        this->body.totalBytes = this->body.prefix.size();
    else
        this->body.rest = this->exchange;
    co_return okStatus();
}

Awaitable<void> RequestSession::process()
{
    const auto self = this->shared_from_this();
    const auto rejection = this->readRequest();
    if (rejection && this->role != RequestRole::Forwarder) {
        co_await this->reply(*rejection);
        co_return;
    }
    const Status received = co_await this->receivePrefix();
    if (!isOk(received)) {
        this->exchange->setClosing();
        co_await this->reply(this->rejectionCode(errorOf(received).code));
        co_return;
    }
    if (this->exchange->isBodyComplete()) {
        this->exchange->watchDisconnect([weak = this->weak_from_this()] {
            if (const auto session = weak.lock())
                session->onCallerDisconnected();
        });
    }
    if (this->role != RequestRole::Forwarder) {
        co_await this->runDirect();
        co_return;
    }
    const Result<Identity> identity = parseIdentity(this->identityText);
    if (!isOk(identity)) {
        co_await this->reply(ResultCode::NotRunInvalidIdentity);
        co_return;
    }
    const bool isForwarded = http::fieldValue(this->exchange->header(), HeaderName::hop) == "home";
    switch (routeIdentity(valueOf(identity), this->state.self.name, this->state.self.incarnation, isForwarded)) {
    case IdentityRoute::Home:
        this->role = RequestRole::Home;
        this->codeWithoutAttempt = rejection.value_or(this->codeWithoutAttempt);
        co_await this->runAsHome(valueOf(identity).sequence);
        co_return;
    case IdentityRoute::Forward:
        co_await this->runAsForwarder(valueOf(identity));
        co_return;
    case IdentityRoute::HomeReplaced:
        co_await this->reply(ResultCode::UnknownHomeReplaced);
        co_return;
    case IdentityRoute::WrongHome:
        co_await this->reply(ResultCode::UnknownHomeUnreachable);
        co_return;
    }
}

void RequestSession::onCallerDisconnected()
{
    // A resent copy of the request may still need the result, so execution at the home continues.
    if (this->role == RequestRole::Home)
        return;
    this->isCallerDisconnected = true;
    if (this->attempt)
        this->attempt->cancel();
}

Awaitable<void> RequestSession::runDirect()
{
    const bool mayRetry = this->role == RequestRole::Direct;
    if (this->role == RequestRole::Executor)
        ++this->state.counters.executedForPeers;
    if (this->state.isStopping && this->role == RequestRole::Executor) {
        co_await this->reply(ResultCode::NotRunStopping);
        co_return;
    }
    const ResultCode code = co_await this->makeAttempts(this->isIdempotent, mayRetry);
    if (code == ResultCode::Answered)
        co_await this->relayResponse(code);
    else
        co_await this->reply(code);
}

Hash128 RequestSession::requestHash() const
{
    StreamHash hash;
    hash.update(this->exchange->header().method_string());
    hash.update(" ");
    hash.update(this->service);
    hash.update(this->upstreamTarget);
    hash.update("\n");
    hash.update(fmt::format("{}\n", this->body.totalBytes ? fmt::format("{}", *this->body.totalBytes) : "chunked"));
    hash.update(this->body.prefix);
    return hash.digest();
}

Awaitable<void> RequestSession::runAsHome(std::uint64_t sequence)
{
    std::optional<ResultCode> rejection;
    if (this->codeWithoutAttempt != ResultCode::NotRunNoCapacity)
        rejection = this->codeWithoutAttempt;
    else if (this->state.isStopping)
        rejection = ResultCode::NotRunStopping;
    const Hash128 hash = this->requestHash();
    this->waitTimer.emplace(this->exchange->executor(), this->deadline);
    const Waiter waiter
        = [weak = this->weak_from_this(), executor = this->exchange->executor()](const StoredResultPtr& result) {
              asio::post(executor, [weak, result] {
                  const auto session = weak.lock();
                  if (!session)
                      return;
                  session->awaitedResult = result;
                  session->waitTimer->cancel();
              });
          };
    HomeStep step;
    {
        const std::scoped_lock lock(this->state.executionMutex);
        step = homeBegin(this->state.executions, sequence, hash, rejection, Clock::now(), waiter);
    }
    if (const auto* replyNow = std::get_if<ReplyNow>(&step)) {
        co_await this->replyWithStoredResult(replyNow->code, replyNow->result);
        co_return;
    }
    if (const auto* pending = std::get_if<AwaitResult>(&step)) {
        const std::uint64_t waiterId = pending->waiterId;
        co_await this->awaitRunningCopy(sequence, waiterId);
        co_return;
    }
    co_await this->executeAtHome(sequence);
}

Awaitable<void> RequestSession::awaitRunningCopy(std::uint64_t sequence, std::uint64_t waiterId)
{
    if (!this->awaitedResult)
        co_await this->waitTimer->async_wait(useTuple);
    if (!this->awaitedResult) {
        {
            const std::scoped_lock lock(this->state.executionMutex);
            this->state.executions.removeWaiter(sequence, waiterId);
        }
        co_await this->reply(ResultCode::UnknownTimeout);
        co_return;
    }
    const StoredResultPtr result = this->awaitedResult;
    co_await this->replyWithStoredResult(codeForCopy(*result), result);
}

Awaitable<void> RequestSession::executeAtHome(std::uint64_t sequence)
{
    const ResultCode code = co_await this->makeAttempts(this->isIdempotent, true);
    StoredResult result;
    if (code == ResultCode::Answered)
        result = this->storedResponse();
    result.code = code;
    FinishResult finished;
    {
        const std::scoped_lock lock(this->state.executionMutex);
        finished = homeFinish(this->state.executions, sequence, std::move(result), Clock::now());
    }
    for (const Waiter& waiter : finished.waiters)
        waiter(finished.result);
    const ResultCode final = finished.result ? finished.result->code : ResultCode::UnknownNotDecided;
    if (final == ResultCode::Answered && code == ResultCode::Answered)
        co_await this->relayResponse(final);
    else
        co_await this->reply(final);
}

StoredResult RequestSession::storedResponse() const
{
    const UpstreamResponse& response = this->attempt->response();
    StoredResult result;
    result.httpStatus = response.header.result_int();
    result.isBodyKept = response.isBodyComplete;
    if (!response.isBodyComplete)
        return result;
    ResponseHeader header = response.header;
    eraseHopByHopFields(header);
    for (const auto& field : header)
        result.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    result.body = response.body;
    return result;
}

Awaitable<void> RequestSession::runAsForwarder(Identity home)
{
    ++this->state.counters.forwardedToHome;
    ForwardEnd end = ForwardEnd::HomeUnknown;
    ResultCode homeCode = ResultCode::UnknownHomeUnreachable;
    const auto index = this->routing && this->routing->snapshot
        ? steering::find(this->routing->snapshot->instanceIndex, home.instance)
        : std::nullopt;
    if (index) {
        const steering::InstanceRoute& instance = this->routing->snapshot->instances[*index];
        this->attempt = std::make_unique<UpstreamAttempt>(this->pool, instance.traffic, this->deadline);
        RequestHeader header = this->headerForPeer("home", this->span.context);
        const AttemptEnd sent = co_await this->attempt->run(std::move(header), this->body);
        const AttemptResult result = this->classify(sent, true);
        homeCode = result.peerCode;
        end = forwardEndOf(result.end);
    }
    const ResultCode code = codeOfForward(end, homeCode);
    if (end == ForwardEnd::HomeResponded)
        co_await this->relayResponse(code);
    else
        co_await this->reply(code);
}

Awaitable<ResultCode> RequestSession::makeAttempts(bool idempotent, bool isRetryAllowed)
{
    {
        const std::scoped_lock lock(this->state.budgetMutex);
        this->state.retryBudget.recordFirstAttempt(Clock::now());
    }
    while (true) {
        if (this->isCallerDisconnected)
            co_return this->attemptEnds.empty() ? ResultCode::NotRunCancelled
                                                : codeOfAttempts(this->attemptEnds, this->codeWithoutAttempt);
        const bool attempted = co_await this->makeOneAttempt();
        if (!attempted)
            co_return codeOfAttempts(this->attemptEnds, this->codeWithoutAttempt);
        if (this->attemptEnds.back() == AttemptEnd::Answered)
            co_return ResultCode::Answered;
        if (!isRetryAllowed || this->body.isRestConsumed)
            co_return codeOfAttempts(this->attemptEnds, this->codeWithoutAttempt);
        RetryState retry;
        retry.isIdempotent = idempotent;
        retry.ended = this->attemptEnds;
        const TimePoint now = Clock::now();
        retry.left = this->deadline - now;
        retry.expectedLatency = minimumRetryTime;
        RetryDecision decision;
        {
            const std::scoped_lock lock(this->state.budgetMutex);
            decision = decideRetry(retry, this->state.retryBudget, now);
        }
        if (decision.verdict != RetryVerdict::Retry)
            co_return decision.code;
        ++this->state.counters.extraAttempts;
    }
}

Awaitable<bool> RequestSession::makeOneAttempt()
{
    const steering::ServiceRoute& route = this->routing->snapshot->services[this->serviceIndex];
    auto acquired = this->state.acquireServer(this->serviceIndex, route.priority, this->triedServers, this->random);
    if (auto* server = std::get_if<TrafficState::AcquiredServer>(&acquired)) {
        this->triedServers.push_back(server->position);
        const AttemptResult result = co_await this->attemptServer(*server);
        this->attemptEnds.push_back(result.end);
        co_return true;
    }
    this->codeWithoutAttempt = std::get<ResultCode>(acquired);
    if (this->role == RequestRole::Executor)
        co_return false;
    const auto peer = this->choosePeer();
    if (!peer)
        co_return false;
    this->triedPeers.push_back(*peer);
    const AttemptResult result = co_await this->attemptPeer(*peer);
    this->attemptEnds.push_back(result.end);
    co_return true;
}

steering::AttemptOutcome RequestSession::outcomeForServerTable(AttemptEnd end, TimePoint startedAt) const
{
    using Kind = steering::AttemptOutcome::Kind;
    steering::AttemptOutcome outcome;
    outcome.latency = Clock::now() - startedAt;
    outcome.deadline = this->deadline;
    if (end == AttemptEnd::Answered)
        outcome.kind = this->attempt->response().header.result_int() >= firstServerErrorStatus ? Kind::ServerError
                                                                                               : Kind::Success;
    else if (end == AttemptEnd::ShedByServer)
        outcome.kind = Kind::Shed;
    else
        outcome.kind = isProvenNotRun(end) ? Kind::NotRun : Kind::Unknown;
    return outcome;
}

Awaitable<RequestSession::AttemptResult> RequestSession::attemptServer(TrafficState::AcquiredServer server)
{
    Span attemptSpan { childOf(this->span.context, this->random), this->span.context.spanId, "attempt",
        WallClock::now(), {}, { { "server", server.name } } };
    const TimePoint startedAt = Clock::now();
    this->attempt = std::make_unique<UpstreamAttempt>(this->pool, server.address, this->deadline);
    this->attempt->limitConnectionRate();
    // A request that can be retried does not wait until its deadline on a connection that no longer responds.
    if (this->isIdempotent && this->body.isComplete && this->attemptEnds.empty())
        this->attempt->setFirstByteTimeout(this->state.firstByteTimeoutOf(this->serviceIndex, this->deadline));
    RequestHeader header = this->headerForServer(attemptSpan.context);
    const AttemptEnd end = co_await this->attempt->run(std::move(header), this->body);
    if (this->attempt->isNewConnection())
        ++this->state.counters.newConnections;
    const AttemptResult result = this->classify(end, false);
    if (result.end == AttemptEnd::Answered)
        this->state.recordLatency(this->serviceIndex, Clock::now() - startedAt);
    const bool isDraining = end == AttemptEnd::Answered
        && !http::fieldValue(this->attempt->response().header, HeaderName::draining).empty();
    this->state.releaseServer(
        this->serviceIndex, server, this->outcomeForServerTable(result.end, startedAt), isDraining);
    attemptSpan.end = WallClock::now();
    attemptSpan.attributes.emplace_back("result", fmt::format("{}", number(codeOfAttempt(result.end))));
    this->state.spans.write(attemptSpan);
    co_return result;
}

std::optional<steering::Index> RequestSession::choosePeer()
{
    const steering::RoutingSnapshot& snapshot = *this->routing->snapshot;
    const steering::Index localRegion = snapshot.zones[*snapshot.localZone].region;
    const auto ranked = steering::rankEntryInstances(
        snapshot, this->serviceIndex, *snapshot.localZone, this->routing->view, Clock::now(), this->random);
    for (const steering::Index index : ranked) {
        const steering::InstanceRoute& instance = snapshot.instances[index];
        const bool isTried
            = std::find(this->triedPeers.begin(), this->triedPeers.end(), index) != this->triedPeers.end();
        const bool hasServers = !snapshot.services[this->serviceIndex].serversByZone[instance.zone].empty();
        // Requests that leave the region must be counted against a shift cap, which this path does not do yet.
        const bool isInRegion = snapshot.zones[instance.zone].region == localRegion;
        if (index != snapshot.localInstance && !isTried && hasServers && isInRegion)
            return index;
    }
    return std::nullopt;
}

Awaitable<RequestSession::AttemptResult> RequestSession::attemptPeer(steering::Index peer)
{
    const steering::InstanceRoute& instance = this->routing->snapshot->instances[peer];
    this->attempt = std::make_unique<UpstreamAttempt>(this->pool, instance.traffic, this->deadline);
    RequestHeader header = this->headerForPeer("execute", this->span.context);
    const AttemptEnd end = co_await this->attempt->run(std::move(header), this->body);
    AttemptResult result = this->classify(end, true);
    if (result.end == AttemptEnd::Answered)
        result.end = classifyExecutorCode(result.peerCode);
    co_return result;
}

RequestSession::AttemptResult RequestSession::classify(AttemptEnd end, bool isPeer) const
{
    if (end != AttemptEnd::Answered)
        return { end, ResultCode::UnknownNotDecided };
    const ResponseHeader& header = this->attempt->response().header;
    ReceivedResponse response;
    response.expectedIdentity = this->identityText;
    response.echoedIdentity = http::fieldValue(header, HeaderName::identity);
    response.isEchoRequired = isPeer && !this->identityText.empty();
    const AttemptEnd classified = classifyResponse(response);
    if (classified != AttemptEnd::Answered)
        return { classified, ResultCode::UnknownNotDecided };
    if (!isPeer) {
        const bool isShed = !http::fieldValue(header, HeaderName::notRun).empty();
        return { isShed ? AttemptEnd::ShedByServer : AttemptEnd::Answered, ResultCode::Answered };
    }
    // The response to another attempt at the same request must not be taken for the response to this one.
    if (http::fieldValue(header, HeaderName::attempt) != this->attemptNumber())
        return { AttemptEnd::ResponseInvalid, ResultCode::UnknownNotDecided };
    const auto codeNumber = http::fieldNumber(header, HeaderName::result);
    const auto code = codeNumber ? resultCodeFromNumber(static_cast<unsigned>(*codeNumber)) : std::nullopt;
    if (!code)
        return { AttemptEnd::ResponseInvalid, ResultCode::UnknownNotDecided };
    return { AttemptEnd::Answered, *code };
}

RequestHeader RequestSession::headerForServer(const TraceContext& trace) const
{
    RequestHeader header = this->exchange->header();
    eraseHopByHopFields(header);
    header.target(this->upstreamTarget);
    header.set(HeaderName::traceParent, trace.text());
    const auto left = std::chrono::ceil<milliseconds>(this->deadline - Clock::now());
    header.set(HeaderName::deadlineMs, fmt::format("{}", std::max<std::int64_t>(left.count(), 1)));
    return header;
}

RequestHeader RequestSession::headerForPeer(std::string_view hop, const TraceContext& trace) const
{
    RequestHeader header = this->headerForServer(trace);
    header.target(this->exchange->header().target());
    header.set(HeaderName::hop, hop);
    header.set(HeaderName::attempt, this->attemptNumber());
    header.set(HeaderName::requestClass, this->isIdempotent ? "idempotent" : "non-idempotent");
    header.set(HeaderName::callerZone, this->routing->snapshot->zones[this->callerZone].name);
    return header;
}

void RequestSession::setReplyFields(ResponseHeader& header, ResultCode code) const
{
    http::setResultFields(header, code);
    if (!this->identityText.empty())
        header.set(HeaderName::identity, this->identityText);
    const std::string_view receivedAttempt = http::fieldValue(this->exchange->header(), HeaderName::attempt);
    if (!receivedAttempt.empty())
        header.set(HeaderName::attempt, receivedAttempt);
}

std::string RequestSession::attemptNumber() const { return fmt::format("{}", this->attemptEnds.size() + 1); }

Awaitable<void> RequestSession::relayResponse(ResultCode code)
{
    UpstreamResponse& response = this->attempt->response();
    ResponseHeader header = response.header;
    eraseHopByHopFields(header);
    this->setReplyFields(header, code);
    this->finishSpan(code);
    const std::optional<std::uint64_t> total = response.totalBytes;
    Status sent = co_await this->exchange->sendHeader(std::move(header), total);
    if (isOk(sent) && !response.body.empty())
        sent = co_await this->exchange->sendBody(response.body);
    std::string piece(http::relayBufferBytes, '\0');
    bool isComplete = response.isBodyComplete;
    while (isOk(sent) && !isComplete) {
        const asio::mutable_buffer target = asio::buffer(piece);
        const Result<std::size_t> bytes = co_await this->attempt->receiveMore(target);
        if (!isOk(bytes)) {
            logWarning("answer_cut", { { "service", this->service }, { "error", errorOf(bytes).text() } });
            this->exchange->abort();
            co_return;
        }
        isComplete = valueOf(bytes) == 0;
        if (!isComplete)
            sent = co_await this->exchange->sendBody(std::string_view(piece).substr(0, valueOf(bytes)));
    }
    if (isOk(sent))
        co_await this->exchange->endBody();
}

Awaitable<void> RequestSession::reply(ResultCode code)
{
    Response response = http::errorResponse(Error { code, std::string(resultCodeInfo(code).description) });
    this->setReplyFields(response.base(), code);
    this->finishSpan(code);
    co_await this->exchange->respond(std::move(response));
}

Awaitable<void> RequestSession::replyWithStoredResult(ResultCode code, StoredResultPtr result)
{
    if (!result || outcomeOf(code) != Outcome::Answered || !result->isBodyKept) {
        co_await this->reply(code);
        co_return;
    }
    Response response;
    response.result(result->httpStatus);
    for (const auto& [name, value] : result->headers)
        response.set(name, value);
    response.body() = result->body;
    this->setReplyFields(response.base(), code);
    this->finishSpan(code);
    co_await this->exchange->respond(std::move(response));
}

void RequestSession::finishSpan(ResultCode code)
{
    switch (outcomeOf(code)) {
    case Outcome::Answered:
        ++this->state.counters.answered;
        break;
    case Outcome::NotRun:
        ++this->state.counters.notRun;
        break;
    case Outcome::Unknown:
        ++this->state.counters.unknown;
        break;
    }
    this->span.end = WallClock::now();
    this->span.attributes.emplace_back("result", fmt::format("{}", number(code)));
    this->state.spans.write(this->span);
}

} // namespace clementinefall::requests
