#include "bundle/rolloutrecords.h"

#include <boost/json.hpp>

#include <algorithm>

namespace clementinefall::bundle {

namespace json = boost::json;

namespace {

std::string textAt(const json::object& object, std::string_view field)
{
    return std::string(std::string_view(object.at(field).as_string()));
}

std::uint64_t numberAt(const json::object& object, std::string_view field)
{
    return object.at(field).to_number<std::uint64_t>();
}

template <typename Item, typename Read>
std::vector<Item> listAt(const json::object& object, std::string_view field, Read read)
{
    std::vector<Item> items;
    for (const json::value& value : object.at(field).as_array())
        items.push_back(read(value));
    return items;
}

std::vector<std::string> textsAt(const json::object& object, std::string_view field)
{
    return listAt<std::string>(
        object, field, [](const json::value& value) { return std::string(std::string_view(value.as_string())); });
}

std::vector<std::uint64_t> numbersAt(const json::object& object, std::string_view field)
{
    return listAt<std::uint64_t>(
        object, field, [](const json::value& value) { return value.to_number<std::uint64_t>(); });
}

template <typename Item> json::array arrayOf(const std::vector<Item>& items)
{
    return json::array(items.begin(), items.end());
}

/// Converts the exceptions of Boost.JSON for a missing field or a wrong type to PlatformBadAnswer.
template <typename Record, typename Read> Result<Record> readObject(const StoredObject& object, Read read)
{
    if (!object.exists())
        return Record {};
    try {
        return read(json::parse(object.value).as_object());
    } catch (const std::exception& exception) {
        return makeError(ResultCode::PlatformBadAnswer, "malformed record {}: {}", object.key, exception.what());
    }
}

SignOff readSignOff(const json::value& value)
{
    const json::object& object = value.as_object();
    return { textAt(object, "signer"), textAt(object, "publicKey"), textAt(object, "signature") };
}

json::object writeSignOff(const SignOff& signOff)
{
    return { { "signer", signOff.signer }, { "publicKey", signOff.publicKey }, { "signature", signOff.signature } };
}

AuditEntry readAuditEntry(const json::value& value)
{
    const json::object& object = value.as_object();
    return { numberAt(object, "number"), textAt(object, "time"), textAt(object, "operationId"),
        textAt(object, "operator"), textAt(object, "command"), numberAt(object, "version"), textAt(object, "detail"),
        textAt(object, "outcome") };
}

json::object writeAuditEntry(const AuditEntry& entry)
{
    return { { "number", entry.number }, { "time", entry.time }, { "operationId", entry.operationId },
        { "operator", entry.operatorName }, { "command", entry.command }, { "version", entry.version },
        { "detail", entry.detail }, { "outcome", entry.outcome } };
}

template <typename Item, typename Write> json::array writeList(const std::vector<Item>& items, Write write)
{
    json::array result;
    for (const Item& item : items)
        result.push_back(write(item));
    return result;
}

} // namespace

std::string bundleKey(std::uint64_t version) { return fmt::format("bundles/{}", version); }
std::string signOffsKey(std::uint64_t version) { return fmt::format("signoffs/{}", version); }
std::string auditPageKey(std::uint64_t firstNumber) { return fmt::format("audit/{}", firstNumber); }

bool AcceptedRecord::isWithdrawn(std::uint64_t candidate) const
{
    return std::find(this->withdrawn.begin(), this->withdrawn.end(), candidate) != this->withdrawn.end();
}

Result<AcceptedRecord> readAccepted(const StoredObject& object)
{
    return readObject<AcceptedRecord>(object, [](const json::object& fields) {
        return AcceptedRecord { numberAt(fields, "version"), textAt(fields, "digest"), textAt(fields, "operator"),
            numbersAt(fields, "recent"), numbersAt(fields, "policyTrail"), numbersAt(fields, "withdrawn"),
            textsAt(fields, "operations") };
    });
}

Result<RolloutRecord> readRollout(const StoredObject& object)
{
    return readObject<RolloutRecord>(object, [](const json::object& fields) {
        return RolloutRecord { numberAt(fields, "version"), textAt(fields, "digest"), textAt(fields, "operator"),
            textsAt(fields, "zones"), textsAt(fields, "operations") };
    });
}

Result<SignOffRecord> readSignOffs(const StoredObject& object)
{
    return readObject<SignOffRecord>(object, [](const json::object& fields) {
        return SignOffRecord { numberAt(fields, "version"), textAt(fields, "digest"),
            listAt<SignOff>(fields, "signOffs", readSignOff), textsAt(fields, "operations") };
    });
}

Result<AuditRecord> readAudit(const StoredObject& object)
{
    return readObject<AuditRecord>(object, [](const json::object& fields) {
        return AuditRecord { numberAt(fields, "firstNumber"), numberAt(fields, "previousPage"),
            listAt<AuditEntry>(fields, "entries", readAuditEntry), textsAt(fields, "operations") };
    });
}

std::string serializeAccepted(const AcceptedRecord& record)
{
    return json::serialize(
        json::object { { "version", record.version }, { "digest", record.digest }, { "operator", record.operatorName },
            { "recent", arrayOf(record.recent) }, { "policyTrail", arrayOf(record.policyChain) },
            { "withdrawn", arrayOf(record.withdrawn) }, { "operations", arrayOf(record.operations) } });
}

std::string serializeRollout(const RolloutRecord& record)
{
    return json::serialize(
        json::object { { "version", record.version }, { "digest", record.digest }, { "operator", record.operatorName },
            { "zones", arrayOf(record.zones) }, { "operations", arrayOf(record.operations) } });
}

std::string serializeSignOffs(const SignOffRecord& record)
{
    return json::serialize(json::object { { "version", record.version }, { "digest", record.digest },
        { "signOffs", writeList(record.signOffs, writeSignOff) }, { "operations", arrayOf(record.operations) } });
}

std::string serializeAudit(const AuditRecord& record)
{
    return json::serialize(
        json::object { { "firstNumber", record.firstNumber }, { "previousPage", record.previousPage },
            { "entries", writeList(record.entries, writeAuditEntry) }, { "operations", arrayOf(record.operations) } });
}

OperationList operationsOf(std::string_view value)
{
    json::error_code error;
    const json::value document = json::parse(value, error);
    const json::object* object = error ? nullptr : document.if_object();
    const json::value* operations = object ? object->if_contains("operations") : nullptr;
    if (!operations || !operations->is_array())
        return {};
    OperationList list;
    for (const json::value& operation : operations->get_array()) {
        if (operation.is_string())
            list.emplace_back(std::string_view(operation.get_string()));
    }
    return list;
}

void recordOperation(OperationList& operations, const std::string& operationId)
{
    operations.push_back(operationId);
    if (operations.size() > maximumRecordedOperations)
        operations.erase(operations.begin());
}

} // namespace clementinefall::bundle
