#include "requests/callerapi.h"

#include "http/target.h"
#include "requests/requestsession.h"

#include <boost/json.hpp>

#include <charconv>

namespace clementinefall::requests {

namespace json = boost::json;

using http::Exchange;
using http::Response;
using http::Target;
using http::Verb;

namespace {

/// Maximum number of identities in one response.
constexpr std::uint64_t maximumIdentitiesPerCall = 64;

Response lookup(const Target& target, TrafficThread& thread)
{
    ++thread.state.counters.lookups;
    const auto routing = thread.state.routing();
    if (!routing || !routing->snapshot)
        return http::errorResponse(
            makeError(ResultCode::NotRunNoBundle, "the entry instance has not adopted a bundle yet"));
    const steering::RoutingSnapshot& snapshot = *routing->snapshot;
    const std::string serviceName = target.parameter("service");
    const auto service = steering::find(snapshot.serviceIndex, serviceName);
    if (!service)
        return http::errorResponse(
            makeError(ResultCode::NotRunUnknownService, "service '{}' is not in the bundle", serviceName));
    const std::string zoneName = target.parameter("zone");
    const auto zone = steering::find(snapshot.zoneIndex, zoneName.empty() ? thread.state.self.zone : zoneName);
    if (!zone)
        return http::errorResponse(
            makeError(ResultCode::BadParameter, "availability zone '{}' is not in the bundle", zoneName));
    json::array instances;
    const auto ranked
        = steering::rankEntryInstances(snapshot, *service, *zone, routing->view, Clock::now(), thread.random);
    for (const steering::Index index : ranked) {
        const steering::InstanceRoute& instance = snapshot.instances[index];
        instances.push_back(json::object {
            { "id", instance.name },
            { "incarnation", fmt::format("{:016x}", routing->incarnations[index]) },
            { "address", instance.traffic.host },
            { "port", instance.traffic.port },
            { "zone", snapshot.zones[instance.zone].name },
        });
    }
    const json::object body {
        { "service", serviceName },
        { "bundleVersion", snapshot.version },
        { "ttlMs", snapshot.lookupTtl.count() },
        { "instances", std::move(instances) },
    };
    return http::jsonResponse(200, json::serialize(body) + "\n");
}

Response issueIdentities(const Target& target, TrafficThread& thread)
{
    const std::string text = target.parameter("count");
    std::uint64_t count = text.empty() ? 1 : 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    if (count == 0 || count > maximumIdentitiesPerCall)
        return http::errorResponse(
            makeError(ResultCode::BadParameter, "count must be in 1..{}", maximumIdentitiesPerCall));
    if (thread.state.stopRequested)
        return http::errorResponse(makeError(ResultCode::NotRunStopping, "the entry instance is stopping"));
    std::optional<IssuedRange> range;
    {
        const std::scoped_lock lock(thread.state.executionMutex);
        range = thread.state.executions.issue(count, Clock::now());
    }
    if (!range)
        return http::errorResponse(
            makeError(ResultCode::NotRunRecordTableFull, "the limit of open identities is reached"));
    json::array identities;
    for (std::uint64_t i = 0; i < range->count; ++i) {
        const Identity identity { thread.state.self.name, thread.state.self.incarnation, range->first + i };
        identities.push_back(json::string(formatIdentity(identity)));
    }
    const json::object body {
        { "identities", std::move(identities) },
        { "lifetimeMs", milliseconds(identityLifetime).count() },
    };
    return http::jsonResponse(200, json::serialize(body) + "\n");
}

bool isApiPath(const Target& target, std::string_view last)
{
    return target.segments.size() == 2 && target.segments[0] == "v1" && target.segments[1] == last;
}

bool isServiceRequest(const Target& target)
{
    return target.segments.size() >= 3 && target.segments[0] == "v1" && target.segments[1] == "services";
}

} // namespace

Awaitable<void> handleExchange(std::shared_ptr<Exchange> exchange, TrafficThread& thread)
{
    const auto target = http::parseTarget(exchange->header().target());
    if (target && isServiceRequest(*target)) {
        const auto session = std::make_shared<RequestSession>(
            thread.state, thread.pool, exchange, target->segments[2], Random(thread.random()));
        co_await RequestSession::run(session);
        co_return;
    }
    Response response;
    if (!target)
        response = http::errorResponse(makeError(ResultCode::BadRequest, "the request target cannot be parsed"));
    else if (isApiPath(*target, "lookup") && exchange->header().method() == Verb::get)
        response = lookup(*target, thread);
    else if (isApiPath(*target, "identities") && exchange->header().method() == Verb::post)
        response = issueIdentities(*target, thread);
    else if (isApiPath(*target, "lookup") || isApiPath(*target, "identities"))
        response = http::errorResponse(makeError(ResultCode::MethodNotAllowed, "{}", target->path));
    else
        response = http::errorResponse(makeError(ResultCode::NotFound, "{}", target->path));
    co_await exchange->respond(std::move(response));
}

} // namespace clementinefall::requests
