#include "objectstore.h"

namespace clementinefall::platform_sim {

const platform::VersionedValue* ObjectStore::find(const std::string& kind, const std::string& name) const
{
    const auto objects = this->kinds.find(kind);
    if (objects == this->kinds.end())
        return nullptr;
    const auto object = objects->second.find(name);
    return object == objects->second.end() ? nullptr : &object->second;
}

std::optional<std::uint64_t> ObjectStore::write(
    const std::string& kind, const std::string& name, std::string value, std::uint64_t expectedVersion)
{
    const platform::VersionedValue* existing = this->find(kind, name);
    const std::uint64_t currentVersion = existing ? existing->version : 0;
    if (currentVersion != expectedVersion)
        return std::nullopt;
    ++this->revision;
    this->kindRevisions[kind] = this->revision;
    this->kinds[kind][name] = { std::move(value), this->revision };
    return this->revision;
}

bool ObjectStore::remove(const std::string& kind, const std::string& name, std::uint64_t expectedVersion)
{
    const platform::VersionedValue* existing = this->find(kind, name);
    if (!existing || existing->version != expectedVersion)
        return false;
    this->kinds[kind].erase(name);
    this->kindRevisions[kind] = ++this->revision;
    return true;
}

platform::ObjectList ObjectStore::list(const std::string& kind) const
{
    platform::ObjectList result;
    result.revision = this->kindRevision(kind);
    const auto objects = this->kinds.find(kind);
    if (objects == this->kinds.end())
        return result;
    for (const auto& [name, object] : objects->second)
        result.objects.push_back({ name, object.version });
    return result;
}

std::uint64_t ObjectStore::kindRevision(const std::string& kind) const
{
    const auto found = this->kindRevisions.find(kind);
    return found == this->kindRevisions.end() ? 0 : found->second;
}

} // namespace clementinefall::platform_sim
