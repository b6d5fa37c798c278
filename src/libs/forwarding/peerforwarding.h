#pragma once

#include "base/resultcode.h"
#include "base/settings.h"
#include "forwarding/forwardedrequest.h"
#include "forwarding/serverconnection.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// Requests that pass from an entry instance that reaches no backend server to one that does. They arrive on a port of
/// their own, with the header fields and the time left of the caller's request. The receiver sends them to a server or
/// rejects them; it never passes them on.
namespace clementinefall::forwarding {

/// Number of other instances to which one request is passed at most.
inline constexpr std::size_t maximumPeers = 2;

/// Requests of other instances that are under way at this one.
struct PeerRequestLoad {
    std::size_t limit = 0; ///< For the sum over all routes.
    std::size_t total = 0;
    std::size_t ofRoute = 0; ///< Those of the route of the next request.
    std::size_t routes = 0; ///< In the configuration.
};

/// Whether one more request of the route may be taken. Above half of the limit, a route gets no more than an equal
/// part, so that requests that wait for the servers of one route leave room for those of others.
bool hasRoomForPeerRequest(const PeerRequestLoad& load);

/// An entry instance that accepts requests of others.
struct Peer {
    std::string name;
    std::string region;
    HostPort address;
};

/// Chooses the instance for a request, by its position in \a peers. The same object goes to the same instance, which
/// then has learned which servers have it cached; without an object, \a random decides. Instances of the region
/// \a localRegion come first. Only those in \a allowedRegions may receive the request, all if it is empty. Names in \a
/// tried are left out.
std::optional<std::size_t> choosePeer(std::span<const Peer> peers, const std::string& localRegion,
    std::span<const std::string> allowedRegions, std::span<const std::string> tried, std::uint64_t object,
    std::uint64_t random);

/// Number of servers that the other instance may try for a request that may still be sent to \a remaining servers. One
/// is kept, so that the request survives the loss of the other instance.
unsigned serversForPeer(unsigned remaining);

/// Encodes the header of a request for another instance, which may send it to \a maximumServers servers.
std::string encodePeerRequestHead(
    const ForwardedRequest& request, const WireNames& names, unsigned maximumServers, Duration timeLeft);

/// Reads what encodePeerRequestHead() added, and removes it from the fields. Error: BadRequest.
Status decodePeerRequest(ForwardedRequest& request);

/// Encodes the header of a response for another instance, with its outcome, the number of servers to which the request
/// was sent, and the server that created it if that leaves: a status alone does not tell whether a server or the
/// instance created it.
std::string encodePeerResponseHead(const CallerResponse& response, std::optional<std::size_t> bodyBytes);

/// Passes a streamed response of another instance to \a sink, without the fields of the instances.
class PeerResponseSink : public ResponseSink {
public:
    explicit PeerResponseSink(ResponseSink& callerSink)
        : sink(callerSink)
    {
    }

    Awaitable<bool> begin(const CallerResponse& head, std::optional<std::size_t> length) override;
    /// The server that created the response, if it leaves.
    const std::optional<LeavingServer>& leavingServer() const { return this->leaving; }
    Awaitable<bool> write(std::string_view chunk) override { return this->sink.write(chunk); }
    bool canPassOn() const override { return this->sink.canPassOn(); }

private:
    ResponseSink& sink;
    std::optional<LeavingServer> leaving;
};

/// Replaces the end of an attempt by the outcome that the other instance stated, reads what else it stated, and removes
/// these fields. A response without an outcome decides nothing.
void applyPeerOutcome(ServerResponse& response);

} // namespace clementinefall::forwarding
