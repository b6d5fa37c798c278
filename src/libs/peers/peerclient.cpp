#include "peers/peerclient.h"

#include "peers/asiostream.h"
#include "peers/challenge.h"
#include "peers/controlloop.h"
#include "peers/peers.capnp.h"
#include "peers/rpchelpers.h"

#include <boost/asio/ip/tcp.hpp>
#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <map>
#include <optional>

namespace clementinefall::peers {

namespace asio = boost::asio;
using boost::system::error_code;
using Internal::dataOf;
using Internal::require;
using Internal::textOf;

namespace {

constexpr std::string_view codePrefix = "code=";

/// Exception that carries a result code through KJ promises; errorFrom() reads the code back.
kj::Exception failure(ResultCode code, std::string_view what)
{
    const std::string text = fmt::format("{}{} {}", codePrefix, number(code), what);
    return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(text.data(), text.size()));
}

Error errorFrom(const kj::Exception& exception)
{
    const std::string text(exception.getDescription().cStr());
    if (text.rfind(codePrefix, 0) == 0) {
        const std::size_t space = text.find(' ');
        const auto code = resultCodeFromNumber(
            static_cast<unsigned>(std::stoul(text.substr(codePrefix.size(), space - codePrefix.size()))));
        return Error { code.value_or(ResultCode::PeerBadMessage), text.substr(space + 1) };
    }
    // The message reader reports a connection that ends in the middle of a message as FAILED, not as DISCONNECTED.
    const bool isLost = exception.getType() == kj::Exception::Type::DISCONNECTED
        || exception.getType() == kj::Exception::Type::OVERLOADED || text.find("EOF") != std::string::npos;
    return Error { isLost ? ResultCode::PeerUnreachable : ResultCode::PeerBadMessage, text };
}

/// Adapts an asynchronous connect to a KJ promise.
class Connector {
public:
    Connector(kj::PromiseFulfiller<kj::Own<AsioStream>>& fulfiller, asio::io_context& context, const HostPort& address)
        : socket(std::make_shared<asio::ip::tcp::socket>(context))
        , aliveFlag(std::make_shared<bool>(true))
    {
        error_code error;
        const auto host = asio::ip::make_address(address.host, error);
        if (error) {
            fulfiller.reject(failure(ResultCode::PeerUnreachable, "peer address is not an IP address"));
            return;
        }
        this->socket->async_connect({ host, address.port },
            [isAlive = this->aliveFlag, connectedSocket = this->socket, &fulfiller](const error_code& result) {
                if (!*isAlive)
                    return;
                if (result)
                    fulfiller.reject(failure(ResultCode::PeerUnreachable, result.message()));
                else
                    fulfiller.fulfill(kj::heap<AsioStream>(std::move(*connectedSocket)));
            });
    }
    ~Connector()
    {
        *this->aliveFlag = false;
        error_code ignored;
        this->socket->close(ignored);
    }
    Connector(const Connector&) = delete;
    Connector& operator=(const Connector&) = delete;

private:
    std::shared_ptr<asio::ip::tcp::socket> socket;
    std::shared_ptr<bool> aliveFlag;
};

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maximumRpcMessageBytes / sizeof(capnp::word);
    return options;
}

/// Parts of an open connection. Each one depends on those before it.
struct OpenConnection {
    explicit OpenConnection(kj::Own<AsioStream> openStream)
        : stream(kj::mv(openStream))
        , network(*this->stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
        , rpc(capnp::makeRpcClient(this->network))
    {
    }
    wire::Gate::Client gate()
    {
        capnp::MallocMessageBuilder message(8);
        auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
        server.setSide(capnp::rpc::twoparty::Side::SERVER);
        return this->rpc.bootstrap(server).castAs<wire::Gate>();
    }

    kj::Own<AsioStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

struct Connection {
    kj::Own<OpenConnection> open;
    std::optional<wire::Peer::Client> peer;
    std::optional<kj::ForkedPromise<void>> ready;
    unsigned callsInFlight = 0;
    TimePoint lastUse;
};

using SharedConnection = std::shared_ptr<Connection>;

struct Backoff {
    unsigned failures = 0;
    TimePoint until;
};

BundleResponse readBundle(wire::Peer::GetBundleResults::Reader results)
{
    BundleResponse response;
    require(static_cast<unsigned>(results.getKind()) <= static_cast<unsigned>(BundleKind::Full)
            && results.getSignOffs().size() <= maximumSignOffs && results.getDigest().size() <= maximumTextBytes,
        "bundle response has a field out of range");
    response.kind = static_cast<BundleKind>(results.getKind());
    response.version = results.getVersion();
    response.digest = textOf(results.getDigest());
    response.content = textOf(results.getContent());
    for (const auto& signOff : results.getSignOffs())
        response.signOffs.push_back({ textOf(signOff.getSigner()), textOf(signOff.getSignature()) });
    return response;
}

} // namespace

class PeerClient::Implementation final : private kj::TaskSet::ErrorHandler {
public:
    Implementation(asio::io_context& clientContext, PeerClientSettings clientSettings, Random clientRandom)
        : context(clientContext)
        , settings(std::move(clientSettings))
        , random(clientRandom)
        , tasks(*this)
    {
    }

    /// Runs \a send with the authenticated peer and passes the result to \a callback.
    template <typename T, typename Send>
    void call(const HostPort& address, milliseconds deadline, PeerCallback<T> callback, Send send)
    {
        const auto shared = std::make_shared<PeerCallback<T>>(std::move(callback));
        const Result<SharedConnection> acquired = this->acquireConnection(address);
        if (!isOk(acquired)) {
            this->tasks.add(kj::evalLater([shared, error = errorOf(acquired)] { (*shared)(Result<T>(error)); }));
            return;
        }
        const SharedConnection connection = valueOf(acquired);
        ++connection->callsInFlight;
        auto ended = kj::defer([connection] { --connection->callsInFlight; });
        auto response = connection->ready->addBranch().then(
            [connection, send = std::move(send)]() mutable { return send(*connection->peer); });
        auto timeout = delayFor(this->context, deadline).then([]() -> kj::Promise<T> {
            return failure(ResultCode::PeerUnreachable, "deadline of the peer call has passed");
        });
        this->tasks.add(response.exclusiveJoin(kj::mv(timeout))
                            .then([shared](T&& value) { (*shared)(Result<T>(std::move(value))); },
                                [this, shared, address, connection](kj::Exception&& exception) {
                                    const Error error = errorFrom(exception);
                                    // A connection that was lost or did not respond in time is not used again.
                                    if (error.code == ResultCode::PeerUnreachable
                                        && this->removeConnection(address, connection) && !connection->peer)
                                        this->delayReconnect(address); // It was never authenticated.
                                    (*shared)(Result<T>(error));
                                })
                            .attach(kj::mv(ended)));
    }

    std::size_t connectionCount() const { return this->connections.size(); }

private:
    /// Returns the connection to \a address, which may still be opening. Errors: PeerUnreachable.
    Result<SharedConnection> acquireConnection(const HostPort& address)
    {
        const std::string key = address.text();
        const TimePoint now = Clock::now();
        const auto found = this->connections.find(key);
        if (found != this->connections.end()) {
            found->second->lastUse = now;
            return found->second;
        }
        const auto backoff = this->backoffs.find(key);
        if (backoff != this->backoffs.end() && now < backoff->second.until)
            return makeError(ResultCode::PeerUnreachable, "reconnection to {} is delayed by its backoff", key);
        if (!this->ensureCapacity())
            return makeError(ResultCode::PeerUnreachable, "connection limit reached and all connections are in use");
        auto connection = std::make_shared<Connection>();
        connection->lastUse = now;
        this->connections[key] = connection;
        auto timeout = delayFor(this->context, this->settings.connectTimeout).then([]() -> kj::Promise<void> {
            return failure(ResultCode::PeerUnreachable, "connecting to the peer timed out");
        });
        // The connection owns the promise, so a weak pointer avoids a reference cycle.
        const std::weak_ptr<Connection> weak = connection;
        connection->ready = this->open(address, connection)
                                .exclusiveJoin(kj::mv(timeout))
                                .then([this, key] { this->backoffs.erase(key); },
                                    [this, address, weak](kj::Exception&& exception) {
                                        this->delayReconnect(address);
                                        this->removeConnection(address, weak.lock());
                                        kj::throwFatalException(kj::mv(exception));
                                    })
                                .fork();
        return connection;
    }

    /// Connects, negotiates a version and authenticates both sides.
    kj::Promise<void> open(const HostPort& address, const SharedConnection& connection)
    {
        // The connection owns the promise, so a plain pointer is valid and avoids a reference cycle.
        Connection* target = connection.get();
        const std::string nonce = makeNonce();
        return kj::newAdaptedPromise<kj::Own<AsioStream>, Connector>(this->context, address)
            .then([this, target, nonce](kj::Own<AsioStream>&& stream) {
                target->open = kj::heap<OpenConnection>(kj::mv(stream));
                auto gate = target->open->gate();
                auto request = gate.helloRequest();
                request.setMinimumVersion(minimumRpcVersion);
                request.setMaximumVersion(maximumRpcVersion);
                request.setNonce(dataOf(nonce));
                request.setName(this->settings.self.name);
                request.setIncarnation(this->settings.self.incarnation);
                return request.send().then(
                    [this, nonce, gate](capnp::Response<wire::Gate::HelloResults>&& hello) mutable {
                        return this->authenticate(gate, nonce, hello);
                    });
            })
            .then([target](capnp::Response<wire::Gate::AuthenticateResults>&& results) -> kj::Promise<void> {
                if (results.getCode() != 0)
                    return failure(ResultCode::PeerBadAuthenticator, "the peer rejected the proof of this instance");
                target->peer = results.getPeer();
                return kj::READY_NOW;
            });
    }

    kj::Promise<capnp::Response<wire::Gate::AuthenticateResults>> authenticate(
        wire::Gate::Client& gate, const std::string& nonce, wire::Gate::HelloResults::Reader hello)
    {
        const std::uint16_t version = hello.getVersion();
        if (hello.getCode() != 0 || version < minimumRpcVersion || version > maximumRpcVersion)
            return failure(ResultCode::PeerVersion, "the peer supports no common RPC version");
        const std::string serverNonce = textOf(hello.getNonce());
        const std::string expected = makeProof(this->settings.key, Side::Server, version, nonce, serverNonce);
        if (!isSameProof(expected, textOf(hello.getProof())))
            return failure(ResultCode::PeerBadAuthenticator, "the proof of the peer does not match");
        auto request = gate.authenticateRequest();
        request.setProof(dataOf(makeProof(this->settings.key, Side::Client, version, nonce, serverNonce)));
        return request.send();
    }

    /// Evicts the least recently used idle connection when the limit is reached. False if all are in use.
    bool ensureCapacity()
    {
        if (this->connections.size() < this->settings.maximumConnections)
            return true;
        auto leastRecent = this->connections.end();
        for (auto it = this->connections.begin(); it != this->connections.end(); ++it) {
            if (it->second->callsInFlight > 0)
                continue;
            if (leastRecent == this->connections.end() || it->second->lastUse < leastRecent->second->lastUse)
                leastRecent = it;
        }
        if (leastRecent == this->connections.end())
            return false;
        this->destroyLater(leastRecent->second);
        this->connections.erase(leastRecent);
        return true;
    }

    /// Destroys a connection from the event loop, because a promise must not destroy itself while it runs.
    void destroyLater(SharedConnection connection)
    {
        this->tasks.add(kj::evalLater([connection = std::move(connection)] {}));
    }

    /// Removes \a connection, unless another one has replaced it. True if it was removed.
    bool removeConnection(const HostPort& address, const SharedConnection& connection)
    {
        const auto found = this->connections.find(address.text());
        if (found == this->connections.end() || found->second != connection)
            return false;
        this->destroyLater(std::move(found->second));
        this->connections.erase(found);
        return true;
    }

    void delayReconnect(const HostPort& address)
    {
        constexpr unsigned maximumDoublings = 10;
        Backoff& backoff = this->backoffs[address.text()];
        const unsigned doublings = std::min(backoff.failures++, maximumDoublings);
        const milliseconds maximumDelay
            = std::min(this->settings.initialBackoff * (1U << doublings), this->settings.maximumBackoff);
        // Half of the delay is random, so that instances do not all reconnect to a restarted peer at once.
        const double factor = 0.5 + 0.5 * randomUnit(this->random);
        backoff.until = Clock::now()
            + milliseconds(static_cast<std::int64_t>(static_cast<double>(maximumDelay.count()) * factor));
    }

    void taskFailed(kj::Exception&&) override { }

    asio::io_context& context;
    PeerClientSettings settings;
    Random random;
    std::map<std::string, SharedConnection> connections;
    std::map<std::string, Backoff> backoffs;
    kj::TaskSet tasks; ///< Destroyed first, because its calls use the members above.
};

PeerClient::PeerClient(asio::io_context& context, PeerClientSettings settings, Random random)
    : implementation(std::make_unique<Implementation>(context, std::move(settings), random))
{
}

PeerClient::~PeerClient() = default;

void PeerClient::getBundle(
    const HostPort& peer, const BundleQuery& query, milliseconds deadline, PeerCallback<BundleResponse> callback)
{
    this->implementation->call<BundleResponse>(
        peer, deadline, std::move(callback), [query](wire::Peer::Client& client) {
            auto request = client.getBundleRequest();
            request.setHaveVersion(query.haveVersion);
            request.setHaveDigest(dataOf(query.haveDigest));
            request.setAcceptsDelta(query.acceptsDelta);
            return request.send().then(
                [](capnp::Response<wire::Peer::GetBundleResults>&& results) { return readBundle(results); });
        });
}

void PeerClient::announce(const HostPort& peer, std::uint64_t version, const std::string& digest, milliseconds deadline,
    PeerCallback<std::monostate> callback)
{
    this->implementation->call<std::monostate>(
        peer, deadline, std::move(callback), [version, digest](wire::Peer::Client& client) {
            auto request = client.announceRequest();
            request.setVersion(version);
            request.setDigest(dataOf(digest));
            return request.send().then(
                [](capnp::Response<wire::Peer::AnnounceResults>&&) { return std::monostate {}; });
        });
}

void PeerClient::reportCrash(
    const HostPort& peer, const CrashReport& report, milliseconds deadline, PeerCallback<std::monostate> callback)
{
    this->implementation->call<std::monostate>(
        peer, deadline, std::move(callback), [report](wire::Peer::Client& client) {
            auto request = client.reportCrashRequest();
            request.setService(report.service);
            request.setServer(report.server);
            request.setFingerprint(dataOf(report.fingerprint));
            request.setWeight(report.weight);
            return request.send().then(
                [](capnp::Response<wire::Peer::ReportCrashResults>&&) { return std::monostate {}; });
        });
}

void PeerClient::status(
    const HostPort& peer, const std::string& content, milliseconds deadline, PeerCallback<std::string> callback)
{
    this->implementation->call<std::string>(peer, deadline, std::move(callback), [content](wire::Peer::Client& client) {
        auto request = client.statusRequest();
        request.setContent(dataOf(content));
        return request.send().then([](capnp::Response<wire::Peer::StatusResults>&& results) {
            require(results.getContent().size() <= maximumStatusBytes, "status response is too long");
            return textOf(results.getContent());
        });
    });
}

std::size_t PeerClient::connectionCount() const { return this->implementation->connectionCount(); }

} // namespace clementinefall::peers
