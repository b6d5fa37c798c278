#include "backend/control.h"

#include "http/target.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace clementinefall::backend {

namespace json = boost::json;

namespace {

using Servers = std::vector<std::shared_ptr<SimServer>>;
using ExchangePtr = std::shared_ptr<http::Exchange>;

constexpr double maximumSlowFactor = 1000.0;
constexpr double maximumCommandTimeMs = 600'000.0;

/// Runs \a action on the server's I/O context and returns its result.
Awaitable<std::string> runOnServer(std::shared_ptr<SimServer> server, std::function<std::string(SimServer&)> action)
{
    asio::io_context& context = server->ioContext();
    auto task = [](std::shared_ptr<SimServer> owner,
                    std::function<std::string(SimServer&)> step) -> Awaitable<std::string> { co_return step(*owner); };
    Awaitable<std::string> running = task(server, std::move(action));
    auto [failure, text] = co_await asio::co_spawn(context, std::move(running), useTuple);
    if (failure)
        std::rethrow_exception(failure);
    co_return text;
}

std::string effectLines(const SimServer& server)
{
    std::string text;
    for (const auto& [identity, effect] : server.effects())
        text += effectLine(server, identity, effect) + "\n";
    return text;
}

Awaitable<void> sendEffects(const Servers& servers, ExchangePtr exchange)
{
    http::ResponseHeader header;
    header.result(200);
    header.set(http::Field::content_type, "application/x-ndjson");
    Status sent = co_await exchange->sendHeader(std::move(header), std::nullopt);
    const std::function<std::string(SimServer&)> read = effectLines;
    for (const auto& server : servers) {
        const std::string text = co_await runOnServer(server, read);
        if (isOk(sent) && !text.empty())
            sent = co_await exchange->sendBody(text);
    }
    if (isOk(sent))
        co_await exchange->endBody();
}

Awaitable<void> sendCounters(const Servers& servers, ExchangePtr exchange)
{
    std::string body = "[";
    const std::function<std::string(SimServer&)> read = countersText;
    for (const auto& server : servers) {
        const std::string text = co_await runOnServer(server, read);
        body += (body.size() > 1 ? ",\n" : "") + text;
    }
    body += "]\n";
    http::Response response = http::jsonResponse(200, std::move(body));
    co_await exchange->respond(std::move(response));
}

Result<double> numericParameter(
    const http::Target& target, const std::string& name, double fallback, double minimum, double maximum)
{
    const std::string text = target.parameter(name);
    if (text.empty())
        return fallback;
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < minimum || value > maximum)
        return makeError(ResultCode::BadParameter, "parameter {} must be a number in {}..{}", name, minimum, maximum);
    return value;
}

/// Action that the command in the third segment of \a target runs on a server. Errors: BadParameter, NotFound.
Result<std::function<std::string(SimServer&)>> commandAction(const http::Target& target)
{
    using Action = std::function<std::string(SimServer&)>;
    const std::string& command = target.segments[2];
    const Result<double> ms = numericParameter(target, "ms", -1, 0, maximumCommandTimeMs);
    const Result<double> factor = numericParameter(target, "factor", 1, 0.01, maximumSlowFactor);
    if (!isOk(ms))
        return errorOf(ms);
    if (!isOk(factor))
        return errorOf(factor);
    const milliseconds time(static_cast<std::int64_t>(valueOf(ms)));
    const bool isOn = target.parameter("on") != "0";
    const auto withoutResult = [](auto step) {
        return Action([step](SimServer& server) {
            step(server);
            return std::string();
        });
    };
    if (command == "drain" || command == "undrain")
        return withoutResult([on = command == "drain"](SimServer& server) { server.setDraining(on); });
    if (command == "crash") {
        return withoutResult(
            [time](SimServer& server) { server.crash(time.count() < 0 ? server.serverProfile().restartTime : time); });
    }
    if (command == "silence")
        return withoutResult([](SimServer& server) { server.silenceConnections(); });
    if (command == "mislead")
        return withoutResult([isOn](SimServer& server) { server.setMisleading(isOn); });
    if (command == "slow")
        return withoutResult([value = valueOf(factor)](SimServer& server) { server.setSlowFactor(value); });
    if (command == "lag")
        return withoutResult([time](SimServer& server) { server.setReportLag(std::max(time, milliseconds(0))); });
    return makeError(ResultCode::NotFound, "server command '{}' is not supported", command);
}

Awaitable<Status> applyCommand(const Servers& servers, const http::Target& target)
{
    const auto action = commandAction(target);
    if (!isOk(action))
        co_return errorOf(action);
    const std::string& name = target.segments[1];
    bool hasMatch = false;
    for (const auto& server : servers) {
        if (name != "all" && server->service() != name && server->description().name != name)
            continue;
        hasMatch = true;
        co_await runOnServer(server, valueOf(action));
    }
    if (!hasMatch)
        co_return makeError(ResultCode::NotFound, "no server or service is named '{}'", name);
    co_return okStatus();
}

Awaitable<void> resetAll(const Servers& servers)
{
    const std::function<std::string(SimServer&)> action = [](SimServer& server) {
        server.reset();
        return std::string();
    };
    for (const auto& server : servers)
        co_await runOnServer(server, action);
}

Awaitable<void> handleControl(std::shared_ptr<const Servers> servers, ExchangePtr exchange)
{
    const auto target = http::parseTarget(exchange->header().target());
    const auto method = exchange->header().method();
    if (target && method == http::Verb::get && target->path == "/effects")
        co_return co_await sendEffects(*servers, exchange);
    if (target && method == http::Verb::get && target->path == "/counters")
        co_return co_await sendCounters(*servers, exchange);
    Status status = makeError(ResultCode::NotFound, "no such resource or method");
    if (target && method == http::Verb::post && target->path == "/reset") {
        co_await resetAll(*servers);
        status = okStatus();
    } else if (target && method == http::Verb::post && target->segments.size() == 3
        && target->segments[0] == "servers") {
        status = co_await applyCommand(*servers, *target);
    }
    http::Response response = isOk(status) ? http::jsonResponse(200, "{}\n") : http::errorResponse(errorOf(status));
    co_await exchange->respond(std::move(response));
}

} // namespace

std::string effectLine(const SimServer& server, const std::string& identity, const Effect& effect)
{
    return json::serialize(json::object { { "identity", identity }, { "service", server.service() },
        { "server", server.description().name }, { "count", effect.count }, { "path", effect.path },
        { "hash", effect.bodyHash }, { "firstAtMs", effect.firstAt.count() } });
}

std::string countersText(const SimServer& server)
{
    const ServerCounters& count = server.counters();
    return json::serialize(json::object { { "server", server.description().name }, { "service", server.service() },
        { "zone", server.description().zone }, { "slots", server.description().slots }, { "started", count.started },
        { "finished", count.finished }, { "shed", count.shed }, { "expired", count.expired },
        { "cancelled", count.cancelled }, { "connections", count.connections },
        { "connectionsRefused", count.connectionsRefused }, { "probes", count.probes }, { "crashes", count.crashes },
        { "startedAfterDrain", count.startedAfterDrain },
        { "latestStartAfterDrainMs", count.latestStartAfterDrain.count() },
        { "highestConcurrency", count.highestConcurrency } });
}

http::Handler controlHandler(Servers servers)
{
    const auto sharedServers = std::make_shared<const Servers>(std::move(servers));
    return [sharedServers](ExchangePtr exchange) { return handleControl(sharedServers, std::move(exchange)); };
}

} // namespace clementinefall::backend
