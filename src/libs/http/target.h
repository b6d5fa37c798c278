#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::http {

/// Path and query of a request target, percent-decoded.
struct Target {
    std::string path; ///< As received, not decoded, without the query.
    std::vector<std::string> segments;
    std::map<std::string, std::string> query;

    /// Value of a query parameter, empty when it is missing.
    std::string parameter(const std::string& name) const;
};

/// Parses an origin-form target. Gives nothing for a target that does not start with '/', has a bad percent
/// sequence or a control character.
std::optional<Target> parseTarget(std::string_view text);

/// Text as one segment of a path or one value of a query: all bytes but the unreserved characters of RFC 3986
/// section 2.3 are percent-encoded. Names from outside go into a target only so, as they could end or change it.
std::string percentEncoded(std::string_view text);

} // namespace clementinefall::http
