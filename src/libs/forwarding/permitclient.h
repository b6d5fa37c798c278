#pragma once

#include "base/random.h"
#include "base/settings.h"
#include "forwarding/permitmessage.h"
#include "http/awaitable.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace clementinefall::forwarding {

/// Asks the coordinators of backend servers for permits. A message that is lost costs one server for one request.
class PermitClient : public std::enable_shared_from_this<PermitClient> {
public:
    explicit PermitClient(asio::any_io_executor clientExecutor);

    /// Sends an encoded message to another instance; set by the owner.
    std::function<void(const HostPort& instance, const std::string& text)> send;

    /// Asks \a coordinator for a permit; sets the number of \a request. Empty when no reply arrives within \a timeout.
    /// \a setCancel receives the function that ends the wait, and an empty one afterwards.
    Awaitable<std::optional<PermitReply>> ask(HostPort coordinator, PermitRequest request, Duration timeout,
        std::function<void(std::function<void()>)> setCancel);

    /// Tells \a coordinator about a change of the server's limit.
    void report(const HostPort& coordinator, const std::string& server, const RateLimitState& limit);

    /// Passes on a reply that has arrived. Ignored when nothing waits for it any more.
    void receive(const PermitReply& reply);

private:
    struct Pending {
        asio::steady_timer timer;
        std::optional<PermitReply> reply;
    };

    asio::any_io_executor executor;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending; ///< By the number of the request.
    std::uint64_t lastNumber; ///< Starts at random: replies to a process before this one must not match.
};

} // namespace clementinefall::forwarding
