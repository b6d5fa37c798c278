#pragma once

#include "http/message.h"
#include "requests/requeststeps.h"

#include <string>
#include <string_view>

namespace clementinefall::requests {

/// Removes the fields that belong to one connection or that each hop sets itself.
void eraseHopByHopFields(beast::http::fields& fields);

/// Path after `/v1/services/<service>`, with the query; what a backend server is asked for.
std::string targetWithinService(std::string_view target, std::string_view service);

/// How an attempt to reach the home of an identity ended, for codeOfForward().
ForwardEnd forwardEndOf(AttemptEnd end);

} // namespace clementinefall::requests
