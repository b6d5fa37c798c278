#include "requests/historychecker.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace clementinefall::requests {

std::string_view violationName(ViolationKind kind)
{
    switch (kind) {
    case ViolationKind::DuplicateExecution:
        return "double-run";
    case ViolationKind::MismatchedResponse:
        return "foreign-answer";
    case ViolationKind::TruncatedResponse:
        return "cut-answer";
    case ViolationKind::FalseNotRun:
        return "false-not-run";
    case ViolationKind::UnrequestedEffect:
        return "unasked-effect";
    case ViolationKind::FabricatedResponse:
        return "invented-answer";
    }
    return "unknown";
}

void HistoryChecker::recordInvocation(const std::string& identity, const std::string& request, bool isIdempotent)
{
    Request& entry = this->requests[identity];
    entry.isInvoked = true;
    entry.isIdempotent = isIdempotent;
    entry.content = request;
}

void HistoryChecker::recordResponse(const std::string& identity, ResultCode code, const std::string& response)
{
    this->requests[identity].received.push_back({ code, response });
}

void HistoryChecker::recordEffect(
    const std::string& identity, const std::string& server, const std::string& request, const std::string& response)
{
    this->requests[identity].effects.push_back({ server, request, response });
}

std::vector<Violation> HistoryChecker::check() const
{
    std::vector<Violation> found;
    for (const auto& [identity, request] : this->requests) {
        checkEffects(identity, request, found);
        for (const ReceivedResult& received : request.received)
            checkReceived(identity, request, received, found);
    }
    std::sort(found.begin(), found.end(), [](const Violation& left, const Violation& right) {
        return std::tie(left.identity, left.kind, left.text) < std::tie(right.identity, right.kind, right.text);
    });
    return found;
}

void HistoryChecker::checkEffects(const std::string& identity, const Request& request, std::vector<Violation>& found)
{
    if (request.effects.size() > 1 && !request.isIdempotent) {
        found.push_back({ ViolationKind::DuplicateExecution, identity,
            fmt::format("{} effects, the first at {}, the last at {}", request.effects.size(),
                request.effects.front().server, request.effects.back().server) });
    }
    for (const Effect& effect : request.effects) {
        if (!request.isInvoked || effect.request != request.content)
            found.push_back({ ViolationKind::UnrequestedEffect, identity, fmt::format("effect at {}", effect.server) });
    }
}

void HistoryChecker::checkReceived(
    const std::string& identity, const Request& request, const ReceivedResult& received, std::vector<Violation>& found)
{
    const Outcome outcome = outcomeOf(received.code);
    if (outcome == Outcome::NotRun && !request.effects.empty()) {
        found.push_back({ ViolationKind::FalseNotRun, identity,
            fmt::format("reported as not run with code {}, but ran at {}", number(received.code),
                request.effects.front().server) });
    }
    if (outcome != Outcome::Answered)
        return;
    if (request.effects.empty()) {
        found.push_back({ ViolationKind::FabricatedResponse, identity, "answered without an effect" });
        return;
    }
    if (received.code == ResultCode::AnsweredBodyNotKept)
        return;
    const auto isSame = [&received](const Effect& effect) { return effect.response == received.response; };
    if (std::any_of(request.effects.begin(), request.effects.end(), isSame))
        return;
    const auto isPrefix = [&received](const Effect& effect) { return effect.response.starts_with(received.response); };
    const bool isTruncated = std::any_of(request.effects.begin(), request.effects.end(), isPrefix);
    found.push_back({ isTruncated ? ViolationKind::TruncatedResponse : ViolationKind::MismatchedResponse, identity,
        fmt::format("no effect matches the received response of {} bytes", received.response.size()) });
}

} // namespace clementinefall::requests
