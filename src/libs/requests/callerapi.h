#pragma once

#include "http/exchange.h"
#include "requests/connectionpool.h"
#include "requests/trafficstate.h"

#include <memory>

namespace clementinefall::requests {

/// State shared by the exchanges of one traffic thread.
struct TrafficThread {
    TrafficState& state;
    ConnectionPool pool;
    Random random;
};

/// Handles one exchange on the traffic port: a lookup, an issue of identities or a request to a service.
Awaitable<void> handleExchange(std::shared_ptr<http::Exchange> exchange, TrafficThread& thread);

} // namespace clementinefall::requests
