#pragma once

#include "forwarding/wirenames.h"

namespace clementinefall::forwarding {

/// Header names for tests; the real ones are the adapter's matter.
inline WireNames testNames()
{
    return { .requestId = "X-Id",
        .timeLeft = "X-Left",
        .expectedServer = "X-Server",
        .seal = "X-Seal",
        .notRun = "X-Not-Run",
        .serverLoad = "X-Load",
        .affinityCookie = "object" };
}

} // namespace clementinefall::forwarding
