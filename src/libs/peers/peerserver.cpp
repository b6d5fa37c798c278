#include "peers/peerserver.h"

#include "peers/asiostream.h"
#include "peers/challenge.h"
#include "peers/controlloop.h"
#include "peers/peers.capnp.h"
#include "peers/rpchelpers.h"

#include "base/log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <optional>

namespace clementinefall::peers {

namespace asio = boost::asio;
using boost::system::error_code;
using Internal::dataOf;
using Internal::require;
using Internal::textOf;

namespace {

/// State shared by the RPC objects of one connection. They may outlive the connection while a call is pending.
struct Session {
    const PeerServerSettings* settings = nullptr;
    const PeerHandlers* handlers = nullptr;
    PeerIdentity peer;
    bool isAuthenticated = false;
    TimePoint lastCall;
};

class PeerObject final : public wire::Peer::Server {
public:
    explicit PeerObject(std::shared_ptr<Session> peerSession)
        : session(std::move(peerSession))
    {
    }

protected:
    kj::Promise<void> getBundle(GetBundleContext context) override
    {
        this->session->lastCall = Clock::now();
        const auto parameters = context.getParams();
        const BundleResponse response = this->session->handlers->getBundle({ .haveVersion = parameters.getHaveVersion(),
            .haveDigest = textOf(parameters.getHaveDigest()),
            .acceptsDelta = parameters.getAcceptsDelta() });
        auto results = context.getResults();
        results.setKind(static_cast<wire::BundleKind>(response.kind));
        results.setVersion(response.version);
        results.setDigest(dataOf(response.digest));
        results.setContent(dataOf(response.content));
        auto signOffs = results.initSignOffs(static_cast<unsigned>(response.signOffs.size()));
        for (unsigned i = 0; i < signOffs.size(); ++i) {
            signOffs[i].setSigner(response.signOffs[i].signer);
            signOffs[i].setSignature(dataOf(response.signOffs[i].signature));
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> announce(AnnounceContext context) override
    {
        this->session->lastCall = Clock::now();
        const auto parameters = context.getParams();
        require(parameters.getDigest().size() <= maximumTextBytes, "announced digest is too long");
        this->session->handlers->announce(this->session->peer, parameters.getVersion(), textOf(parameters.getDigest()));
        return kj::READY_NOW;
    }

    kj::Promise<void> reportCrash(ReportCrashContext context) override
    {
        this->session->lastCall = Clock::now();
        const auto parameters = context.getParams();
        CrashReport report { textOf(parameters.getService()), textOf(parameters.getServer()),
            textOf(parameters.getFingerprint()), parameters.getWeight() };
        require(report.service.size() <= maximumTextBytes && report.server.size() <= maximumTextBytes
                && report.fingerprint.size() <= maximumTextBytes,
            "crash report has a field that is too long");
        require(report.weight > 0 && report.weight <= 1, "weight of the crash report is not in (0, 1]");
        this->session->handlers->reportCrash(this->session->peer, report);
        return kj::READY_NOW;
    }

    kj::Promise<void> status(StatusContext context) override
    {
        this->session->lastCall = Clock::now();
        require(context.getParams().getContent().size() <= maximumStatusBytes, "status request is too long");
        const std::string response
            = this->session->handlers->status(this->session->peer, textOf(context.getParams().getContent()));
        context.getResults().setContent(dataOf(response));
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<Session> session;
};

class GateObject final : public wire::Gate::Server {
public:
    explicit GateObject(std::shared_ptr<Session> gateSession)
        : session(std::move(gateSession))
    {
    }

protected:
    kj::Promise<void> hello(HelloContext context) override
    {
        const auto parameters = context.getParams();
        auto results = context.getResults();
        this->version = std::min(maximumRpcVersion, parameters.getMaximumVersion());
        if (this->version < std::max(minimumRpcVersion, parameters.getMinimumVersion())) {
            results.setCode(static_cast<std::uint16_t>(number(ResultCode::PeerVersion)));
            return kj::READY_NOW;
        }
        require(parameters.getNonce().size() == nonceBytes && parameters.getName().size() <= maximumTextBytes,
            "hello has a nonce or name of invalid length");
        this->session->peer = { textOf(parameters.getName()), parameters.getIncarnation() };
        this->clientNonce = textOf(parameters.getNonce());
        this->serverNonce = makeNonce();
        results.setVersion(this->version);
        results.setNonce(dataOf(this->serverNonce));
        results.setProof(dataOf(makeProof(
            this->session->settings->key, Side::Server, this->version, this->clientNonce, this->serverNonce)));
        return kj::READY_NOW;
    }

    kj::Promise<void> authenticate(AuthenticateContext context) override
    {
        const std::string expected = makeProof(
            this->session->settings->key, Side::Client, this->version, this->clientNonce, this->serverNonce);
        // A nonce is valid for one attempt, so that a connection cannot be used to guess proofs.
        const bool hasNonce = !std::exchange(this->serverNonce, std::string()).empty();
        if (!hasNonce || !isSameProof(expected, textOf(context.getParams().getProof()))) {
            logWarning("peer_authentication_failed", { { "peer", this->session->peer.name } });
            context.getResults().setCode(static_cast<std::uint16_t>(number(ResultCode::PeerBadAuthenticator)));
            return kj::READY_NOW;
        }
        this->session->isAuthenticated = true;
        this->session->lastCall = Clock::now();
        context.getResults().setPeer(kj::heap<PeerObject>(this->session));
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<Session> session;
    std::uint16_t version = 0;
    std::string clientNonce;
    std::string serverNonce;
};

struct Connection {
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<Session> connectionSession, std::size_t& openCount)
        : session(std::move(connectionSession))
        , stream(std::move(socket))
        , network(this->stream, capnp::rpc::twoparty::Side::SERVER, readerOptions())
        , rpc(capnp::makeRpcServer(this->network, kj::heap<GateObject>(this->session)))
        , openConnections(openCount)
    {
        ++this->openConnections;
    }
    ~Connection() { --this->openConnections; }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static capnp::ReaderOptions readerOptions()
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = maximumRpcMessageBytes / sizeof(capnp::word);
        return options;
    }

    std::shared_ptr<Session> session;
    AsioStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    std::size_t& openConnections;
};

} // namespace

class PeerServer::Implementation final : public std::enable_shared_from_this<Implementation>,
                                         private kj::TaskSet::ErrorHandler {
public:
    Implementation(asio::io_context& serverContext, PeerServerSettings serverSettings, PeerHandlers serverHandlers)
        : context(serverContext)
        , settings(std::move(serverSettings))
        , handlers(std::move(serverHandlers))
        , acceptor(serverContext)
        , tasks(*this)
    {
    }

    Status listen()
    {
        error_code error;
        const auto address = asio::ip::make_address(this->settings.address.host, error);
        const asio::ip::tcp::endpoint endpoint(address, this->settings.address.port);
        if (!error)
            this->acceptor.open(endpoint.protocol(), error);
        if (!error)
            this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            this->acceptor.bind(endpoint, error);
        if (!error)
            this->acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return makeError(ResultCode::SettingsBadAddress, "{}: {}", this->settings.address.text(), error.message());
        this->accept();
        return okStatus();
    }

    void stop()
    {
        this->isStopped = true;
        error_code ignored;
        this->acceptor.close(ignored);
    }

    std::uint16_t port() const
    {
        error_code ignored;
        return this->acceptor.local_endpoint(ignored).port();
    }

    std::size_t connectionCount() const { return this->openConnections; }

private:
    void accept()
    {
        this->acceptor.async_accept(
            [weak = this->weak_from_this()](const error_code& error, asio::ip::tcp::socket socket) {
                const auto self = weak.lock();
                if (!self || self->isStopped)
                    return;
                if (!error)
                    self->serve(std::move(socket));
                self->accept();
            });
    }

    void serve(asio::ip::tcp::socket socket)
    {
        if (this->openConnections >= this->settings.maximumConnections) {
            logWarning("peer_connection_refused", { { "open", this->openConnections } });
            return; // The socket closes.
        }
        auto session = std::make_shared<Session>();
        session->settings = &this->settings;
        session->handlers = &this->handlers;
        auto connection = kj::heap<Connection>(std::move(socket), session, this->openConnections);
        auto timeouts
            = this->enforceTimeouts(session, connection->stream.closeCallback(), this->settings.authenticationTimeout);
        auto disconnect = connection->network.onDisconnect().exclusiveJoin(kj::mv(timeouts));
        this->tasks.add(disconnect.attach(kj::mv(connection)));
    }

    /// Closes the connection if it has not authenticated within \a wait or is idle for longer than the idle timeout.
    /// The promise is fulfilled when it is closed.
    kj::Promise<void> enforceTimeouts(std::shared_ptr<Session> session, std::function<void()> close, milliseconds wait)
    {
        return delayFor(this->context, wait)
            .then([this, session = std::move(session), close = std::move(close)]() mutable -> kj::Promise<void> {
                const Duration idle = Clock::now() - session->lastCall;
                if (!session->isAuthenticated || idle >= this->settings.idleTimeout) {
                    close();
                    return kj::READY_NOW;
                }
                return this->enforceTimeouts(std::move(session), std::move(close), this->settings.idleTimeout);
            });
    }

    void taskFailed(kj::Exception&& exception) override
    {
        logDebug("peer_connection_failed", { { "reason", exception.getDescription().cStr() } });
    }

    asio::io_context& context;
    PeerServerSettings settings;
    PeerHandlers handlers;
    asio::ip::tcp::acceptor acceptor;
    std::size_t openConnections = 0;
    bool isStopped = false;
    kj::TaskSet tasks; ///< Destroyed first, because its connections use the members above.
};

PeerServer::PeerServer(asio::io_context& context, PeerServerSettings settings, PeerHandlers handlers)
    : implementation(std::make_shared<Implementation>(context, std::move(settings), std::move(handlers)))
{
}

PeerServer::~PeerServer() { this->implementation->stop(); }

Status PeerServer::listen() { return this->implementation->listen(); }

std::uint16_t PeerServer::port() const { return this->implementation->port(); }

std::size_t PeerServer::connectionCount() const { return this->implementation->connectionCount(); }

} // namespace clementinefall::peers
