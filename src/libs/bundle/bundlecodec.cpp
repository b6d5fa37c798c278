#include "bundle/bundlecodec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <set>

namespace clementinefall::bundle {

namespace json = boost::json;

namespace {

/// Maximum length of the name of a zone, service, server, instance, team or operator.
constexpr std::size_t maximumNameBytes = 64;
constexpr std::uint64_t maximumSlots = 1'000;
constexpr std::uint64_t maximumServerConnections = 100'000;
constexpr std::int64_t maximumDeadlineMs = 3'600'000;
constexpr std::int64_t maximumTtlMs = 600'000;
constexpr std::uint64_t maximumCount = 1ULL
    << 53U; // JSON readers that use doubles keep whole numbers exactly up to this one

template <typename Value> struct NamedValue {
    Value value;
    std::string_view name;
};

constexpr std::array requestClasses {
    NamedValue<RequestClass> { RequestClass::Idempotent, "idempotent" },
    NamedValue<RequestClass> { RequestClass::NonIdempotent, "non-idempotent" },
    NamedValue<RequestClass> { RequestClass::Mixed, "mixed" },
};

constexpr std::array priorities {
    NamedValue<Priority> { Priority::Bulk, "bulk" },
    NamedValue<Priority> { Priority::Upload, "upload" },
    NamedValue<Priority> { Priority::Lookup, "lookup" },
    NamedValue<Priority> { Priority::Critical, "critical" },
};

constexpr std::array drainKinds {
    NamedValue<DrainKind> { DrainKind::BackendServer, "backend-server" },
    NamedValue<DrainKind> { DrainKind::EntryInstance, "entry-instance" },
    NamedValue<DrainKind> { DrainKind::Zone, "zone" },
};

constexpr std::array roles {
    NamedValue<Role> { Role::Viewer, "viewer" },
    NamedValue<Role> { Role::Editor, "editor" },
    NamedValue<Role> { Role::Approver, "approver" },
    NamedValue<Role> { Role::Administrator, "administrator" },
};

template <typename Value, std::size_t Size>
std::string_view nameOf(const std::array<NamedValue<Value>, Size>& names, Value value)
{
    for (const auto& entry : names) {
        if (entry.value == value)
            return entry.name;
    }
    return names.front().name;
}

/// Thrown in this file only; parseBundle() converts it to a Result.
struct CodecError {
    Error error;
};

[[noreturn]] void fail(ResultCode code, const std::string& path, std::string_view what)
{
    throw CodecError { makeError(code, "{}: {}", path, what) };
}

/// Reads the fields of a JSON object. rejectUnknown() then fails for a field that was never requested.
class JsonObjectReader {
public:
    JsonObjectReader(const json::value& value, std::string objectPath)
        : path(std::move(objectPath))
    {
        if (!value.is_object())
            fail(ResultCode::BundleWrongType, this->path, "must be an object");
        this->object = &value.get_object();
    }

    std::string fieldPath(std::string_view field) const
    {
        return this->path.empty() ? std::string(field) : fmt::format("{}.{}", this->path, field);
    }

    const json::value* find(std::string_view field)
    {
        this->requestedFields.insert(std::string(field));
        const auto found = this->object->find(field);
        return found == this->object->end() ? nullptr : &found->value();
    }

    const json::value& require(std::string_view field)
    {
        const json::value* value = this->find(field);
        if (!value)
            fail(ResultCode::BundleMissingField, this->fieldPath(field), "is required");
        return *value;
    }

    std::string text(std::string_view field, std::size_t maximumBytes)
    {
        const json::value& value = this->require(field);
        if (!value.is_string())
            fail(ResultCode::BundleWrongType, this->fieldPath(field), "must be a string");
        std::string result(value.get_string());
        if (result.size() > maximumBytes)
            fail(ResultCode::BundleOutOfRange, this->fieldPath(field),
                fmt::format("is longer than {} bytes", maximumBytes));
        return result;
    }

    std::string optionalText(std::string_view field, std::size_t maximumBytes)
    {
        return this->find(field) ? this->text(field, maximumBytes) : std::string();
    }

    /// Reads a non-empty name of letters, digits, '-' and '_', which is safe in paths and headers.
    std::string name(std::string_view field)
    {
        std::string result = this->text(field, maximumNameBytes);
        const auto isNameCharacter = [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
        };
        if (result.empty() || !std::all_of(result.begin(), result.end(), isNameCharacter))
            fail(ResultCode::BundleOutOfRange, this->fieldPath(field),
                "must be a non-empty text of letters, digits, '-' and '_'");
        return result;
    }

    std::uint64_t count(std::string_view field, std::uint64_t minimum, std::uint64_t maximum)
    {
        const json::value& value = this->require(field);
        json::error_code error;
        const auto number = value.to_number<std::uint64_t>(error);
        if (error || value.is_double())
            fail(ResultCode::BundleWrongType, this->fieldPath(field), "must be a whole number");
        if (number < minimum || number > maximum)
            fail(ResultCode::BundleOutOfRange, this->fieldPath(field),
                fmt::format("{} is not in {}..{}", number, minimum, maximum));
        return number;
    }

    milliseconds duration(std::string_view field, std::int64_t maximumMs)
    {
        return milliseconds(this->count(field, 0, static_cast<std::uint64_t>(maximumMs)));
    }

    HostPort address(std::string_view field)
    {
        const auto parsed = parseHostPort(this->text(field, maximumNameBytes));
        if (!isOk(parsed))
            fail(ResultCode::BundleOutOfRange, this->fieldPath(field), errorOf(parsed).message);
        return valueOf(parsed);
    }

    template <typename Value, std::size_t Size>
    Value oneOf(std::string_view field, const std::array<NamedValue<Value>, Size>& names)
    {
        const std::string text = this->text(field, maximumNameBytes);
        for (const auto& entry : names) {
            if (entry.name == text)
                return entry.value;
        }
        fail(ResultCode::BundleOutOfRange, this->fieldPath(field), fmt::format("'{}' is not a valid value", text));
    }

    template <typename Read> auto list(std::string_view field, Read read)
    {
        std::vector<decltype(read(std::declval<JsonObjectReader&>()))> result;
        const json::value* value = this->find(field);
        if (!value)
            return result;
        if (!value->is_array())
            fail(ResultCode::BundleWrongType, this->fieldPath(field), "must be an array");
        std::size_t index = 0;
        for (const json::value& item : value->get_array()) {
            JsonObjectReader reader(item, fmt::format("{}[{}]", this->fieldPath(field), index++));
            result.push_back(read(reader));
            reader.rejectUnknown();
        }
        return result;
    }

    void rejectUnknown() const
    {
        for (const auto& field : *this->object) {
            if (!this->requestedFields.contains(std::string(field.key())))
                fail(ResultCode::BundleUnknownField, this->fieldPath(field.key()), "is not a valid field");
        }
    }

private:
    const json::object* object = nullptr;
    std::string path;
    std::set<std::string> requestedFields;
};

Zone readZone(JsonObjectReader& reader) { return Zone { reader.name("name"), reader.name("region") }; }

EntryInstance readEntryInstance(JsonObjectReader& reader)
{
    EntryInstance instance;
    instance.name = reader.name("name");
    instance.zone = reader.name("zone");
    instance.traffic = reader.address("traffic");
    instance.peer = reader.address("peer");
    instance.admin = reader.address("admin");
    return instance;
}

BackendServer readBackendServer(JsonObjectReader& reader)
{
    BackendServer server;
    server.name = reader.name("name");
    server.zone = reader.name("zone");
    server.address = reader.address("address");
    server.slots = static_cast<unsigned>(reader.count("slots", 1, maximumSlots));
    server.maximumConnections = static_cast<unsigned>(reader.count("maximumConnections", 1, maximumServerConnections));
    return server;
}

Service readService(JsonObjectReader& reader)
{
    Service service;
    service.name = reader.name("name");
    service.team = reader.name("team");
    service.requestClass = reader.oneOf("class", requestClasses);
    service.priority = reader.oneOf("priority", priorities);
    service.deadline = reader.duration("deadlineMs", maximumDeadlineMs);
    service.maximumBodyBytes = reader.count("maximumBodyBytes", 0, maximumCount);
    service.servers = reader.list("servers", readBackendServer);
    return service;
}

ShiftCap readShiftCap(JsonObjectReader& reader)
{
    ShiftCap cap;
    cap.service = reader.name("service");
    cap.from = reader.name("from");
    cap.to = reader.name("to");
    cap.perSecond = reader.count("perSecond", 0, maximumCount);
    cap.total = reader.count("total", 0, maximumCount);
    cap.epoch = reader.count("epoch", 1, maximumCount);
    return cap;
}

LinkBudget readLinkBudget(JsonObjectReader& reader)
{
    LinkBudget link;
    link.from = reader.name("from");
    link.to = reader.name("to");
    link.bytesPerSecond = reader.count("bytesPerSecond", 0, maximumCount);
    link.delay = reader.duration("delayMs", maximumTtlMs);
    return link;
}

Drain readDrain(JsonObjectReader& reader) { return Drain { reader.oneOf("kind", drainKinds), reader.name("name") }; }

Operator readOperator(JsonObjectReader& reader)
{
    constexpr std::size_t maximumKeyBytes = 128;
    Operator operatorEntry;
    operatorEntry.name = reader.name("name");
    operatorEntry.team = reader.name("team");
    operatorEntry.role = reader.oneOf("role", roles);
    operatorEntry.tokenDigest = reader.text("tokenDigest", maximumKeyBytes);
    operatorEntry.publicKey = reader.optionalText("publicKey", maximumKeyBytes);
    return operatorEntry;
}

Bundle readBundle(JsonObjectReader& reader)
{
    constexpr std::size_t maximumCommentBytes = 4096;
    constexpr std::uint64_t maximumSignatures = 16;
    Bundle bundle;
    bundle.version = reader.count("version", 1, maximumCount);
    if (reader.find("baseVersion"))
        bundle.baseVersion = reader.count("baseVersion", 0, maximumCount);
    bundle.author = reader.name("author");
    bundle.comment = reader.optionalText("comment", maximumCommentBytes);
    bundle.lookupTtl = reader.duration("lookupTtlMs", maximumTtlMs);
    bundle.requiredSignatures = static_cast<unsigned>(reader.count("requiredSignatures", 1, maximumSignatures));
    bundle.operators = reader.list("operators", readOperator);
    bundle.zones = reader.list("zones", readZone);
    bundle.entryInstances = reader.list("entryInstances", readEntryInstance);
    bundle.services = reader.list("services", readService);
    bundle.shiftCaps = reader.list("shiftCaps", readShiftCap);
    bundle.links = reader.list("links", readLinkBudget);
    bundle.drains = reader.list("drains", readDrain);
    return bundle;
}

template <typename Item, typename Write> json::array writeList(const std::vector<Item>& items, Write write)
{
    json::array result;
    result.reserve(items.size());
    for (const Item& item : items)
        result.push_back(write(item));
    return result;
}

json::object writeZone(const Zone& zone) { return { { "name", zone.name }, { "region", zone.region } }; }

json::object writeEntryInstance(const EntryInstance& instance)
{
    return { { "name", instance.name }, { "zone", instance.zone }, { "traffic", instance.traffic.text() },
        { "peer", instance.peer.text() }, { "admin", instance.admin.text() } };
}

json::object writeBackendServer(const BackendServer& server)
{
    return { { "name", server.name }, { "zone", server.zone }, { "address", server.address.text() },
        { "slots", server.slots }, { "maximumConnections", server.maximumConnections } };
}

json::object writeService(const Service& service)
{
    return { { "name", service.name }, { "team", service.team },
        { "class", nameOf(requestClasses, service.requestClass) }, { "priority", nameOf(priorities, service.priority) },
        { "deadlineMs", service.deadline.count() }, { "maximumBodyBytes", service.maximumBodyBytes },
        { "servers", writeList(service.servers, writeBackendServer) } };
}

json::object writeShiftCap(const ShiftCap& cap)
{
    return { { "service", cap.service }, { "from", cap.from }, { "to", cap.to }, { "perSecond", cap.perSecond },
        { "total", cap.total }, { "epoch", cap.epoch } };
}

json::object writeLinkBudget(const LinkBudget& link)
{
    return { { "from", link.from }, { "to", link.to }, { "bytesPerSecond", link.bytesPerSecond },
        { "delayMs", link.delay.count() } };
}

json::object writeDrain(const Drain& drain)
{
    return { { "kind", nameOf(drainKinds, drain.kind) }, { "name", drain.name } };
}

json::object writeOperator(const Operator& operatorEntry)
{
    return { { "name", operatorEntry.name }, { "team", operatorEntry.team },
        { "role", nameOf(roles, operatorEntry.role) }, { "tokenDigest", operatorEntry.tokenDigest },
        { "publicKey", operatorEntry.publicKey } };
}

} // namespace

Result<Bundle> parseBundle(std::string_view text)
{
    json::error_code error;
    json::parse_options options;
    options.max_depth = 8; // a valid bundle has five levels
    const json::value document = json::parse(text, error, json::storage_ptr(), options);
    if (error)
        return makeError(ResultCode::BundleNotJson, "{}", error.message());
    try {
        JsonObjectReader reader(document, "");
        Bundle bundle = readBundle(reader);
        reader.rejectUnknown();
        return bundle;
    } catch (const CodecError& codecError) {
        return codecError.error;
    }
}

std::string serializeBundle(const Bundle& bundle)
{
    json::object document;
    document["version"] = bundle.version;
    if (bundle.baseVersion != 0)
        document["baseVersion"] = bundle.baseVersion;
    document["author"] = bundle.author;
    document["comment"] = bundle.comment;
    document["lookupTtlMs"] = bundle.lookupTtl.count();
    document["requiredSignatures"] = bundle.requiredSignatures;
    document["operators"] = writeList(bundle.operators, writeOperator);
    document["zones"] = writeList(bundle.zones, writeZone);
    document["entryInstances"] = writeList(bundle.entryInstances, writeEntryInstance);
    document["services"] = writeList(bundle.services, writeService);
    document["shiftCaps"] = writeList(bundle.shiftCaps, writeShiftCap);
    document["links"] = writeList(bundle.links, writeLinkBudget);
    document["drains"] = writeList(bundle.drains, writeDrain);
    return json::serialize(document);
}

} // namespace clementinefall::bundle
