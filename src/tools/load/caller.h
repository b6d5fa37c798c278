#pragma once

#include "http/clientconnection.h"
#include "load/records.h"
#include "load/scenario.h"

#include <map>
#include <memory>

namespace clementinefall::load {

/// Callers of one availability zone. They share lookup results, identities and connections, like the processes on one
/// machine. All calls must be made on the executor's thread.
class CallerGroup : public std::enable_shared_from_this<CallerGroup> {
public:
    CallerGroup(asio::any_io_executor groupExecutor, std::string zoneName, std::vector<HostPort> seedAddresses);

    /// Sends one request of \a kind. If the connection fails, the next instance of the lookup result is tried. A
    /// request whose outcome is unknown is retried with the same identity through another instance until its deadline;
    /// the outcomes "answered" and "not run" are final.
    Awaitable<RequestRecord> invoke(RequestKind kind, std::uint64_t number);

private:
    struct Call;
    struct AttemptResult;
    struct Instance {
        HostPort address;
        std::string zone;
    };
    struct LookupResult {
        std::vector<Instance> instances;
        TimePoint expires;
    };
    struct Identity {
        std::string text;
        TimePoint expires;
    };
    using ConnectionPtr = std::shared_ptr<http::ClientConnection>;
    using CallPtr = std::shared_ptr<Call>;

    Awaitable<std::vector<Instance>> lookup(std::string service, TimePoint deadline);
    Awaitable<std::string> acquireIdentity(std::string service, std::vector<Instance> instances, TimePoint deadline);
    Awaitable<Result<std::string>> fetch(HostPort address, http::Verb method, std::string target, TimePoint deadline);
    Awaitable<void> sendWithRetries(CallPtr call, std::vector<Instance> instances);
    Awaitable<AttemptResult> attempt(CallPtr call, HostPort address, TimePoint deadline);
    Awaitable<Status> sendRequest(CallPtr call, ConnectionPtr connection, TimePoint deadline);
    Awaitable<AttemptResult> receiveResponse(CallPtr call, ConnectionPtr connection, TimePoint deadline);
    Awaitable<ConnectionPtr> acquire(HostPort address, TimePoint deadline);
    void release(const ConnectionPtr& connection);

    asio::any_io_executor executor;
    std::string zone;
    std::vector<HostPort> seeds;
    std::map<std::string, LookupResult> lookups;
    std::map<std::string, std::vector<Identity>> identities;
    std::map<std::string, std::vector<ConnectionPtr>> idleConnections;
};

} // namespace clementinefall::load
