#include "load/caller.h"

#include "load/responsecheck.h"

#include "backend/filler.h"
#include "base/hash.h"

#include <boost/json.hpp>

#include <algorithm>

namespace clementinefall::load {

namespace json = boost::json;

namespace {

/// Maximum number of attempts of one request that reach an instance.
constexpr unsigned maximumSends = 4;
constexpr std::size_t maximumControlResponseBytes = 1024 * 1024;
constexpr std::size_t maximumIdleConnections = 64;
/// Below the 15 s after which entry instances close idle connections.
constexpr seconds maximumIdleTime { 10 };
/// Timeout of a lookup or of fetching identities from one instance. If the instance does not respond, time remains for
/// the next one.
constexpr milliseconds controlTimeout { 700 };
constexpr unsigned identitiesPerFetch = 8;
/// Identities become unusable when the instance that issued them fails, so callers keep few of them, for a short time.
constexpr seconds identityRetention { 10 };

std::string bodyHashOf(const std::string& path, std::uint64_t bytes)
{
    StreamHash hash;
    std::string piece;
    for (std::uint64_t offset = 0; offset < bytes; offset += piece.size()) {
        piece.resize(std::min<std::uint64_t>(http::relayBufferBytes, bytes - offset));
        backend::fillBytes(path, offset, piece);
        hash.update(piece);
    }
    const Hash128 digest = hash.digest();
    return fmt::format("{:016x}{:016x}", digest.high, digest.low);
}

const json::array* arrayField(const json::value& value, std::string_view key)
{
    const json::object* object = value.if_object();
    const json::value* list = object ? object->if_contains(key) : nullptr;
    return list ? list->if_array() : nullptr;
}

std::string stringField(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t integerField(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    return value && value->is_int64() ? value->get_int64() : 0;
}

std::optional<Outcome> outcomeFromName(std::string_view name)
{
    for (const Outcome outcome : { Outcome::Answered, Outcome::NotRun, Outcome::Unknown }) {
        if (outcomeName(outcome) == name)
            return outcome;
    }
    return std::nullopt;
}

} // namespace

struct CallerGroup::Call {
    RequestKind kind;
    std::string path; ///< Path as the backend server receives it.
    std::string target;
    std::string bodyHash;
    TimePoint deadline;
    RequestRecord record;
};

/// Result of one attempt to send a request through one instance.
struct CallerGroup::AttemptResult {
    bool connected = false; ///< False: no connection was established and nothing was sent.
    Outcome outcome = Outcome::Unknown;
    unsigned resultCode = 0;
    unsigned status = 0;
    ResponseCheck check = ResponseCheck::NotChecked;
};

CallerGroup::CallerGroup(asio::any_io_executor groupExecutor, std::string zoneName, std::vector<HostPort> seedAddresses)
    : executor(std::move(groupExecutor))
    , zone(std::move(zoneName))
    , seeds(std::move(seedAddresses))
{
}

Awaitable<RequestRecord> CallerGroup::invoke(RequestKind kind, std::uint64_t number)
{
    const auto self = this->shared_from_this();
    const TimePoint start = Clock::now();
    const auto call = std::make_shared<Call>();
    call->kind = std::move(kind);
    call->deadline = start + call->kind.deadline;
    call->path = fmt::format("/load/{}/{}", call->kind.name, number);
    call->target = fmt::format("/v1/services/{}{}?bytes={}", call->kind.service, call->path, call->kind.responseBytes);
    if (!call->kind.query.empty())
        call->target += "&" + call->kind.query;
    call->bodyHash = bodyHashOf(call->path, call->kind.bodyBytes);
    RequestRecord& record = call->record;
    record.number = number;
    record.service = call->kind.service;
    record.zone = this->zone;
    record.nonIdempotent = call->kind.nonIdempotent;
    record.outcome = Outcome::NotRun; // stays until the request is sent

    const std::vector<Instance> instances = co_await this->lookup(call->kind.service, call->deadline);
    if (call->kind.nonIdempotent)
        record.identity = co_await this->acquireIdentity(call->kind.service, instances, call->deadline);
    if (!call->kind.nonIdempotent || !record.identity.empty())
        co_await this->sendWithRetries(call, instances);
    record.latency = Clock::now() - start;
    co_return record;
}

Awaitable<void> CallerGroup::sendWithRetries(CallPtr call, std::vector<Instance> instances)
{
    RequestRecord& record = call->record;
    unsigned sent = 0;
    // Two rounds: an instance whose connection failed may be available again in the second round.
    for (std::size_t i = 0; i < 2 * instances.size() && sent < maximumSends; ++i) {
        const TimePoint now = Clock::now();
        if (now >= call->deadline)
            co_return;
        const Instance& instance = instances[i % instances.size()];
        // Half of the remaining time is kept for another instance, in case this one does not respond.
        const TimePoint deadline = sent + 1 == maximumSends ? call->deadline : now + (call->deadline - now) / 2;
        const AttemptResult result = co_await this->attempt(call, instance.address, deadline);
        ++record.attempts;
        if (!result.connected)
            continue;
        ++sent;
        record.outcome = result.outcome;
        record.resultCode = result.resultCode;
        record.status = result.status;
        record.check = result.check;
        record.entryZone = instance.zone;
        if (result.outcome != Outcome::Unknown)
            co_return;
    }
}

Awaitable<CallerGroup::AttemptResult> CallerGroup::attempt(CallPtr call, HostPort address, TimePoint deadline)
{
    AttemptResult result;
    const ConnectionPtr connection = co_await this->acquire(address, deadline);
    if (connection) {
        result.connected = true;
        const Status sent = co_await this->sendRequest(call, connection, deadline);
        if (isOk(sent))
            result = co_await this->receiveResponse(call, connection, deadline);
        this->release(connection);
    }
    co_return result;
}

Awaitable<Status> CallerGroup::sendRequest(CallPtr call, ConnectionPtr connection, TimePoint deadline)
{
    http::Request request { call->kind.bodyBytes > 0 ? http::Verb::post : http::Verb::get, call->target, 11 };
    const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    request.set(http::HeaderName::deadlineMs, std::to_string(std::max<std::int64_t>(remaining.count(), 0)));
    request.set(http::HeaderName::requestClass, call->kind.nonIdempotent ? "non-idempotent" : "idempotent");
    request.set(http::HeaderName::callerZone, this->zone);
    if (!call->record.identity.empty())
        request.set(http::HeaderName::identity, call->record.identity);
    http::RequestHeader header = request.base();
    const std::uint64_t bytes = call->kind.bodyBytes;
    Status sent = co_await connection->sendHeader(std::move(header), bytes, deadline);
    std::string piece;
    for (std::uint64_t offset = 0; isOk(sent) && offset < bytes; offset += piece.size()) {
        piece.resize(std::min<std::uint64_t>(http::relayBufferBytes, bytes - offset));
        backend::fillBytes(call->path, offset, piece);
        sent = co_await connection->sendBody(piece, deadline);
    }
    if (isOk(sent) && bytes > 0)
        sent = co_await connection->endBody(deadline);
    co_return sent;
}

Awaitable<CallerGroup::AttemptResult> CallerGroup::receiveResponse(
    CallPtr call, ConnectionPtr connection, TimePoint deadline)
{
    AttemptResult result;
    result.connected = true;
    const Result<http::ResponseHeader> received = co_await connection->receiveHeader(deadline);
    if (!isOk(received))
        co_return result;
    const http::ResponseHeader& header = valueOf(received);
    ResponseChecker checker(ExpectedResponse {
        call->path, call->record.identity, call->kind.bodyBytes, call->bodyHash, call->kind.responseBytes });
    std::string piece(http::relayBufferBytes, '\0');
    std::size_t bytes = 1;
    while (bytes > 0) {
        const asio::mutable_buffer target = asio::buffer(piece);
        const Result<std::size_t> part = co_await connection->receiveBody(target, deadline);
        if (!isOk(part))
            co_return result;
        bytes = valueOf(part);
        checker.update(std::string_view(piece).substr(0, bytes));
    }
    result.status = header.result_int();
    result.resultCode = static_cast<unsigned>(http::fieldNumber(header, http::HeaderName::result).value_or(0));
    const auto outcome = outcomeFromName(http::fieldValue(header, http::HeaderName::outcome));
    result.outcome = outcome.value_or(Outcome::Unknown);
    const std::string_view identity = http::fieldValue(header, http::HeaderName::identity);
    const bool hasOtherIdentity
        = !call->record.identity.empty() && !identity.empty() && identity != call->record.identity;
    const bool hasBody = result.resultCode != number(ResultCode::AnsweredBodyNotKept);
    if (hasOtherIdentity)
        result.check = ResponseCheck::OtherRequest;
    else if (result.outcome == Outcome::Answered && result.status == 200 && hasBody)
        result.check = checker.finish();
    co_return result;
}

Awaitable<std::vector<CallerGroup::Instance>> CallerGroup::lookup(std::string service, TimePoint deadline)
{
    const auto cached = this->lookups.find(service);
    if (cached != this->lookups.end() && cached->second.expires > Clock::now())
        co_return cached->second.instances;
    std::vector<HostPort> sources;
    if (cached != this->lookups.end()) {
        for (const Instance& instance : cached->second.instances)
            sources.push_back(instance.address);
    }
    sources.insert(sources.end(), this->seeds.begin(), this->seeds.end());
    const std::string target = fmt::format("/v1/lookup?service={}&zone={}", service, this->zone);
    for (const HostPort& source : sources) {
        const TimePoint limit = std::min(deadline, Clock::now() + controlTimeout);
        const Result<std::string> text = co_await this->fetch(source, http::Verb::get, target, limit);
        json::error_code error;
        const json::value value = isOk(text) ? json::parse(valueOf(text), error) : json::value();
        const json::array* list = error ? nullptr : arrayField(value, "instances");
        LookupResult found;
        for (std::size_t i = 0; list && i < list->size(); ++i) {
            const json::object* item = (*list)[i].if_object();
            if (item) {
                const HostPort address { stringField(*item, "address"),
                    static_cast<std::uint16_t>(integerField(*item, "port")) };
                if (isOk(parseHostPort(address.text())))
                    found.instances.push_back({ address, stringField(*item, "zone") });
            }
        }
        if (found.instances.empty())
            continue;
        found.expires = Clock::now() + milliseconds(integerField(value.get_object(), "ttlMs"));
        this->lookups[service] = found;
        co_return found.instances;
    }
    // An expired lookup result remains safe to use.
    const auto expired = this->lookups.find(service);
    co_return expired == this->lookups.end() ? std::vector<Instance>() : expired->second.instances;
}

Awaitable<std::string> CallerGroup::acquireIdentity(
    std::string service, std::vector<Instance> instances, TimePoint deadline)
{
    std::vector<Identity>& available = this->identities[service];
    std::erase_if(available, [now = Clock::now()](const Identity& identity) { return identity.expires <= now; });
    const std::string target = fmt::format("/v1/identities?service={}&count={}", service, identitiesPerFetch);
    for (std::size_t i = 0; i < instances.size() && available.empty(); ++i) {
        const TimePoint limit = std::min(deadline, Clock::now() + controlTimeout);
        if (limit <= Clock::now())
            break;
        const Result<std::string> text = co_await this->fetch(instances[i].address, http::Verb::post, target, limit);
        json::error_code error;
        const json::value value = isOk(text) ? json::parse(valueOf(text), error) : json::value();
        const json::array* list = error ? nullptr : arrayField(value, "identities");
        for (std::size_t k = 0; list && k < list->size(); ++k) {
            if ((*list)[k].is_string())
                available.push_back({ std::string((*list)[k].get_string()), Clock::now() + identityRetention });
        }
    }
    if (available.empty())
        co_return std::string();
    std::string identity = available.back().text;
    available.pop_back();
    co_return identity;
}

Awaitable<Result<std::string>> CallerGroup::fetch(
    HostPort address, http::Verb method, std::string target, TimePoint deadline)
{
    const ConnectionPtr connection = co_await this->acquire(address, deadline);
    if (!connection)
        co_return makeError(ResultCode::NotRunConnectRefused, "{}", address.text());
    http::Request request { method, target, 11 };
    const Result<http::Response> response
        = co_await connection->exchange(std::move(request), maximumControlResponseBytes, deadline);
    this->release(connection);
    if (!isOk(response))
        co_return errorOf(response);
    if (valueOf(response).result_int() != 200)
        co_return makeError(ResultCode::NotFound, "{}: status {}", target, valueOf(response).result_int());
    co_return valueOf(response).body();
}

Awaitable<CallerGroup::ConnectionPtr> CallerGroup::acquire(HostPort address, TimePoint deadline)
{
    std::vector<ConnectionPtr>& idle = this->idleConnections[address.text()];
    while (!idle.empty()) {
        const ConnectionPtr connection = idle.back();
        idle.pop_back();
        if (connection->lastUsedAt() + maximumIdleTime > Clock::now() && !connection->hasPendingInput())
            co_return connection;
        connection->close();
    }
    const auto connection = std::make_shared<http::ClientConnection>(this->executor);
    const Status connected = co_await connection->connect(address, deadline);
    co_return isOk(connected) ? connection : nullptr;
}

void CallerGroup::release(const ConnectionPtr& connection)
{
    std::vector<ConnectionPtr>& idle = this->idleConnections[connection->address().text()];
    if (connection->isReusable() && idle.size() < maximumIdleConnections)
        idle.push_back(connection);
    else
        connection->close();
}

} // namespace clementinefall::load
