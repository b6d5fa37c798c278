#pragma once

#include "base/resultcode.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementinefall::requests {

/// Promise that a history breaks.
enum class ViolationKind : std::uint8_t {
    DoubleRun, ///< P5: more than one effect of a non-idempotent request.
    ForeignAnswer, ///< P3: the answer belongs to another request, or to none.
    CutAnswer, ///< P3: the answer is a part of the right one.
    FalseNotRun, ///< P4: told not run, but there is an effect, before or after.
    UnaskedEffect, ///< An effect that no invocation explains, or of a different request.
    InventedAnswer, ///< Told answered, but nothing ran.
};

std::string_view violationName(ViolationKind kind);

struct Violation {
    ViolationKind kind = ViolationKind::DoubleRun;
    std::string identity;
    std::string text;

    friend bool operator==(const Violation&, const Violation&) = default;
};

/// Records what callers asked and were told, and what backend servers did, and checks the guarantees P3, P4 and P5.
/// Events may be recorded in any order. Idempotent requests take part under an identity of the recorder's choice.
class HistoryChecker {
public:
    /// A caller sends a request; resends need not be recorded again. \a request is its content.
    void noteInvocation(const std::string& identity, const std::string& request, bool isIdempotent);

    /// A caller was told \a code, with the body \a answer when it was told a whole answer.
    void noteAnswer(const std::string& identity, ResultCode code, const std::string& answer);

    /// A backend server ran \a request for \a identity and produced \a answer.
    void noteEffect(
        const std::string& identity, const std::string& server, const std::string& request, const std::string& answer);

    /// All violations, ordered by identity.
    std::vector<Violation> check() const;

    std::size_t invocationCount() const { return this->requests.size(); }

private:
    struct Effect {
        std::string server;
        std::string request;
        std::string answer;
    };
    struct Told {
        ResultCode code = ResultCode::UnknownNotDecided;
        std::string answer;
    };
    struct Request {
        bool isInvoked = false;
        bool isIdempotent = false;
        std::string content;
        std::vector<Effect> effects;
        std::vector<Told> told;
    };

    static void checkEffects(const std::string& identity, const Request& request, std::vector<Violation>& found);
    static void checkTold(
        const std::string& identity, const Request& request, const Told& told, std::vector<Violation>& found);

    std::unordered_map<std::string, Request> requests;
};

} // namespace clementinefall::requests
