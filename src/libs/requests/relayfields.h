#pragma once

#include "http/message.h"
#include "requests/requeststeps.h"

#include <string>
#include <string_view>

namespace clementinefall::requests {

/// Removes the hop-by-hop fields and those that each hop sets itself.
void eraseHopByHopFields(beast::http::fields& fields);

/// Request target for a backend server: the path after `/v1/services/<service>`, with the query.
std::string targetWithinService(std::string_view target, std::string_view service);

/// Converts the end of an attempt to reach the home of an identity for codeOfForward().
ForwardEnd forwardEndOf(AttemptEnd end);

} // namespace clementinefall::requests
