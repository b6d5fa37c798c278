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

/// Faults that are in force, set through `POST /faults`.
struct Faults {
    TimePoint outageUntil {}; ///< Every call but /faults and /counters fails until then.
    milliseconds slowness { 0 }; ///< Added before each answer.
    unsigned loseAnswers = 0; ///< So many next writes take effect, but their connection breaks before the answer.
    milliseconds listLag { 0 }; ///< Age of the instance list that is served.
    unsigned staleReads = 0; ///< So many next reads give the version before the current one.
};

struct Counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t instanceLists = 0;
    std::uint64_t failedByOutage = 0;
    std::uint64_t answersLost = 0;
    std::uint64_t staleReads = 0;
};

/// Simulator of the platform: objects with versions, conditional updates, watches, a lagging instance list, and
/// faults. Runs on one thread.
class PlatformServer : public std::enable_shared_from_this<PlatformServer> {
public:
    explicit PlatformServer(asio::io_context& ioContext);

    Status listen(const HostPort& address);
    std::uint16_t port() const { return this->server->port(); }
    void close();

private:
    struct Watcher {
        std::string kind;
        std::uint64_t after = 0;
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
    http::Response counterReport() const;
    platform::InstanceList laggingInstances() const;

    asio::io_context& context;
    std::shared_ptr<http::Server> server;
    ObjectStore store;
    Faults faults;
    Counters counters;
    std::list<Watcher> watchers;
    std::map<std::pair<std::string, std::string>, platform::VersionedValue> previousValues;
    platform::InstanceList instances;
    std::deque<std::pair<TimePoint, platform::InstanceList>> instanceHistory; ///< Newest last.
};

} // namespace clementinefall::platform_sim
