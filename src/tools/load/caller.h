#pragma once

#include "http/clientconnection.h"
#include "load/records.h"
#include "load/scenario.h"

#include <map>
#include <memory>

namespace clementinefall::load {

/// Callers of one availability zone. They share lookup answers, identities and connections, as the processes of one
/// machine do. All calls must be made on the executor's thread.
class CallerGroup : public std::enable_shared_from_this<CallerGroup> {
public:
    CallerGroup(asio::any_io_executor groupExecutor, std::string zoneName, std::vector<HostPort> seedAddresses);

    /// Makes one request of \a kind. A failed connection leads to the next instance of the lookup answer. A request
    /// whose outcome is unknown is sent again with the same identity through another instance until its deadline;
    /// "answered" and "not run" are final.
    Awaitable<Record> invoke(RequestKind kind, std::uint64_t number);

private:
    struct Call;
    struct Attempt;
    struct Instance {
        HostPort address;
        std::string zone;
    };
    struct Lookup {
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
    Awaitable<std::string> takeIdentity(std::string service, std::vector<Instance> instances, TimePoint deadline);
    Awaitable<Result<std::string>> fetch(HostPort address, http::Verb method, std::string target, TimePoint deadline);
    Awaitable<void> attemptAll(CallPtr call, std::vector<Instance> instances);
    Awaitable<Attempt> attempt(CallPtr call, HostPort address, TimePoint deadline);
    Awaitable<Status> sendRequest(CallPtr call, ConnectionPtr connection, TimePoint deadline);
    Awaitable<Attempt> receiveAnswer(CallPtr call, ConnectionPtr connection, TimePoint deadline);
    Awaitable<ConnectionPtr> acquire(HostPort address, TimePoint deadline);
    void release(const ConnectionPtr& connection);

    asio::any_io_executor executor;
    std::string zone;
    std::vector<HostPort> seeds;
    std::map<std::string, Lookup> lookups;
    std::map<std::string, std::vector<Identity>> identities;
    std::map<std::string, std::vector<ConnectionPtr>> idleConnections;
};

} // namespace clementinefall::load
