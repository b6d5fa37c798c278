#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::fuzz {

/// A request whose begin and end are certain by RFC 9112, sections 2 to 7.
struct FramedRequest {
    std::string method;
    std::string target;
    std::string id; ///< Empty without an id field.

    bool operator==(const FramedRequest&) const = default;
};

/// Reads the requests at the begin of \a bytes, as strictly as RFC 9112 allows, up to the first one that is incomplete
/// or whose framing is not certain. Independent of the parser that the entry instance uses.
std::vector<FramedRequest> readFramedRequests(std::string_view bytes, std::string_view idField);

} // namespace clementinefall::fuzz
