#pragma once

#include "base/clock.h"
#include "http/server.h"
#include "http/target.h"
#include "objectstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace clementinefall::platform_sim {

/// Active faults, set through `/faults`.
struct Faults {
    TimePoint outageUntil {}; ///< Until then every request but /faults and /counters fails.
    milliseconds responseDelay { 0 }; ///< Delay before each request is processed.
    unsigned lostResponsesLeft = 0; ///< Number of writes still to take effect but lose their connection.
    milliseconds listLag { 0 }; ///< Age of the served instance list.
    unsigned staleReadsLeft = 0; ///< Number of reads still to return the previous version.
};

struct Counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t instanceLists = 0;
    std::uint64_t failedByOutage = 0;
    std::uint64_t responsesLost = 0;
    std::uint64_t staleReads = 0;
};

/// Simulator of the platform's API: versioned objects, conditional updates, watches, an instance list that can lag, and
/// faults. Not thread-safe: \a ioContext must run on one thread.
class PlatformServer : public std::enable_shared_from_this<PlatformServer> {
public:
    explicit PlatformServer(asio::io_context& ioContext);

    /// Binds \a address and accepts connections. Errors: those of http::Server::listen().
    Status listen(const HostPort& address);
    std::uint16_t port() const { return this->server->port(); }
    void close();

private:
    struct Watcher {
        std::string kind;
        std::uint64_t afterRevision = 0;
        asio::steady_timer timer;
    };

    Awaitable<void> handle(std::shared_ptr<http::Exchange> exchange);
    Awaitable<http::Response> route(std::shared_ptr<http::Exchange> exchange, const http::Target& target);
    Awaitable<http::Response> handleObject(std::shared_ptr<http::Exchange> exchange, const http::Target& target);
    http::Response readObject(const std::string& kind, const std::string& name);
    http::Response writeObject(
        const http::RequestHeader& header, const std::string& kind, const std::string& name, std::string value);
    http::Response removeObject(const http::RequestHeader& header, const std::string& kind, const std::string& name);
    Awaitable<http::Response> watch(const http::Target& target);
    void notifyWatchers(const std::string& kind);
    http::Response handleInstances(
        const http::RequestHeader& header, const http::Target& target, const std::string& body);
    http::Response setFaults(const std::string& body);
    http::Response countersResponse() const;
    platform::InstanceList servedInstances() const;

    asio::io_context& context;
    std::shared_ptr<http::Server> server;
    ObjectStore store;
    Faults faults;
    Counters counters;
    std::list<Watcher> watchers;
    std::map<std::pair<std::string, std::string>, platform::VersionedValue> previousValues;
    platform::InstanceList instances;
    std::deque<std::pair<TimePoint, platform::InstanceList>> instanceHistory; ///< Oldest first.
};

} // namespace clementinefall::platform_sim
