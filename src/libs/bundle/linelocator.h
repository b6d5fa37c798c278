#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinefall::bundle::Internal {

/// Lines of the values at \a paths (form `a.b[0].c`) in valid JSON. A path that does not exist gets the line of its
/// nearest existing parent.
std::map<std::string, unsigned> locateLines(std::string_view json, const std::vector<std::string>& paths);

/// Line, from 1, of the byte at \a offset.
unsigned lineAt(std::string_view text, std::size_t offset);

} // namespace clementinefall::bundle::Internal
