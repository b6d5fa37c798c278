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
    milliseconds timeout { 10'000 }; ///< For one server.
};

/// Transport over HTTP/1.1. Goes to the next server when one cannot be reached, and when one gave no answer to a
/// request that is repeatable.
Transport httpTransport(ServerList servers);

} // namespace clementinefall::ctl
