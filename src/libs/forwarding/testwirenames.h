#pragma once

#include "forwarding/wirenames.h"

namespace clementinefall::forwarding {

/// Header names for tests; those of a deployment are set by its adapter.
inline WireNames testWireNames()
{
    return { .requestId = "X-Id",
        .timeLeft = "X-Left",
        .expectedServer = "X-Server",
        .responseSeal = "X-Seal",
        .notRun = "X-Not-Run",
        .serverLoad = "X-Load",
        .rateLimit = "X-Limit",
        .serverLeaving = "X-Leaving",
        .healthServerId = "X-Instance",
        .coldRemaining = "X-Cold",
        .affinityCookie = "object" };
}

} // namespace clementinefall::forwarding
