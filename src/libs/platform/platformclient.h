#pragma once

#include "base/clock.h"
#include "platform/platformprotocol.h"
#include "platform/transport.h"

#include <map>
#include <memory>
#include <string>

namespace clementinefall::platform {

struct ClientSettings {
    HostPort address;
    milliseconds callTimeout { 2000 };
    double callsPerSecond = 5.0;
    double burst = 20.0;
};

/// Client of the platform's object API, for use on one thread. Each call has a deadline and is not retried: a failed
/// write may have taken effect, and only the code that made it can check that.
class PlatformClient : public std::enable_shared_from_this<PlatformClient> {
public:
    PlatformClient(asio::any_io_executor clientExecutor, ClientSettings clientSettings);

    /// Errors: PlatformNotFound, PlatformUnreachable, PlatformTimeout, PlatformBadAnswer, PlatformBudget.
    Awaitable<Result<VersionedValue>> read(std::string kind, std::string name);

    /// Replaces the object if its version is still \a expectedVersion; with 0, creates it if it does not exist. Returns
    /// the new version. Errors as for read(), and PlatformConflict. After PlatformTimeout or
    /// PlatformUnreachable the write may have taken effect.
    Awaitable<Result<std::uint64_t>> write(
        std::string kind, std::string name, std::string value, std::uint64_t expectedVersion);

    Awaitable<Result<ObjectList>> list(std::string kind);

    /// Waits up to \a wait for a change of the kind after \a revision, then returns all objects of the kind.
    Awaitable<Result<ObjectList>> watch(std::string kind, std::uint64_t revision, milliseconds wait);

    Awaitable<Result<InstanceList>> instances();

    std::uint64_t callCount() const { return this->transport->callCount(); }

private:
    Awaitable<Result<http::Response>> call(http::Request request, milliseconds timeout);

    ClientSettings settings;
    std::shared_ptr<Transport> transport;
};

} // namespace clementinefall::platform
