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

/// Forwards one request from a caller or another entry instance to a backend server and relays the response.
/// Runs on the thread of the caller's connection; run() keeps the session alive until it ends.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
    RequestSession(TrafficState& trafficState, ConnectionPool& connectionPool, std::shared_ptr<http::Exchange> source,
        std::string serviceName, Random randomSource);

    /// Processes the request until its response is sent.
    static Awaitable<void> run(std::shared_ptr<RequestSession> session);

private:
    struct AttemptResult {
        AttemptEnd end = AttemptEnd::NothingWritten;
        ResultCode peerCode = ResultCode::Answered; ///< Result code in the response of another entry instance.
    };

    Awaitable<void> process();
    std::optional<ResultCode> readRequest();
    Awaitable<Status> receivePrefix();
    Awaitable<void> runDirect();
    Awaitable<void> runAsHome(std::uint64_t sequence);
    Awaitable<void> runAsForwarder(Identity home);
    Awaitable<void> executeAtHome(std::uint64_t sequence);
    Awaitable<void> awaitRunningCopy(std::uint64_t sequence, std::uint64_t waiterId);

    /// Makes attempts until one is answered or no further one is allowed. Returns the result code for the caller.
    Awaitable<ResultCode> makeAttempts(bool isIdempotent, bool isRetryAllowed);
    /// Returns false, with the reason in codeWithoutAttempt, when no backend server or entry instance is left to try.
    Awaitable<bool> makeOneAttempt();
    Awaitable<AttemptResult> attemptServer(TrafficState::AcquiredServer server);
    Awaitable<AttemptResult> attemptPeer(steering::Index instance);
    std::optional<steering::Index> choosePeer();
    http::RequestHeader headerForServer(const TraceContext& trace) const;
    http::RequestHeader headerForPeer(std::string_view hop, const TraceContext& trace) const;
    steering::AttemptOutcome outcomeForServerTable(AttemptEnd end, TimePoint startedAt) const;
    AttemptResult classify(AttemptEnd end, bool isPeer) const;

    Awaitable<void> relayResponse(ResultCode code);
    Awaitable<void> reply(ResultCode code);
    Awaitable<void> replyWithStoredResult(ResultCode code, StoredResultPtr result);
    StoredResult storedResponse() const;
    Hash128 requestHash() const;
    /// Decimal number of the current attempt, counted from 1. The entry instance that executes the attempt echoes it.
    std::string attemptNumber() const;
    void setReplyFields(http::ResponseHeader& header, ResultCode code) const;
    void onCallerDisconnected();
    /// Counts the outcome of the request and writes its span.
    void finishSpan(ResultCode code);
    ResultCode rejectionCode(ResultCode reason) const { return codeOfRejection(this->role, reason); }

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

    std::vector<AttemptEnd> attemptEnds;
    std::vector<steering::ServerPosition> triedServers;
    std::vector<steering::Index> triedPeers;
    ResultCode codeWithoutAttempt = ResultCode::NotRunNoCapacity; ///< Result of a request without any attempt.
    std::unique_ptr<UpstreamAttempt> attempt;
    bool isCallerDisconnected = false;

    std::optional<asio::steady_timer> waitTimer;
    StoredResultPtr awaitedResult;

    Span span;
};

} // namespace clementinefall::requests
