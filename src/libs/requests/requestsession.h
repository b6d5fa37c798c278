#pragma once

#include "http/exchange.h"
#include "requests/requeststeps.h"
#include "requests/trafficstate.h"
#include "requests/upstreamattempt.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementinefall::requests {

/// Carries one request from its caller, or from another entry instance, to a backend server and the answer back.
/// Owns itself while it runs, on the thread of the caller's connection.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
    RequestSession(TrafficState& trafficState, ConnectionPool& connectionPool, std::shared_ptr<http::Exchange> source,
        std::string serviceName, Random randomSource);

    /// Runs the request to its end.
    static Awaitable<void> run(std::shared_ptr<RequestSession> session);

private:
    struct Attempt {
        AttemptEnd end = AttemptEnd::NothingWritten;
        ResultCode peerCode = ResultCode::Answered; ///< Code in the answer of another entry instance.
    };

    Awaitable<void> process();
    std::optional<ResultCode> readRequest();
    Awaitable<Status> receivePrefix();
    Awaitable<void> runDirect();
    Awaitable<void> runAsHome(std::uint64_t sequence);
    Awaitable<void> runAsForwarder(Identity home);
    Awaitable<void> executeAtHome(std::uint64_t sequence);
    Awaitable<void> awaitOtherCopy(std::uint64_t sequence, std::uint64_t ticket);

    /// Makes attempts until one is answered or no other may be made; returns the code to tell.
    Awaitable<ResultCode> makeAttempts(bool isIdempotent, bool retryAllowed);
    Awaitable<bool> makeOneAttempt();
    Awaitable<Attempt> attemptServer(TrafficState::TakenServer server);
    Awaitable<Attempt> attemptPeer(steering::Index instance);
    std::optional<steering::Index> choosePeer();
    http::RequestHeader headerForServer(const TraceContext& trace) const;
    http::RequestHeader headerForPeer(std::string_view hop, const TraceContext& trace) const;
    steering::AttemptOutcome outcomeForTable(AttemptEnd end, TimePoint startedAt) const;
    Attempt classify(AttemptEnd end, bool isPeer) const;

    Awaitable<void> relayAnswer(ResultCode code);
    Awaitable<void> reply(ResultCode code);
    Awaitable<void> replyStored(ResultCode code, StoredResultPtr result);
    StoredResult storedAnswer() const;
    Hash128 requestHash() const;
    /// Number of the running attempt, echoed by the entry instance that makes it.
    std::string attemptLabel() const;
    void setReplyFields(http::ResponseHeader& header, ResultCode code) const;
    void onCallerLeft();
    void finishSpan(ResultCode code);
    ResultCode refusalOf(ResultCode reason) const { return codeOfRefusal(this->role, reason); }

    TrafficState& state;
    ConnectionPool& pool;
    std::shared_ptr<http::Exchange> exchange;
    std::string service;
    Random random;

    std::shared_ptr<const PublishedRouting> routing;
    steering::Index serviceIndex = 0;
    steering::Index callerZone = 0;
    RequestRole role = RequestRole::Direct;
    std::string identityText;
    bool isIdempotent = true;
    TimePoint deadline;
    std::string upstreamTarget;
    RequestBody body;

    std::vector<AttemptEnd> ends;
    std::vector<steering::ServerPosition> triedServers;
    std::vector<steering::Index> triedPeers;
    ResultCode withoutAttempt = ResultCode::NotRunNoCapacity;
    std::unique_ptr<UpstreamAttempt> attempt;
    bool callerLeft = false;

    std::optional<asio::steady_timer> waitTimer;
    StoredResultPtr awaitedResult;

    Span span;
};

} // namespace clementinefall::requests
