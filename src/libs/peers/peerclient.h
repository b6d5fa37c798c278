#pragma once

#include "base/random.h"
#include "membership/messagecodec.h"
#include "peers/peermessages.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace clementinefall::peers {

struct PeerClientSettings {
    membership::ClusterKey key {};
    PeerIdentity self;
    std::size_t maximumConnections = 16;
    milliseconds connectTimeout { 1000 }; ///< For connecting, version negotiation and authentication together.
    milliseconds initialBackoff { 100 };
    milliseconds maximumBackoff { 10'000 };
};

template <typename T> using PeerCallback = std::function<void(Result<T>)>;

/// Calls other entry instances. A connection is opened on the first call to a peer and shared by later calls. The
/// number of connections is bounded. After a failure, a peer is reconnected with jittered exponential backoff; a call
/// during the backoff fails at once. Each callback runs exactly once on the control thread, unless the client is
/// destroyed before. Errors: PeerUnreachable (connection refused or lost, deadline passed, backoff or connection
/// limit), PeerBadAuthenticator, PeerVersion, PeerBadMessage.
class PeerClient {
public:
    PeerClient(boost::asio::io_context& context, PeerClientSettings settings, Random random);
    ~PeerClient();
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    /// Each call completes or fails within \a deadline, including the time to connect.
    void getBundle(
        const HostPort& peer, const BundleQuery& query, milliseconds deadline, PeerCallback<BundleResponse> callback);
    void announce(const HostPort& peer, std::uint64_t version, const std::string& digest, milliseconds deadline,
        PeerCallback<std::monostate> callback);
    void reportCrash(
        const HostPort& peer, const CrashReport& report, milliseconds deadline, PeerCallback<std::monostate> callback);
    void status(
        const HostPort& peer, const std::string& content, milliseconds deadline, PeerCallback<std::string> callback);

    std::size_t connectionCount() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace clementinefall::peers
