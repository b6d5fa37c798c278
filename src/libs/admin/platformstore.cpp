#include "admin/platformstore.h"

#include <algorithm>
#include <charconv>

namespace clementinefall::admin {

using bundle::ConditionalWrite;
using bundle::StoredObject;

namespace {

std::string kindOf(const std::string& key) { return key.substr(0, key.find('/')); }
std::string nameOf(const std::string& key) { return key.substr(key.find('/') + 1); }

} // namespace

PlatformStore::PlatformStore(std::shared_ptr<platform::PlatformClient> platformClient)
    : client(std::move(platformClient))
{
}

Awaitable<Result<StoredObject>> PlatformStore::read(std::string key)
{
    const auto platformClient = this->client;
    const std::string kind = kindOf(key);
    const std::string name = nameOf(key);
    const auto object = co_await platformClient->read(kind, name);
    if (isOk(object))
        co_return StoredObject { key, valueOf(object).version, valueOf(object).value };
    if (errorOf(object).code == ResultCode::PlatformNotFound)
        co_return StoredObject { key, 0, "" };
    co_return errorOf(object);
}

Awaitable<Status> PlatformStore::write(ConditionalWrite write)
{
    const auto platformClient = this->client;
    const std::string kind = kindOf(write.key);
    const std::string name = nameOf(write.key);
    const auto written = co_await platformClient->write(kind, name, write.value, write.ifVersion);
    if (!isOk(written))
        co_return errorOf(written);
    co_return okStatus();
}

Awaitable<Result<std::vector<std::uint64_t>>> PlatformStore::bundleVersions()
{
    const auto platformClient = this->client;
    const std::string kind("bundles");
    const auto list = co_await platformClient->list(kind);
    if (!isOk(list))
        co_return errorOf(list);
    std::vector<std::uint64_t> versions;
    for (const platform::ObjectRef& object : valueOf(list).objects) {
        std::uint64_t version = 0;
        const char* end = object.name.data() + object.name.size();
        const auto parsed = std::from_chars(object.name.data(), end, version);
        if (parsed.ec == std::errc() && parsed.ptr == end)
            versions.push_back(version);
    }
    std::sort(versions.begin(), versions.end());
    co_return versions;
}

} // namespace clementinefall::admin
