#pragma once

#include "load/records.h"

#include <optional>

namespace clementinefall::load {

/// Expected contents of a backend server's response body: a JSON line about the request, then filler bytes.
struct ExpectedResponse {
    std::string path; ///< Path of the request as the backend server receives it.
    std::string identity; ///< Identity of the request; empty: any.
    std::uint64_t bodyBytes = 0; ///< Length of the request body.
    std::string bodyHash; ///< Hash of the request body in hexadecimal.
    std::uint64_t fillerBytes = 0; ///< Length of the filler after the JSON line.
};

/// Checks a response body incrementally, with bounded memory.
class ResponseChecker {
public:
    explicit ResponseChecker(ExpectedResponse response)
        : expected(std::move(response))
    {
    }

    void update(std::string_view piece);
    /// Returns the result after the last piece.
    ResponseCheck finish() const;

private:
    void checkLine();
    void checkFiller(std::string_view piece);

    ExpectedResponse expected;
    std::string line;
    std::string identity;
    std::string expectedFiller;
    std::uint64_t receivedFillerBytes = 0;
    bool lineComplete = false;
    bool isOtherRequest = false;
    bool isCorrupted = false;
};

} // namespace clementinefall::load
