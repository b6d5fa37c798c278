#pragma once

#include <string>

namespace clementinefall::forwarding {

/// Names of the header fields that a deployment uses between callers, entry instances and backend servers. The
/// deployment's adapter fills them in; a name that is empty is neither read nor sent.
struct WireNames {
    std::string requestId; ///< Identifies one attempt of a caller; backend servers echo it.
    std::string timeLeft; ///< Time that the caller still waits, in whole milliseconds.
    std::string expectedServer; ///< Incarnation that alone may run the request.
    std::string seal; ///< Proof that an answer comes from a backend server.
    std::string notRun; ///< Set when a backend server did not run the request.
    std::string serverLoad; ///< `running,waiting,slots` of a backend server.
    std::string affinityCookie; ///< Cookie that names the object of a request.
};

} // namespace clementinefall::forwarding
