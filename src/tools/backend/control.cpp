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
constexpr double maximumOrderMs = 600'000.0;

/// Runs \a action on the server's thread and gives its result.
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

Result<double> numberOf(
    const http::Target& target, const std::string& name, double fallback, double minimum, double maximum)
{
    const std::string text = target.parameter(name);
    if (text.empty())
        return fallback;
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < minimum || value > maximum)
        return makeError(ResultCode::BadParameter, "{} must be in {}..{}", name, minimum, maximum);
    return value;
}

/// Action of an order. Errors: BadParameter, NotFound.
Result<std::function<std::string(SimServer&)>> orderAction(const http::Target& target)
{
    using Action = std::function<std::string(SimServer&)>;
    const std::string& order = target.segments[2];
    const Result<double> ms = numberOf(target, "ms", -1, 0, maximumOrderMs);
    const Result<double> factor = numberOf(target, "factor", 1, 0.01, maximumSlowFactor);
    if (!isOk(ms))
        return errorOf(ms);
    if (!isOk(factor))
        return errorOf(factor);
    const milliseconds time(static_cast<std::int64_t>(valueOf(ms)));
    const bool isOn = target.parameter("on") != "0";
    const auto simple = [](auto step) {
        return Action([step](SimServer& server) {
            step(server);
            return std::string();
        });
    };
    if (order == "drain" || order == "undrain")
        return simple([on = order == "drain"](SimServer& server) { server.setDraining(on); });
    if (order == "crash") {
        return simple(
            [time](SimServer& server) { server.crash(time.count() < 0 ? server.serverProfile().restartTime : time); });
    }
    if (order == "silence")
        return simple([](SimServer& server) { server.silence(); });
    if (order == "mislead")
        return simple([isOn](SimServer& server) { server.setMisleading(isOn); });
    if (order == "slow")
        return simple([value = valueOf(factor)](SimServer& server) { server.setSlowFactor(value); });
    if (order == "lag")
        return simple([time](SimServer& server) { server.setReportLag(std::max(time, milliseconds(0))); });
    return makeError(ResultCode::NotFound, "there is no order '{}'", order);
}

Awaitable<Status> giveOrder(const Servers& servers, const http::Target& target)
{
    const auto action = orderAction(target);
    if (!isOk(action))
        co_return errorOf(action);
    const std::string& name = target.segments[1];
    bool isKnown = false;
    for (const auto& server : servers) {
        if (name != "all" && server->service() != name && server->description().name != name)
            continue;
        isKnown = true;
        co_await runOnServer(server, valueOf(action));
    }
    if (!isKnown)
        co_return makeError(ResultCode::NotFound, "there is no server '{}'", name);
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
    Status done = makeError(ResultCode::NotFound, "there is no such resource");
    if (target && method == http::Verb::post && target->path == "/reset") {
        co_await resetAll(*servers);
        done = okStatus();
    } else if (target && method == http::Verb::post && target->segments.size() == 3
        && target->segments[0] == "servers") {
        done = co_await giveOrder(*servers, *target);
    }
    http::Response response = isOk(done) ? http::jsonResponse(200, "{}\n") : http::errorResponse(errorOf(done));
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
    const auto shared = std::make_shared<const Servers>(std::move(servers));
    return [shared](ExchangePtr exchange) { return handleControl(shared, std::move(exchange)); };
}

} // namespace clementinefall::backend
