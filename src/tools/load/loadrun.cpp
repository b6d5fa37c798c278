#include "load/loadrun.h"

#include "base/random.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace clementinefall::load {

namespace {

constexpr std::size_t maximumEffectsBytes = 512UL * 1024 * 1024;
constexpr seconds effectsTimeout { 30 };

struct Run {
    const LoadSettings& settings;
    std::vector<std::shared_ptr<CallerGroup>> groups;
    LoadResult result;
    std::size_t inFlight = 0;
    TimePoint start;
    Random random; ///< Kept out of coroutine frames: above 2 KiB, g++ 12 falsely reports mismatched new and delete.
};

const RequestKind& pickKind(const std::vector<RequestKind>& kinds, Random& random)
{
    double sum = 0;
    for (const RequestKind& kind : kinds)
        sum += kind.weight;
    double position = randomUnit(random) * sum;
    for (const RequestKind& kind : kinds) {
        position -= kind.weight;
        if (position < 0)
            return kind;
    }
    return kinds.back();
}

Awaitable<void> invokeAndRecord(Run& run, std::shared_ptr<CallerGroup> group, RequestKind kind, std::uint64_t number)
{
    ++run.inFlight;
    const Duration sentAt = Clock::now() - run.start;
    RequestRecord record = co_await group->invoke(std::move(kind), number);
    record.sentAt = sentAt;
    run.result.records.push_back(std::move(record));
    --run.inFlight;
}

Awaitable<void> sendArrivals(Run& run, asio::io_context& context)
{
    Random& random = run.random;
    std::exponential_distribution<double> interarrivalSeconds(run.settings.arrivalsPerSecond);
    asio::steady_timer timer(context);
    TimePoint next = run.start;
    for (std::uint64_t number = 1; next < run.start + run.settings.duration; ++number) {
        timer.expires_at(next);
        co_await timer.async_wait(useTuple);
        const auto group = run.groups[randomBelow(random, run.groups.size())];
        const RequestKind kind = pickKind(run.settings.scenario.kinds, random);
        if (run.inFlight < run.settings.maximumInFlight)
            asio::co_spawn(context, invokeAndRecord(run, group, kind, number), asio::detached);
        else
            ++run.result.dropped;
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interarrivalSeconds(random)));
    }
}

Awaitable<void> readEffects(HostPort control, asio::io_context& context, Result<http::Response>& result)
{
    const auto connection = std::make_shared<http::ClientConnection>(context.get_executor());
    const TimePoint deadline = Clock::now() + effectsTimeout;
    const Status connected = co_await connection->connect(control, deadline);
    if (!isOk(connected)) {
        result = errorOf(connected);
        co_return;
    }
    http::Request request { http::Verb::get, "/effects", 11 };
    result = co_await connection->exchange(std::move(request), maximumEffectsBytes, deadline);
}

} // namespace

LoadResult runLoad(const LoadSettings& settings)
{
    asio::io_context context(1);
    Run run { settings, {}, {}, 0, Clock::now(), Random(settings.seed) };
    for (const std::string& zone : settings.scenario.zones)
        run.groups.push_back(std::make_shared<CallerGroup>(context.get_executor(), zone, settings.entries));
    asio::co_spawn(context, sendArrivals(run, context), asio::detached);
    context.run();
    return std::move(run.result);
}

Result<std::vector<EffectRecord>> fetchEffects(const HostPort& control)
{
    asio::io_context context(1);
    Result<http::Response> response = makeError(ResultCode::UnknownTimeout, "{}", control.text());
    asio::co_spawn(context, readEffects(control, context, response), asio::detached);
    context.run();
    if (!isOk(response))
        return errorOf(response);
    return parseEffects(valueOf(response).body());
}

} // namespace clementinefall::load
