#pragma once

#include "base/clock.h"
#include "base/settings.h"
#include "commands.h"

#include <string>
#include <vector>

namespace clementinefall::ctl {

struct ServerList {
    std::vector<HostPort> addresses; ///< Administration addresses of entry instances, tried in order.
    std::string token; ///< API token of the operator.
    milliseconds timeout { 10'000 }; ///< Limit for the exchange with one server.
};

/// Transport over HTTP/1.1. Tries the next server if one cannot be reached, or if one does not respond to a repeatable
/// request.
Transport httpTransport(ServerList servers);

} // namespace clementinefall::ctl
