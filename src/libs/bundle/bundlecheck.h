#pragma once

#include "base/result.h"
#include "bundle/bundle.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::bundle {

enum class Severity : std::uint8_t {
    Warning, ///< Shown to the operator.
    Error, ///< The bundle cannot be submitted.
};

std::string_view severityName(Severity severity);

/// A problem found in a bundle before it is submitted.
struct Finding {
    ResultCode code = ResultCode::BundleOutOfRange;
    Severity severity = Severity::Error;
    std::string path; ///< For example `services[2].servers[0].zone`; empty for the whole bundle.
    std::string message;
    unsigned line = 0; ///< Line in the source text, from 1; 0 without a source text.

    /// `error 6004 bundle-unknown-reference line 7 services[0].servers[1].zone: ...`.
    std::string text() const;
};

/// Minimum bytes of a request on a link, counting the heads of the request and of the response. Used to compare caps
/// with link budgets.
constexpr std::uint64_t minimumRequestBytes = 512;

/// Checks the consistency between the fields of a bundle. Codes:
/// - BundleUnknownReference: a zone, service, location, region or drain target that does not exist; a warning for an
///   author who is not an operator
/// - BundleDuplicateName: a name, address, key or entry that is used twice
/// - BundleOutOfRange: a malformed key or token digest, a cap or link from a location to itself
/// - BundleZoneUnreachable: a zone without entry instances or a region without links; a warning for a pair of regions
///   without a direct link
/// - BundleCapAboveLink: caps that exceed the link budget at minimumRequestBytes per request, or a cap without a link;
///   a warning when a cap exceeds the budget with requests of the maximum body size
/// - BundleNoSpareZone: a service whose servers are all in one zone, or all drained; only a warning when drains leave
///   servers in one zone, so that an operator can always drain a failing zone, and when the loss of the largest zone
///   leaves less than half of the slots
/// - BundleNotEnoughSignatures: no possible author has enough other operators who may sign off a bundle
std::vector<Finding> checkBundle(const Bundle& bundle);

/// Bundle and findings of a source text.
struct CheckedText {
    std::optional<Bundle> bundle; ///< nullopt when the text could not be parsed.
    std::vector<Finding> findings; ///< With lines.
};

/// Parses and checks a source text. A parse error is returned as the only finding.
CheckedText checkBundleText(std::string_view text);

bool hasErrors(const std::vector<Finding>& findings);

} // namespace clementinefall::bundle
