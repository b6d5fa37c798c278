#include "link/control.h"

#include "http/target.h"

#include <boost/json.hpp>

#include <charconv>

namespace clementinefall::link {

namespace json = boost::json;

namespace {

constexpr double maximumDelayMs = 60'000;

json::object pathJson(const Path& path)
{
    return { { "delayMs", path.quality.delay.count() }, { "jitterMs", path.quality.jitter.count() },
        { "lossPercent", path.quality.lossPercent }, { "silent", path.silent }, { "bytes", path.counters.bytes },
        { "pieces", path.counters.pieces }, { "lost", path.counters.lost },
        { "silencedBytes", path.counters.silencedBytes }, { "overflow", path.counters.overflow } };
}

std::string relaysJson(const std::vector<Relay>& relays)
{
    json::array list;
    for (const Relay& relay : relays) {
        const RelayState& state = *relay.state;
        list.push_back(json::object { { "name", state.name }, { "listen", state.listen.text() },
            { "to", state.target.text() }, { "cut", state.cut }, { "connections", state.connections },
            { "resets", state.resets }, { "open", relay.tcp ? relay.tcp->openConnections() : 0 },
            { "senders", relay.udp ? relay.udp->senders() : 0 }, { "forward", pathJson(state.paths[0]) },
            { "backward", pathJson(state.paths[1]) } });
    }
    return json::serialize(list) + "\n";
}

/// Value of the numeric parameter \a name, or nullopt if it is missing. Errors: BadParameter.
Result<std::optional<double>> numericParameter(const http::Target& target, const std::string& name, double maximum)
{
    const std::string text = target.parameter(name);
    if (text.empty())
        return std::optional<double>();
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > maximum)
        return makeError(ResultCode::BadParameter, "parameter {} must be a number in 0..{}", name, maximum);
    return std::optional<double>(value);
}

Result<std::vector<Direction>> parseDirections(const http::Target& target)
{
    const std::string text = target.parameter("direction");
    if (text == "forward")
        return std::vector<Direction> { Direction::Forward };
    if (text == "backward")
        return std::vector<Direction> { Direction::Backward };
    if (text.empty() || text == "both")
        return std::vector<Direction> { Direction::Forward, Direction::Backward };
    return makeError(ResultCode::BadParameter, "direction must be forward, backward or both");
}

Status setQuality(const Relay& relay, const http::Target& target, const std::vector<Direction>& directions)
{
    const auto delay = numericParameter(target, "delayMs", maximumDelayMs);
    const auto jitter = numericParameter(target, "jitterMs", maximumDelayMs);
    const auto loss = numericParameter(target, "lossPercent", 100);
    for (const auto* value : { &delay, &jitter, &loss }) {
        if (!isOk(*value))
            return errorOf(*value);
    }
    for (const Direction direction : directions) {
        PathQuality& quality = relay.state->path(direction).quality;
        if (valueOf(delay))
            quality.delay = milliseconds(static_cast<std::int64_t>(*valueOf(delay)));
        if (valueOf(jitter))
            quality.jitter = milliseconds(static_cast<std::int64_t>(*valueOf(jitter)));
        quality.lossPercent = valueOf(loss).value_or(quality.lossPercent);
    }
    return okStatus();
}

Status silence(const Relay& relay, const http::Target& target, const std::vector<Direction>& directions)
{
    const std::string scope = target.parameter("scope");
    if (!scope.empty() && scope != "all" && scope != "existing")
        return makeError(ResultCode::BadParameter, "scope must be existing or all");
    for (const Direction direction : directions) {
        if (scope != "existing")
            relay.state->path(direction).silent = true;
        else if (relay.tcp)
            relay.tcp->silenceExisting(direction);
        if (scope == "existing" && relay.udp)
            relay.udp->silenceExisting(direction);
    }
    return okStatus();
}

Status restore(const Relay& relay)
{
    relay.state->cut = false;
    for (Path& path : relay.state->paths)
        path.silent = false;
    if (relay.udp)
        relay.udp->endSilence();
    if (!relay.tcp)
        return okStatus();
    relay.tcp->endSilence();
    return relay.tcp->start();
}

Status runCommand(const Relay& relay, const http::Target& target)
{
    const std::string& command = target.segments[2];
    const auto directions = parseDirections(target);
    if (!isOk(directions))
        return errorOf(directions);
    if (command == "set")
        return setQuality(relay, target, valueOf(directions));
    if (command == "silence")
        return silence(relay, target, valueOf(directions));
    if (command == "restore")
        return restore(relay);
    if (command != "cut")
        return makeError(ResultCode::NotFound, "unknown command '{}'", command);
    relay.state->cut = true;
    if (relay.tcp)
        relay.tcp->stop();
    return okStatus();
}

/// Runs the command of `/relays/<name>/<command>` on the named relay or on all of them. Errors: NotFound, BadParameter.
Status dispatchCommand(const std::vector<Relay>& relays, const http::Target& target)
{
    if (target.segments.size() != 3 || target.segments[0] != "relays")
        return makeError(ResultCode::NotFound, "there is no such resource");
    Status status = makeError(ResultCode::NotFound, "there is no relay '{}'", target.segments[1]);
    for (const Relay& relay : relays) {
        if (target.segments[1] != "all" && target.segments[1] != relay.state->name)
            continue;
        status = runCommand(relay, target);
        if (!isOk(status))
            return status;
    }
    return status;
}

Awaitable<void> handleControl(
    std::shared_ptr<const std::vector<Relay>> relays, std::shared_ptr<http::Exchange> exchange)
{
    const auto target = http::parseTarget(exchange->header().target());
    const auto method = exchange->header().method();
    http::Response response = http::errorResponse(makeError(ResultCode::NotFound, "there is no such resource"));
    if (target && method == http::Verb::get && target->path == "/relays") {
        response = http::jsonResponse(200, relaysJson(*relays));
    } else if (target && method == http::Verb::post) {
        const Status status = dispatchCommand(*relays, *target);
        response = isOk(status) ? http::jsonResponse(200, "{}\n") : http::errorResponse(errorOf(status));
    }
    co_await exchange->respond(std::move(response));
}

} // namespace

Result<Relay> startRelay(asio::io_context& context, RelayState state)
{
    Relay relay;
    relay.state = std::make_shared<RelayState>(std::move(state));
    if (relay.state->protocol != Protocol::Udp) {
        relay.tcp = std::make_shared<TcpRelay>(context, relay.state);
        const Status started = relay.tcp->start();
        if (!isOk(started))
            return errorOf(started);
    }
    if (relay.state->protocol != Protocol::Tcp) {
        relay.udp = std::make_shared<UdpRelay>(context, relay.state);
        const Status started = relay.udp->start();
        if (!isOk(started))
            return errorOf(started);
    }
    return relay;
}

http::Handler controlHandler(std::vector<Relay> relays)
{
    const auto shared = std::make_shared<const std::vector<Relay>>(std::move(relays));
    return [shared](std::shared_ptr<http::Exchange> exchange) { return handleControl(shared, std::move(exchange)); };
}

} // namespace clementinefall::link
