#include "httptransport.h"

#include "http/clientconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace clementinefall::ctl {

namespace {

constexpr std::size_t maximumResponseBytes = 16 * 1024 * 1024;

struct Attempt {
    Result<ApiResponse> response = makeError(ResultCode::PeerUnreachable, "no administration address is configured");
    bool wasSent = false; ///< The server may have received the request.
};

Awaitable<void> exchange(http::Request request, HostPort address, milliseconds timeout, Attempt& attempt)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto connection = std::make_shared<http::ClientConnection>(executor);
    const TimePoint deadline = Clock::now() + timeout;
    const Status connected = co_await connection->connect(address, deadline);
    if (!isOk(connected)) {
        attempt.response = makeError(ResultCode::PeerUnreachable, "{}", errorOf(connected).message);
        co_return;
    }
    const auto response = co_await connection->exchange(std::move(request), maximumResponseBytes, deadline);
    attempt.wasSent = connection->hasSentBytes();
    if (isOk(response))
        attempt.response = ApiResponse { valueOf(response).result_int(), valueOf(response).body() };
    else
        attempt.response = makeError(ResultCode::PeerUnreachable, "{}: {}", address.text(), errorOf(response).message);
    connection->close();
}

Attempt sendToServer(const ServerList& servers, const HostPort& address, const ApiRequest& call)
{
    http::Request request { beast::http::string_to_verb(call.method), call.target, 11 };
    request.set(http::Field::host, address.text());
    request.set(http::Field::authorization, "Bearer " + servers.token);
    request.set("Clementine-Operation", call.operationId);
    if (!call.ifMatch.empty())
        request.set(http::Field::if_match, call.ifMatch);
    request.body() = call.body;
    request.prepare_payload();
    Attempt attempt;
    asio::io_context context(1);
    asio::co_spawn(context, exchange(std::move(request), address, servers.timeout, attempt), asio::detached);
    context.run();
    return attempt;
}

} // namespace

Transport httpTransport(ServerList servers)
{
    return [servers = std::move(servers)](const ApiRequest& call) -> Result<ApiResponse> {
        Attempt attempt;
        for (const HostPort& address : servers.addresses) {
            attempt = sendToServer(servers, address, call);
            if (isOk(attempt.response) || (attempt.wasSent && !call.isRepeatable))
                break;
        }
        return attempt.response;
    };
}

} // namespace clementinefall::ctl
