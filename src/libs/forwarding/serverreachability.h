#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "forwarding/servercatalog.h"

#include <map>
#include <string>
#include <vector>

/// Whether this entry instance can reach the backend servers. From one connection, an instance that has lost its links
/// looks like a server that has failed, so failures at several servers are verified by connecting to others. The
/// decisions are free functions over a plain struct.
namespace clementinefall::forwarding {

/// Number of servers with failed connections that causes a verification.
inline constexpr std::size_t suspiciousFailures = 2;

/// Failures longer ago are not related to the newest one.
inline constexpr milliseconds failureMemory { 2000 };

/// Number of servers to which a verification connects, and the minimum time from one to the next.
inline constexpr std::size_t verifiedServers = 3;
inline constexpr milliseconds verificationInterval { 400 };

struct ServerReachability {
    /// Servers that could not be connected to, or that lost a connection, since the last successful connect; with the
    /// time of the last failure.
    std::map<std::string, TimePoint> failures;
    TimePoint failingSince {}; ///< First of the failures; unset without any.
    bool isStranded = false; ///< This instance reaches no backend server.
    bool isVerifying = false;
    TimePoint verifiedAt {}; ///< Start of the last verification.
};

void recordServerFailure(ServerReachability& reachability, const std::string& server, TimePoint now);

/// A new connection to a server was established.
void recordServerConnected(ServerReachability& reachability);

/// Whether enough servers failed recently that this instance may be stranded.
bool isSuspicious(const ServerReachability& reachability, TimePoint now);

/// Whether to connect to some servers now: to verify a suspicion, or to find out whether a stranded instance reaches
/// them again.
bool isVerificationDue(const ServerReachability& reachability, TimePoint now);

/// The servers to connect to: usable ones without a recent failure first, then those of the own region, otherwise at
/// random. At most `verifiedServers`.
std::vector<ServerPointer> serversToVerify(
    const ServerReachability& reachability, const std::vector<ServerPointer>& servers, Random& random);

/// Applies the result of connecting to \a attempted servers, of which \a connected accepted. An instance becomes
/// stranded when it reaches none, and recovers when it reaches most of them: after half of a network partition has
/// healed, the others serve its callers better. Returns whether the state changed.
bool recordVerification(ServerReachability& reachability, std::size_t attempted, std::size_t connected);

} // namespace clementinefall::forwarding
