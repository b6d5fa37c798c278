#pragma once

#include "base/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::capacity {

/// A value at one size of the input, measured or stated on the capacity page.
struct Figure {
    std::string name; ///< Ends in the unit; `_us` and `_ns` mark a processor time.
    std::size_t size = 0; ///< Size of the input: number of members, servers, client blocks or objects.
    double value = 0;
};

/// Allowed relative difference of a count, a size or a simulated time. Runs are seeded, but heap sizes vary with the
/// allocator.
inline constexpr double countTolerance = 0.1;
/// Allowed factor between processor times, which depend on the machine and its load.
inline constexpr double processorTimeFactor = 3;

/// Reads the figures between the lines "```capacity" and "```" of \a page, one `name size value` a line. Errors:
/// SettingsOutOfRange if the block is missing or not closed, or a line cannot be read.
Result<std::vector<Figure>> parseFigures(std::string_view page);

/// Compares \a measured with \a stated. Returns one line for each difference beyond the tolerance, for each figure that
/// the page does not state and for each stated figure that was not measured.
std::vector<std::string> compareFigures(const std::vector<Figure>& measured, const std::vector<Figure>& stated);

} // namespace clementinefall::capacity
