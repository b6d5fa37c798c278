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

/// One result of the checks before submit.
struct Finding {
    ResultCode code = ResultCode::BundleOutOfRange;
    Severity severity = Severity::Error;
    std::string path; ///< Place in the bundle, for example `services[2].servers[0].zone`; empty for the whole.
    std::string message;
    unsigned line = 0; ///< Line in the source text from 1; 0 where there is no source text.

    /// `error 6004 bundle-unknown-reference line 7 services[0].servers[1].zone: ...`.
    std::string text() const;
};

/// Fewest bytes that one request costs on a link, counting both heads. Used to compare caps with link budgets.
constexpr std::uint64_t minimumRequestBytes = 512;

/// Checks what a single field cannot show. Codes:
/// - BundleUnknownReference: a zone, service, location, region or drained thing that does not exist; an author who
///   is no operator is a warning
/// - BundleDuplicateName: a name, address, key or entry that is used twice
/// - BundleOutOfRange: a key or token digest that is not one, a cap or link from a place to itself
/// - BundleZoneUnreachable: a zone without entry instance or a region without link; a warning for a pair of regions
///   without a direct link
/// - BundleCapAboveLink: caps that the link cannot carry at minimumRequestBytes a request, or no link for a cap; a
///   warning when it cannot carry requests of the largest body
/// - BundleNoSpareZone: a service whose servers are all in one zone, or all drained; a warning when only the drains
///   cause the first, so that an operator can always drain a failing zone, and when the loss of the largest zone
///   leaves under half of the slots
/// - BundleNotEnoughSignatures: no author could have a bundle signed off by enough others
std::vector<Finding> checkBundle(const Bundle& bundle);

/// Bundle and findings of a source text.
struct CheckedText {
    std::optional<Bundle> bundle; ///< Empty when the text could not be read as a bundle.
    std::vector<Finding> findings; ///< With lines.
};

/// Parses and checks a source text. A mistake that keeps it from being read is the only finding then.
CheckedText checkBundleText(std::string_view text);

bool hasErrors(const std::vector<Finding>& findings);

} // namespace clementinefall::bundle
