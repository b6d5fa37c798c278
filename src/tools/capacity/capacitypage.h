#pragma once

#include "base/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::capacity {

/// One measured or stated point of a slope.
struct Figure {
    std::string name; ///< With the unit as suffix; a name that ends in `_us` or `_ns` is a processor time.
    std::size_t size = 0; ///< What the slope grows with: members, servers or client blocks.
    double value = 0;
};

/// Allowed difference of a count, a size or a simulated time; runs are seeded, but the allocator is not under control.
inline constexpr double countTolerance = 0.1;
/// Allowed factor between processor times. They depend on the machine and on what else runs on it.
inline constexpr double timeFactor = 3;

/// Reads the figures between the lines "```capacity" and "```" of \a page, one `name size value` a line. Errors:
/// SettingsOutOfRange when there is no block or a line cannot be read.
Result<std::vector<Figure>> parseFigures(std::string_view page);

/// Compares \a measured with \a stated. Returns one line for each difference beyond the tolerance, for each figure that
/// the page does not state and for each stated figure that was not measured.
std::vector<std::string> compareFigures(const std::vector<Figure>& measured, const std::vector<Figure>& stated);

} // namespace clementinefall::capacity
