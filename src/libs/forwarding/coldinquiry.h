#pragma once

#include "forwarding/servercatalog.h"
#include "forwarding/wirenames.h"
#include "http/clientconnection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// Asking backend servers whether they are cold. While the store's word about servers and evacuations is old, an
/// instance may send to servers that have become cold meanwhile; their health responses say so. Answers outages of the
/// store and network partitions during evacuations.
namespace clementinefall::forwarding {

struct ColdInquiryTiming {
    /// Between two questions to the same server. Before it is known to be cold, a server may get what all instances
    /// send in this time.
    milliseconds interval { 250 };
    /// A question waits for a slot of the server, like a request.
    milliseconds timeout { 1000 };
    std::size_t maximumPerSecond = 100; ///< Questions of one instance.
    /// Servers of other regions are asked while they are in use: until this time after their last response.
    milliseconds useRetention { 2000 };
};

/// Whether servers are to be asked. \a knowledgeAge is that of the store's word about servers and evacuations, which
/// changes must reach within \a changeBound. While the store responds, also after a lost answer, the age stays lower.
bool isColdInquiryNeeded(Duration knowledgeAge, Duration changeBound);

/// What is known of one server from its own responses.
struct AskedServer {
    TimePoint askedAt {};
    bool isPending = false; ///< A question is under way.
    TimePoint coldUntil {};
};

/// The servers to ask at \a now, of those for which \a isAsker holds. When they are more than allowed, those come first
/// that were asked longest ago.
std::vector<ServerPointer> serversToAsk(std::span<const ServerPointer> servers,
    const std::map<std::string, AskedServer>& asked, const std::function<bool(const BackendServer&)>& isAsker,
    const ColdInquiryTiming& timing, TimePoint now);

/// How long the server \a id stays cold by its health response; nothing when it does not say so, or when the response
/// is another server's.
std::optional<Duration> statedColdTime(const http::ResponseHeader& header, const WireNames& names, std::string_view id);

/// Asks the backend servers and records the answers in the catalog. Not thread-safe: all calls are made on the
/// executor's thread.
class ColdInquiry : public std::enable_shared_from_this<ColdInquiry> {
public:
    ColdInquiry(asio::any_io_executor inquiryExecutor, std::shared_ptr<ServerCatalog> serverCatalog,
        WireNames wireNames, ColdInquiryTiming inquiryTiming = {});

    /// Whether this instance asks the server for all that need to know.
    std::function<bool(const BackendServer&)> isAsker;
    /// Path of the health check of a service; empty when it is not known.
    std::function<std::string(const std::string& service)> healthPath;
    /// Called when servers have said that they are cold that were not known to be, soon after the first answer.
    std::function<void()> onFound;

    /// Asks those servers that are due. To be called several times per second.
    void update(bool isNeeded, TimePoint now);
    bool isActive() const { return this->active; }
    /// Remaining cold times of the servers that have told this instance.
    std::map<std::string, Duration> coldServers(TimePoint now) const;

private:
    Awaitable<void> ask(ServerPointer server, std::string path);
    Awaitable<Result<http::Response>> exchange(ServerPointer server, std::string path);
    void recordAnswer(const ServerPointer& server, Duration coldTime, TimePoint now);
    Awaitable<void> tellSoon();

    asio::any_io_executor executor;
    std::shared_ptr<ServerCatalog> catalog;
    WireNames names;
    ColdInquiryTiming timing;
    std::map<std::string, AskedServer> asked; ///< By the id of the server.
    std::map<std::string, std::shared_ptr<http::ClientConnection>> idle; ///< By the id of the server.
    bool active = false;
    bool isTelling = false;
};

} // namespace clementinefall::forwarding
