#include "requests/historychecker.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace clementinefall::requests {

std::string_view violationName(ViolationKind kind)
{
    switch (kind) {
    case ViolationKind::DoubleRun:
        return "double-run";
    case ViolationKind::ForeignAnswer:
        return "foreign-answer";
    case ViolationKind::CutAnswer:
        return "cut-answer";
    case ViolationKind::FalseNotRun:
        return "false-not-run";
    case ViolationKind::UnaskedEffect:
        return "unasked-effect";
    case ViolationKind::InventedAnswer:
        return "invented-answer";
    }
    return "unknown";
}

void HistoryChecker::noteInvocation(const std::string& identity, const std::string& request, bool isIdempotent)
{
    Request& entry = this->requests[identity];
    entry.isInvoked = true;
    entry.isIdempotent = isIdempotent;
    entry.content = request;
}

void HistoryChecker::noteAnswer(const std::string& identity, ResultCode code, const std::string& answer)
{
    this->requests[identity].told.push_back({ code, answer });
}

void HistoryChecker::noteEffect(
    const std::string& identity, const std::string& server, const std::string& request, const std::string& answer)
{
    this->requests[identity].effects.push_back({ server, request, answer });
}

std::vector<Violation> HistoryChecker::check() const
{
    std::vector<Violation> found;
    for (const auto& [identity, request] : this->requests) {
        checkEffects(identity, request, found);
        for (const Told& told : request.told)
            checkTold(identity, request, told, found);
    }
    std::sort(found.begin(), found.end(), [](const Violation& left, const Violation& right) {
        return std::tie(left.identity, left.kind, left.text) < std::tie(right.identity, right.kind, right.text);
    });
    return found;
}

void HistoryChecker::checkEffects(const std::string& identity, const Request& request, std::vector<Violation>& found)
{
    if (request.effects.size() > 1 && !request.isIdempotent) {
        found.push_back({ ViolationKind::DoubleRun, identity,
            fmt::format("{} effects, the first at {}, the last at {}", request.effects.size(),
                request.effects.front().server, request.effects.back().server) });
    }
    for (const Effect& effect : request.effects) {
        if (!request.isInvoked || effect.request != request.content)
            found.push_back({ ViolationKind::UnaskedEffect, identity, fmt::format("effect at {}", effect.server) });
    }
}

void HistoryChecker::checkTold(
    const std::string& identity, const Request& request, const Told& told, std::vector<Violation>& found)
{
    const Outcome outcome = outcomeOf(told.code);
    if (outcome == Outcome::NotRun && !request.effects.empty()) {
        found.push_back({ ViolationKind::FalseNotRun, identity,
            fmt::format("told {} but ran at {}", number(told.code), request.effects.front().server) });
    }
    if (outcome != Outcome::Answered)
        return;
    if (request.effects.empty()) {
        found.push_back({ ViolationKind::InventedAnswer, identity, "answered without an effect" });
        return;
    }
    if (told.code == ResultCode::AnsweredBodyNotKept)
        return;
    const auto isOwn = [&told](const Effect& effect) { return effect.answer == told.answer; };
    if (std::any_of(request.effects.begin(), request.effects.end(), isOwn))
        return;
    const auto isPart = [&told](const Effect& effect) { return effect.answer.starts_with(told.answer); };
    const bool isCut = std::any_of(request.effects.begin(), request.effects.end(), isPart);
    found.push_back({ isCut ? ViolationKind::CutAnswer : ViolationKind::ForeignAnswer, identity,
        fmt::format("told {} bytes", told.answer.size()) });
}

} // namespace clementinefall::requests
