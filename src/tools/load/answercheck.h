#pragma once

#include "load/records.h"

#include <optional>

namespace clementinefall::load {

/// What the body of a backend server's answer must say.
struct ExpectedAnswer {
    std::string path;
    std::string identity; ///< Empty: any.
    std::uint64_t bodyBytes = 0;
    std::string bodyHash;
    std::uint64_t fillerBytes = 0;
};

/// Checks a body as its pieces arrive, with bounded memory.
class AnswerChecker {
public:
    explicit AnswerChecker(ExpectedAnswer answer)
        : expected(std::move(answer))
    {
    }

    void update(std::string_view piece);
    /// Verdict after the last piece.
    AnswerCheck finish() const;

private:
    void checkLine();
    void checkFiller(std::string_view piece);

    ExpectedAnswer expected;
    std::string line;
    std::string identity;
    std::string scratch;
    std::uint64_t fillerSeen = 0;
    bool lineComplete = false;
    bool isForeign = false;
    bool isDamaged = false;
};

} // namespace clementinefall::load
