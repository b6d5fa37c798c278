#include "platform/platformprotocol.h"

#include <boost/json.hpp>

#include <charconv>

namespace clementinefall::platform {

namespace json = boost::json;

namespace {

std::string_view stateName(InstanceState state) { return state == InstanceState::Live ? "live" : "leaving"; }

json::array writeInstances(const std::vector<ListedInstance>& instances)
{
    json::array result;
    for (const ListedInstance& instance : instances)
        result.push_back(json::object { { "name", instance.name }, { "state", stateName(instance.state) } });
    return result;
}

std::vector<ListedInstance> readInstances(const json::value& value)
{
    std::vector<ListedInstance> result;
    for (const json::value& item : value.as_array()) {
        const std::string state(item.at("state").as_string());
        result.push_back({ std::string(item.at("name").as_string()),
            state == "live" ? InstanceState::Live : InstanceState::Leaving });
    }
    return result;
}

/// Runs \a read on the parsed text. A syntax error or a missing or wrongly typed field gives PlatformBadAnswer.
template <typename T, typename Read> Result<T> readJson(std::string_view text, Read read)
{
    try {
        return read(json::parse(text));
    } catch (const std::exception& error) {
        return makeError(ResultCode::PlatformBadAnswer, "{}", error.what());
    }
}

} // namespace

std::string serializeObjectList(const ObjectList& list)
{
    json::array objects;
    for (const ObjectRef& object : list.objects)
        objects.push_back(json::object { { "name", object.name }, { "version", object.version } });
    return json::serialize(json::object { { "revision", list.revision }, { "objects", std::move(objects) } });
}

Result<ObjectList> parseObjectList(std::string_view text)
{
    return readJson<ObjectList>(text, [](const json::value& document) {
        ObjectList list;
        list.revision = document.at("revision").to_number<std::uint64_t>();
        for (const json::value& item : document.at("objects").as_array()) {
            list.objects.push_back(
                { std::string(item.at("name").as_string()), item.at("version").to_number<std::uint64_t>() });
        }
        return list;
    });
}

std::string serializeInstanceList(const InstanceList& list)
{
    return json::serialize(json::object { { "entryInstances", writeInstances(list.entryInstances) },
        { "backendServers", writeInstances(list.backendServers) } });
}

Result<InstanceList> parseInstanceList(std::string_view text)
{
    return readJson<InstanceList>(text, [](const json::value& document) {
        return InstanceList { readInstances(document.at("entryInstances")),
            readInstances(document.at("backendServers")) };
    });
}

std::string formatEntityTag(std::uint64_t version) { return fmt::format("\"{}\"", version); }

Result<std::uint64_t> parseEntityTag(std::string_view text)
{
    std::uint64_t version = 0;
    if (text.size() > 2 && text.front() == '"' && text.back() == '"') {
        const char* last = text.data() + text.size() - 1;
        const auto [end, error] = std::from_chars(text.data() + 1, last, version);
        if (error == std::errc() && end == last)
            return version;
    }
    return makeError(ResultCode::PlatformBadAnswer, "'{}' is not an entity tag", text);
}

} // namespace clementinefall::platform
