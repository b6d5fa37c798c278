#pragma once

#include "bundle/bundle.h"

#include <string>
#include <vector>

namespace clementinefall::bundle {

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };

/// One difference. List entries are named by their identifying fields, not by position:
/// `services[sellos].servers[s1].slots`, `shiftCaps[sellos sur andes].perSecond`, `drains[zone sur-a]`.
struct Change {
    ChangeKind kind = ChangeKind::Changed;
    std::string path;
    std::string before; ///< JSON; empty for Added.
    std::string after; ///< JSON; empty for Removed.

    /// `+ path: after`, `- path: before` or `~ path: before -> after`.
    std::string text() const;
};

/// Differences from \a before to \a after in the order of the canonical JSON. Reordered entries of a list are reported
/// as one change of the list.
std::vector<Change> diffBundles(const Bundle& before, const Bundle& after);

} // namespace clementinefall::bundle
