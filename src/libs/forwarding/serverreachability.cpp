#include "forwarding/serverreachability.h"

#include <algorithm>

namespace clementinefall::forwarding {

void recordServerFailure(ServerReachability& reachability, const std::string& server, TimePoint now)
{
    std::erase_if(reachability.failures, [now](const auto& failure) { return now - failure.second > failureMemory; });
    if (reachability.failures.empty())
        reachability.failingSince = now;
    reachability.failures[server] = now;
}

void recordServerConnected(ServerReachability& reachability)
{
    reachability.failures.clear();
    reachability.failingSince = {};
}

bool isSuspicious(const ServerReachability& reachability, TimePoint now)
{
    const auto recent = std::count_if(reachability.failures.begin(), reachability.failures.end(),
        [now](const auto& failure) { return now - failure.second <= failureMemory; });
    return static_cast<std::size_t>(recent) >= suspiciousFailures;
}

bool isVerificationDue(const ServerReachability& reachability, TimePoint now)
{
    if (reachability.isVerifying || now - reachability.verifiedAt < verificationInterval)
        return false;
    return reachability.isStranded || isSuspicious(reachability, now);
}

std::vector<ServerPointer> serversToVerify(
    const ServerReachability& reachability, const std::vector<ServerPointer>& servers, Random& random)
{
    std::vector<ServerPointer> candidates;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(candidates),
        [](const ServerPointer& server) { return isUsable(*server); });
    std::shuffle(candidates.begin(), candidates.end(), random);
    const auto rank = [&](const ServerPointer& server) {
        return std::pair { reachability.failures.contains(server->entry.id),
            server->locality == Locality::OtherRegion };
    };
    std::stable_sort(candidates.begin(), candidates.end(),
        [&](const ServerPointer& left, const ServerPointer& right) { return rank(left) < rank(right); });
    if (candidates.size() > verifiedServers)
        candidates.resize(verifiedServers);
    return candidates;
}

bool recordVerification(ServerReachability& reachability, std::size_t attempted, std::size_t connected)
{
    reachability.isVerifying = false;
    const bool wasStranded = reachability.isStranded;
    if (attempted == 0)
        return false;
    if (!wasStranded)
        reachability.isStranded = connected == 0;
    else
        reachability.isStranded = 2 * connected <= attempted;
    if (connected > 0 && !reachability.isStranded)
        recordServerConnected(reachability);
    return reachability.isStranded != wasStranded;
}

} // namespace clementinefall::forwarding
