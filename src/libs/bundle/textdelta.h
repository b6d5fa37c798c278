#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

/// Differences between the canonical texts of two bundles. A change of a bundle of hundreds of kilobytes mostly touches
/// one entry, so entry instances send each other deltas.
namespace clementinefall::bundle {

/// Encodes \a after as ranges of \a before and inserted text, as a JSON array: `[offset, length]` or text. The time is
/// linear in the sizes of both.
std::string encodeTextDelta(std::string_view before, std::string_view after);

/// The text that \a delta makes of \a before. The result must be checked by its digest: a delta for another text may
/// apply as well. Error: PeerBadMessage for a malformed delta, a range outside \a before, or a result of more than
/// \a maximumBytes.
Result<std::string> applyTextDelta(std::string_view before, std::string_view delta, std::size_t maximumBytes);

} // namespace clementinefall::bundle
