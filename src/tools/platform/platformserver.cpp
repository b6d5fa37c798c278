#include "platformserver.h"

#include "base/log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace clementinefall::platform_sim {

namespace json = boost::json;

using http::Exchange;
using http::Field;
using http::RequestHeader;
using http::Response;
using http::Target;
using http::Verb;

namespace {

constexpr milliseconds maximumWatchWait { 60'000 };

/// Retention of past instance lists, which limits the lag of the served list.
constexpr seconds maximumListLag { 120 };

std::uint64_t numberParameter(const Target& target, const std::string& name)
{
    const std::string text = target.parameter(name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

Response notFound(const std::string& objectName)
{
    return http::errorResponse(makeError(ResultCode::PlatformNotFound, "{}", objectName));
}

Response conflict()
{
    Response response = http::jsonResponse(412, "{}");
    return response;
}

Response versionedResponse(std::string body, std::uint64_t version)
{
    Response response = http::jsonResponse(200, std::move(body));
    response.set(Field::etag, platform::formatEntityTag(version));
    return response;
}

/// Version that a conditional request expects; 0 for `If-None-Match: *`, std::nullopt without a valid condition.
std::optional<std::uint64_t> expectedVersion(const RequestHeader& header)
{
    if (http::fieldValue(header, "If-None-Match") == "*")
        return 0;
    const auto version = platform::parseEntityTag(http::fieldValue(header, "If-Match"));
    return isOk(version) ? std::optional(valueOf(version)) : std::nullopt;
}

/// Whether Faults::lostResponsesLeft can apply to the request.
bool isWrite(const RequestHeader& header) { return header.method() == Verb::put || header.method() == Verb::delete_; }

} // namespace

PlatformServer::PlatformServer(asio::io_context& ioContext)
    : context(ioContext)
{
}

Status PlatformServer::listen(const HostPort& address)
{
    const std::vector<asio::io_context*> contexts { &this->context };
    this->server = std::make_shared<http::Server>(contexts, http::ServerLimits {},
        [this](std::shared_ptr<Exchange> exchange) { return this->handle(std::move(exchange)); });
    return this->server->listen(address);
}

void PlatformServer::close()
{
    this->server->close();
    for (Watcher& watcher : this->watchers)
        watcher.timer.cancel();
}

Awaitable<void> PlatformServer::handle(std::shared_ptr<Exchange> exchange)
{
    const auto target = http::parseTarget(exchange->header().target());
    if (!target || target->segments.empty()) {
        Response rejection = http::errorResponse(makeError(ResultCode::BadRequest, "request target cannot be parsed"));
        co_await exchange->respond(std::move(rejection));
        co_return;
    }
    const std::string& resource = target->segments.front();
    const bool isControl = resource == "faults" || resource == "counters";
    if (!isControl && Clock::now() < this->faults.outageUntil) {
        ++this->counters.failedByOutage;
        exchange->abort();
        co_return;
    }
    if (!isControl && this->faults.responseDelay.count() > 0) {
        asio::steady_timer timer(this->context, this->faults.responseDelay);
        co_await timer.async_wait(useTuple);
    }
    Response response = co_await this->route(exchange, *target);
    // Requests that were pending when the outage began, such as a watch or a delayed request, fail as well.
    if (!isControl && Clock::now() < this->faults.outageUntil) {
        ++this->counters.failedByOutage;
        exchange->abort();
        co_return;
    }
    if (resource == "objects" && isWrite(exchange->header()) && response.result_int() == 200
        && this->faults.lostResponsesLeft > 0) {
        --this->faults.lostResponsesLeft;
        ++this->counters.responsesLost;
        exchange->abort();
        co_return;
    }
    co_await exchange->respond(std::move(response));
}

Awaitable<Response> PlatformServer::route(std::shared_ptr<Exchange> exchange, const Target& target)
{
    const std::string& resource = target.segments.front();
    if (resource == "objects" && target.segments.size() == 3)
        co_return co_await this->handleObject(exchange, target);
    if (resource == "objects" && target.segments.size() == 2) {
        ++this->counters.lists;
        co_return http::jsonResponse(200, platform::serializeObjectList(this->store.list(target.segments[1])));
    }
    if (resource == "watch" && target.segments.size() == 2)
        co_return co_await this->watch(target);
    if (resource == "counters")
        co_return this->countersResponse();
    if (resource == "instances" || resource == "faults") {
        const Result<std::string> body = co_await exchange->receiveWholeBody(platform::maximumValueBytes);
        if (!isOk(body))
            co_return http::errorResponse(errorOf(body));
        if (resource == "faults")
            co_return this->setFaults(valueOf(body));
        co_return this->handleInstances(exchange->header(), target, valueOf(body));
    }
    co_return notFound(target.path);
}

Awaitable<Response> PlatformServer::handleObject(std::shared_ptr<Exchange> exchange, const Target& target)
{
    const std::string kind = target.segments[1];
    const std::string name = target.segments[2];
    if (exchange->header().method() == Verb::get)
        co_return this->readObject(kind, name);
    if (exchange->header().method() == Verb::delete_)
        co_return this->removeObject(exchange->header(), kind, name);
    if (exchange->header().method() != Verb::put)
        co_return http::errorResponse(makeError(ResultCode::MethodNotAllowed, "{}", target.path));
    Result<std::string> body = co_await exchange->receiveWholeBody(platform::maximumValueBytes);
    if (!isOk(body))
        co_return http::errorResponse(errorOf(body));
    co_return this->writeObject(exchange->header(), kind, name, std::move(valueOf(body)));
}

Response PlatformServer::readObject(const std::string& kind, const std::string& name)
{
    ++this->counters.reads;
    const auto previous = this->previousValues.find({ kind, name });
    if (this->faults.staleReadsLeft > 0 && previous != this->previousValues.end()) {
        --this->faults.staleReadsLeft;
        ++this->counters.staleReads;
        return versionedResponse(previous->second.value, previous->second.version);
    }
    const platform::VersionedValue* object = this->store.find(kind, name);
    if (!object)
        return notFound(kind + "/" + name);
    return versionedResponse(object->value, object->version);
}

Response PlatformServer::writeObject(
    const RequestHeader& header, const std::string& kind, const std::string& name, std::string value)
{
    ++this->counters.writes;
    const auto expected = expectedVersion(header);
    if (!expected)
        return http::errorResponse(
            makeError(ResultCode::BadRequest, "write without a valid If-Match or If-None-Match: * header"));
    if (const platform::VersionedValue* object = this->store.find(kind, name))
        this->previousValues[{ kind, name }] = *object;
    const auto version = this->store.write(kind, name, std::move(value), *expected);
    if (!version) {
        ++this->counters.conflicts;
        return conflict();
    }
    this->notifyWatchers(kind);
    return versionedResponse("{}", *version);
}

Response PlatformServer::removeObject(const RequestHeader& header, const std::string& kind, const std::string& name)
{
    ++this->counters.writes;
    const auto expected = expectedVersion(header);
    if (!expected || !this->store.remove(kind, name, *expected)) {
        ++this->counters.conflicts;
        return conflict();
    }
    this->notifyWatchers(kind);
    return http::jsonResponse(200, "{}");
}

Awaitable<Response> PlatformServer::watch(const Target& target)
{
    ++this->counters.watches;
    const std::string kind = target.segments[1];
    const std::uint64_t afterRevision = numberParameter(target, "after");
    const auto wait = std::min(milliseconds(numberParameter(target, "waitMs")), maximumWatchWait);
    if (this->store.kindRevision(kind) <= afterRevision) {
        const auto watcher = this->watchers.insert(
            this->watchers.end(), { kind, afterRevision, asio::steady_timer(this->context, wait) });
        co_await watcher->timer.async_wait(useTuple);
        this->watchers.erase(watcher);
    }
    co_return http::jsonResponse(200, platform::serializeObjectList(this->store.list(kind)));
}

void PlatformServer::notifyWatchers(const std::string& kind)
{
    for (Watcher& watcher : this->watchers) {
        if (watcher.kind == kind)
            watcher.timer.cancel();
    }
}

platform::InstanceList PlatformServer::servedInstances() const
{
    const TimePoint asOf = Clock::now() - this->faults.listLag;
    platform::InstanceList result;
    for (const auto& [time, list] : this->instanceHistory) {
        if (time <= asOf)
            result = list;
    }
    return result;
}

Response PlatformServer::handleInstances(const RequestHeader& header, const Target& target, const std::string& body)
{
    if (header.method() == Verb::get) {
        ++this->counters.instanceLists;
        return http::jsonResponse(200, platform::serializeInstanceList(this->servedInstances()));
    }
    // PUT /instances replaces the list; PUT /instances/<name> sets the state of one instance to the body, which is
    // `live` or `leaving`, or removes the instance if the body is `gone`.
    if (target.segments.size() == 1) {
        const auto parsed = platform::parseInstanceList(body);
        if (!isOk(parsed))
            return http::errorResponse(errorOf(parsed));
        this->instances = valueOf(parsed);
    } else {
        const std::string& name = target.segments[1];
        for (auto* list : { &this->instances.entryInstances, &this->instances.backendServers }) {
            if (body == "gone")
                std::erase_if(*list, [&name](const auto& instance) { return instance.name == name; });
            for (platform::ListedInstance& instance : *list) {
                if (instance.name == name)
                    instance.state
                        = body == "leaving" ? platform::InstanceState::Leaving : platform::InstanceState::Live;
            }
        }
    }
    const TimePoint now = Clock::now();
    this->instanceHistory.emplace_back(now, this->instances);
    while (this->instanceHistory.size() > 1 && this->instanceHistory[1].first < now - maximumListLag)
        this->instanceHistory.pop_front();
    return http::jsonResponse(200, "{}");
}

Response PlatformServer::setFaults(const std::string& body)
{
    try {
        const json::object fields = json::parse(body).as_object();
        const auto numericField = [&fields](std::string_view name) {
            return fields.contains(name) ? fields.at(name).to_number<unsigned>() : 0U;
        };
        this->faults.outageUntil = Clock::now() + milliseconds(numericField("outageMs"));
        this->faults.responseDelay = milliseconds(numericField("slowMs"));
        this->faults.lostResponsesLeft = numericField("loseAnswers");
        this->faults.listLag = milliseconds(numericField("listLagMs"));
        this->faults.staleReadsLeft = numericField("staleReads");
    } catch (const std::exception& error) {
        return http::errorResponse(makeError(ResultCode::BadParameter, "faults cannot be parsed: {}", error.what()));
    }
    logInfo("faults_set", { { "faults", body } });
    return http::jsonResponse(200, "{}");
}

Response PlatformServer::countersResponse() const
{
    return http::jsonResponse(200,
        json::serialize(json::object {
            { "reads", this->counters.reads },
            { "writes", this->counters.writes },
            { "conflicts", this->counters.conflicts },
            { "lists", this->counters.lists },
            { "watches", this->counters.watches },
            { "instanceLists", this->counters.instanceLists },
            { "failedByOutage", this->counters.failedByOutage },
            { "answersLost", this->counters.responsesLost },
            { "staleReads", this->counters.staleReads },
        }));
}

} // namespace clementinefall::platform_sim
