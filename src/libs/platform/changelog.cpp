#include "platform/changelog.h"

#include <boost/json.hpp>

#include <algorithm>

namespace clementinefall::platform {

namespace json = boost::json;

std::string encodeChange(const ObjectChange& change)
{
    return json::serialize(json::object { { "name", change.object.name }, { "revision", change.object.revision },
        { "removed", change.isRemoved }, { "content", change.object.content } });
}

ObjectChange decodeChange(const json::value& value)
{
    StoredObject object { .name = std::string(value.at("name").as_string()),
        .revision = value.at("revision").to_number<std::uint64_t>(),
        .content = value.at("content") };
    return { std::move(object), value.at("removed").as_bool() };
}

void restartChangeLog(ChangeLog& log, StorePosition position, bool afterOutage)
{
    log.entries.clear();
    log.era = position.era;
    log.floor = position.revision;
    log.revision = position.revision;
    log.restartedAfterOutage = afterOutage;
}

void appendChanges(ChangeLog& log, const ChangeSet& changes)
{
    if (log.revision == 0 || changes.era != log.era || changes.revision <= log.revision)
        return;
    log.revision = changes.revision;
    for (const ObjectChange& change : changes.changes)
        log.entries.push_back({ changes.revision, encodeChange(change) });
    while (log.entries.size() > ChangeLog::capacity) {
        // All changes of one set have the same revision, so they are discarded together.
        log.floor = log.entries.front().revision;
        log.restartedAfterOutage = false;
        while (!log.entries.empty() && log.entries.front().revision == log.floor)
            log.entries.pop_front();
    }
}

std::optional<LoggedChanges> changesAfter(const ChangeLog& log, std::uint64_t revision)
{
    if (log.revision == 0 || revision < log.floor)
        return std::nullopt;
    LoggedChanges result;
    result.revision = std::max(revision, log.revision);
    const auto first = std::find_if(log.entries.begin(), log.entries.end(),
        [revision](const ChangeLog::Entry& entry) { return entry.revision > revision; });
    for (auto entry = first; entry != log.entries.end(); ++entry)
        result.changes.push_back(entry->text);
    return result;
}

} // namespace clementinefall::platform
