#include "platform/platformclient.h"

#include "http/target.h"

namespace clementinefall::platform {

using http::Field;
using http::Request;
using http::Response;
using http::Verb;

namespace {

Error statusError(const Request& request, const Response& response)
{
    const unsigned status = response.result_int();
    const std::string what = fmt::format(
        "{} {} gave status {}", std::string(request.method_string()), std::string(request.target()), status);
    if (status == 404)
        return makeError(ResultCode::PlatformNotFound, "{}", what);
    if (status == 412)
        return makeError(ResultCode::PlatformConflict, "{}", what);
    if (status >= 500)
        return makeError(ResultCode::PlatformUnreachable, "{}", what);
    return makeError(ResultCode::PlatformBadAnswer, "{}", what);
}

Request requestFor(Verb verb, const std::string& target) { return Request { verb, target, 11 }; }

std::string targetOf(const std::string& kind, const std::string& name)
{
    return fmt::format("/objects/{}/{}", http::percentEncoded(kind), http::percentEncoded(name));
}

} // namespace

PlatformClient::PlatformClient(asio::any_io_executor clientExecutor, ClientSettings clientSettings)
    : settings(std::move(clientSettings))
    , transport(std::make_shared<Transport>(std::move(clientExecutor),
          TransportSettings { this->settings.address, this->settings.callsPerSecond, this->settings.burst }))
{
}

Awaitable<Result<Response>> PlatformClient::call(Request request, milliseconds timeout)
{
    const auto self = this->shared_from_this();
    Request copy = request;
    const Result<Response> response = co_await this->transport->call(std::move(copy), timeout);
    if (isOk(response) && valueOf(response).result_int() >= 300)
        co_return statusError(request, valueOf(response));
    co_return response;
}

Awaitable<Result<VersionedValue>> PlatformClient::read(std::string kind, std::string name)
{
    Request request = requestFor(Verb::get, targetOf(kind, name));
    const Result<Response> response = co_await this->call(std::move(request), this->settings.callTimeout);
    if (!isOk(response))
        co_return errorOf(response);
    const auto version = parseEntityTag(http::fieldValue(valueOf(response), "ETag"));
    if (!isOk(version))
        co_return errorOf(version);
    co_return VersionedValue { valueOf(response).body(), valueOf(version) };
}

Awaitable<Result<std::uint64_t>> PlatformClient::write(
    std::string kind, std::string name, std::string value, std::uint64_t expectedVersion)
{
    if (value.size() > maximumValueBytes)
        co_return makeError(ResultCode::BodyTooLarge, "{}/{}: the value has {} bytes, limit {}", kind, name,
            value.size(), maximumValueBytes);
    Request request = requestFor(Verb::put, targetOf(kind, name));
    if (expectedVersion == 0)
        request.set(Field::if_none_match, "*");
    else
        request.set(Field::if_match, formatEntityTag(expectedVersion));
    request.body() = std::move(value);
    const Result<Response> response = co_await this->call(std::move(request), this->settings.callTimeout);
    if (!isOk(response))
        co_return errorOf(response);
    co_return parseEntityTag(http::fieldValue(valueOf(response), "ETag"));
}

Awaitable<Result<ObjectList>> PlatformClient::list(std::string kind)
{
    Request request = requestFor(Verb::get, "/objects/" + http::percentEncoded(kind));
    const Result<Response> response = co_await this->call(std::move(request), this->settings.callTimeout);
    if (!isOk(response))
        co_return errorOf(response);
    co_return parseObjectList(valueOf(response).body());
}

Awaitable<Result<ObjectList>> PlatformClient::watch(std::string kind, std::uint64_t revision, milliseconds wait)
{
    Request request = requestFor(
        Verb::get, fmt::format("/watch/{}?after={}&waitMs={}", http::percentEncoded(kind), revision, wait.count()));
    const milliseconds timeout = wait + this->settings.callTimeout;
    const Result<Response> response = co_await this->call(std::move(request), timeout);
    if (!isOk(response))
        co_return errorOf(response);
    co_return parseObjectList(valueOf(response).body());
}

Awaitable<Result<InstanceList>> PlatformClient::instances()
{
    Request request = requestFor(Verb::get, "/instances");
    const Result<Response> response = co_await this->call(std::move(request), this->settings.callTimeout);
    if (!isOk(response))
        co_return errorOf(response);
    co_return parseInstanceList(valueOf(response).body());
}

} // namespace clementinefall::platform
