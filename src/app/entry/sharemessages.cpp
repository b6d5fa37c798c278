#include "sharemessages.h"

#include <boost/json.hpp>

namespace clementinefall::entry {

namespace json = boost::json;

namespace {

std::uint64_t numberOf(const json::value& document, std::string_view field)
{
    return document.at(field).to_number<std::uint64_t>();
}

/// Runs \a read on the parsed text. Returns std::nullopt if the text is malformed or a field is missing or of the wrong
/// type.
template <typename T, typename Read> std::optional<T> readJson(std::string_view text, Read read)
{
    try {
        return read(json::parse(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::string serializeShareQuery(const steering::ShareQuery& query)
{
    return json::serialize(json::object {
        { "holder", query.holder },
        { "incarnation", query.incarnation },
        { "number", query.number },
    });
}

std::optional<steering::ShareQuery> parseShareQuery(std::string_view text)
{
    return readJson<steering::ShareQuery>(text, [](const json::value& document) {
        return steering::ShareQuery { std::string(document.at("holder").as_string()), numberOf(document, "incarnation"),
            numberOf(document, "number") };
    });
}

std::string serializeShareStatus(const steering::ShareStatus& status)
{
    return json::serialize(json::object {
        { "holder", status.holder },
        { "incarnation", status.incarnation },
        { "firstSeen", status.firstSeen },
        { "newest", status.newest },
        { "settled", status.settled },
        { "hasEnded", status.hasEnded },
        { "queryIncarnation", status.queryIncarnation },
        { "queryNumber", status.queryNumber },
    });
}

std::optional<steering::ShareStatus> parseShareStatus(std::string_view text)
{
    return readJson<steering::ShareStatus>(text, [](const json::value& document) {
        steering::ShareStatus status;
        status.holder = document.at("holder").as_string();
        status.incarnation = numberOf(document, "incarnation");
        status.firstSeen = numberOf(document, "firstSeen");
        status.newest = numberOf(document, "newest");
        status.settled = numberOf(document, "settled");
        status.hasEnded = document.at("hasEnded").as_bool();
        status.queryIncarnation = numberOf(document, "queryIncarnation");
        status.queryNumber = numberOf(document, "queryNumber");
        return status;
    });
}

} // namespace clementinefall::entry
