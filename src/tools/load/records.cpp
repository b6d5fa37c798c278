#include "load/records.h"

#include <boost/json.hpp>

namespace clementinefall::load {

namespace json = boost::json;

namespace {

std::string_view responseCheckName(ResponseCheck check)
{
    switch (check) {
    case ResponseCheck::Complete:
        return "whole";
    case ResponseCheck::OtherRequest:
        return "wrong";
    case ResponseCheck::Corrupted:
        return "cut";
    case ResponseCheck::NotChecked:
        break;
    }
    return "none";
}

} // namespace

Result<std::vector<EffectRecord>> parseEffects(std::string_view lines)
{
    std::vector<EffectRecord> result;
    while (!lines.empty()) {
        const auto end = lines.find('\n');
        const std::string_view line = lines.substr(0, end);
        json::error_code error;
        const json::value value = json::parse(line, error);
        const json::object* object = error ? nullptr : value.if_object();
        const json::value* identity = object ? object->if_contains("identity") : nullptr;
        const json::value* server = object ? object->if_contains("server") : nullptr;
        const json::value* count = object ? object->if_contains("count") : nullptr;
        if (!identity || !identity->is_string() || !server || !server->is_string() || !count || !count->is_int64())
            return makeError(ResultCode::BadParameter, "effect line {} is not valid", result.size() + 1);
        result.push_back({ std::string(identity->get_string()), std::string(server->get_string()),
            static_cast<std::uint64_t>(count->get_int64()) });
        lines.remove_prefix(end == std::string_view::npos ? lines.size() : end + 1);
    }
    return result;
}

void writeCsv(std::ostream& out, const std::vector<RequestRecord>& records)
{
    out << "number,service,zone,class,identity,sentMs,latencyMs,outcome,result,status,attempts,entryZone,check\n";
    for (const RequestRecord& record : records) {
        out << fmt::format("{},{},{},{},{},{:.3f},{:.3f},{},{},{},{},{},{}\n", record.number, record.service,
            record.zone, record.nonIdempotent ? "non-idempotent" : "idempotent", record.identity, toMs(record.sentAt),
            toMs(record.latency), outcomeName(record.outcome), record.resultCode, record.status, record.attempts,
            record.entryZone, responseCheckName(record.check));
    }
}

std::string regionOf(const std::string& zone) { return zone.substr(0, zone.rfind('-')); }

} // namespace clementinefall::load
