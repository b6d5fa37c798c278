#pragma once

#include <string>

namespace clementinefall::forwarding {

/// Names of the header fields used between callers, entry instances and backend servers. They differ by deployment and
/// are set by its adapter.
struct WireNames {
    std::string requestId; ///< Identifies one attempt of a caller; echoed by backend servers.
    std::string timeLeft; ///< Time until the caller's deadline, in whole milliseconds.
    std::string expectedServer; ///< The only incarnation that may run the request.
    std::string responseSeal; ///< Proves that a response was created by a backend server.
    std::string notRun; ///< Set when a backend server did not run the request.
    std::string serverLoad; ///< Load of a backend server as `running,waiting,slots`.
    std::string rateLimit; ///< Requests per second that a backend server accepts from all entry instances together.
    std::string serverLeaving; ///< Set to 1 in all responses of a backend server that stops soon.
    std::string healthServerId; ///< In health responses: the incarnation that responds.
    std::string coldRemaining; ///< In health responses: time for which the server stays cold, in whole milliseconds.
    std::string affinityCookie; ///< Name of the cookie with the affinity key.
};

} // namespace clementinefall::forwarding
