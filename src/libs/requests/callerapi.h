#pragma once

#include "http/exchange.h"
#include "requests/connectionpool.h"
#include "requests/trafficstate.h"

#include <memory>

namespace clementinefall::requests {

/// What the exchanges of one traffic thread share.
struct TrafficThread {
    TrafficState& state;
    ConnectionPool pool;
    Random random;
};

/// Answers one exchange on the traffic port: lookups, identities and requests.
Awaitable<void> handleExchange(std::shared_ptr<http::Exchange> exchange, TrafficThread& thread);

} // namespace clementinefall::requests
