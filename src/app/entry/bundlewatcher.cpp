#include "bundlewatcher.h"

#include "base/log.h"
#include "bundle/bundlecodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace clementinefall::entry {

namespace {

/// Length of one watch call. The platform counts each call, so a longer watch is cheaper.
constexpr milliseconds watchWait { 25'000 };

/// Version in the accepted record; nothing when the record cannot be read.
std::optional<std::uint64_t> acceptedVersion(const std::string& record)
{
    boost::json::error_code error;
    const boost::json::value document = boost::json::parse(record, error);
    if (error || !document.is_object() || !document.get_object().contains("version"))
        return std::nullopt;
    const auto version = document.get_object().at("version").to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(version);
}

} // namespace

BundleWatcher::BundleWatcher(std::shared_ptr<platform::PlatformClient> platformClient, Adopt onAdopt)
    : client(std::move(platformClient))
    , adopt(std::move(onAdopt))
{
}

void BundleWatcher::start(asio::any_io_executor executor)
{
    asio::co_spawn(executor, this->run(this->shared_from_this()), asio::detached);
}

Awaitable<void> BundleWatcher::run(std::shared_ptr<BundleWatcher> self)
{
    std::uint64_t revision = 0;
    unsigned failures = 0;
    while (!self->stopped) {
        const auto changed = co_await self->client->watch("bundles", revision, watchWait);
        // g++ 12 frees temporaries twice when a conditional expression contains co_await.
        Status fetched = okStatus();
        if (isOk(changed))
            fetched = co_await self->fetchAccepted();
        else
            fetched = errorOf(changed);
        if (isOk(fetched)) {
            revision = valueOf(changed).revision;
            failures = 0;
            continue;
        }
        ++failures;
        logWarning("platform_call_failed", { { "error", errorOf(fetched).text() }, { "failures", failures } });
        asio::steady_timer timer(co_await asio::this_coro::executor, platform::backoffDelay(failures, self->random));
        co_await timer.async_wait(useTuple);
    }
}

Awaitable<Status> BundleWatcher::fetchAccepted()
{
    const auto record = co_await this->client->read("bundles", "accepted");
    if (!isOk(record) && errorOf(record).code == ResultCode::PlatformNotFound)
        co_return okStatus();
    if (!isOk(record))
        co_return errorOf(record);
    const auto version = acceptedVersion(valueOf(record).value);
    if (!version)
        co_return makeError(ResultCode::PlatformBadAnswer, "bundles/accepted cannot be read");
    if (*version <= this->adoptedVersion)
        co_return okStatus();
    const auto content = co_await this->client->read("bundles", fmt::format("{}", *version));
    if (!isOk(content))
        co_return errorOf(content);
    Result<bundle::Bundle> parsed = bundle::parseBundle(valueOf(content).value);
    if (!isOk(parsed))
        co_return errorOf(parsed);
    if (valueOf(parsed).version != *version)
        co_return makeError(ResultCode::PlatformBadAnswer, "bundles/{} holds another version", *version);
    this->adoptedVersion = *version;
    this->adopt(std::make_shared<const bundle::Bundle>(std::move(valueOf(parsed))));
    co_return okStatus();
}

} // namespace clementinefall::entry
