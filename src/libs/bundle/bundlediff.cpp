#include "bundle/bundlediff.h"

#include "bundle/bundlecodec.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <map>

namespace clementinefall::bundle {

namespace json = boost::json;

namespace {

/// Fields that identify the entries of a list, for lists that are not identified by `name`.
const std::map<std::string_view, std::vector<std::string_view>> identifyingFields {
    { "drains", { "kind", "name" } },
    { "links", { "from", "to" } },
    { "shiftCaps", { "service", "from", "to" } },
};

std::string identityOf(std::string_view list, const json::object& entry)
{
    static const std::vector<std::string_view> onlyName { "name" };
    const auto found = identifyingFields.find(list);
    std::string identity;
    for (const std::string_view field : found == identifyingFields.end() ? onlyName : found->second)
        identity += fmt::format("{}{}", identity.empty() ? "" : " ", std::string_view(entry.at(field).as_string()));
    return identity;
}

class JsonDiffer {
public:
    void compare(const std::string& path, std::string_view field, const json::value& before, const json::value& after)
    {
        if (before == after)
            return;
        if (before.is_object() && after.is_object())
            this->compareObjects(path, before.get_object(), after.get_object());
        else if (before.is_array() && after.is_array())
            this->compareLists(path, field, before.get_array(), after.get_array());
        else
            this->add(ChangeKind::Changed, path, json::serialize(before), json::serialize(after));
    }

    std::vector<Change> changes;

private:
    void add(ChangeKind kind, std::string path, std::string before, std::string after)
    {
        this->changes.push_back({ kind, std::move(path), std::move(before), std::move(after) });
    }

    /// Both objects come from the codec, so that only the optional `baseVersion` may be missing in one of them.
    void compareObjects(const std::string& path, const json::object& before, const json::object& after)
    {
        for (const auto& field : before) {
            const std::string_view key = field.key();
            const std::string fieldPath = path.empty() ? std::string(key) : fmt::format("{}.{}", path, key);
            const json::value* other = after.if_contains(key);
            if (other)
                this->compare(fieldPath, key, field.value(), *other);
            else
                this->add(ChangeKind::Removed, fieldPath, json::serialize(field.value()), "");
        }
        for (const auto& field : after) {
            const std::string_view key = field.key();
            if (!before.contains(key))
                this->add(ChangeKind::Added, path.empty() ? std::string(key) : fmt::format("{}.{}", path, key), "",
                    json::serialize(field.value()));
        }
    }

    void compareLists(
        const std::string& path, std::string_view list, const json::array& before, const json::array& after)
    {
        const std::size_t changesBefore = this->changes.size();
        std::map<std::string, const json::value*> afterByIdentity;
        for (const json::value& entry : after)
            afterByIdentity[identityOf(list, entry.as_object())] = &entry;
        for (const json::value& entry : before) {
            const std::string identity = identityOf(list, entry.as_object());
            const std::string entryPath = fmt::format("{}[{}]", path, identity);
            const auto found = afterByIdentity.find(identity);
            if (found == afterByIdentity.end()) {
                this->add(ChangeKind::Removed, entryPath, json::serialize(entry), "");
                continue;
            }
            this->compare(entryPath, "", entry, *found->second);
            afterByIdentity.erase(found);
        }
        for (const auto& [identity, entry] : afterByIdentity)
            this->add(ChangeKind::Added, fmt::format("{}[{}]", path, identity), "", json::serialize(*entry));
        if (this->changes.size() == changesBefore)
            this->add(ChangeKind::Changed, path, "\"order\"", "\"another order\"");
    }
};

} // namespace

std::string Change::text() const
{
    if (this->kind == ChangeKind::Added)
        return fmt::format("+ {}: {}", this->path, this->after);
    if (this->kind == ChangeKind::Removed)
        return fmt::format("- {}: {}", this->path, this->before);
    return fmt::format("~ {}: {} -> {}", this->path, this->before, this->after);
}

std::vector<Change> diffBundles(const Bundle& before, const Bundle& after)
{
    JsonDiffer differ;
    differ.compare("", "", json::parse(serializeBundle(before)), json::parse(serializeBundle(after)));
    return std::move(differ.changes);
}

} // namespace clementinefall::bundle
