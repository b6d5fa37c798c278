#pragma once

#include "steering/sharehistory.h"

#include <optional>
#include <string>
#include <string_view>

namespace clementinefall::entry {

/// JSON encoding of the share messages, which are sent in the status call between peers. The parsers return
/// std::nullopt for a malformed text.
std::string serializeShareQuery(const steering::ShareQuery& query);
std::optional<steering::ShareQuery> parseShareQuery(std::string_view text);
std::string serializeShareStatus(const steering::ShareStatus& status);
std::optional<steering::ShareStatus> parseShareStatus(std::string_view text);

} // namespace clementinefall::entry
