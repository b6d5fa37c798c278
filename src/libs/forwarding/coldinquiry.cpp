#include "forwarding/coldinquiry.h"

#include "base/durations.h"
#include "base/log.h"
#include "http/spawn.h"

#include <algorithm>
#include <charconv>

namespace clementinefall::forwarding {

namespace {

/// Fraction of the bound for changes. The knowledge gets older than this only when a verification has failed, too.
constexpr double neededAgeFraction = 0.8;

/// Time for which further answers are awaited before others are told: the servers of a zone become cold together.
constexpr milliseconds tellDelay { 20 };

constexpr std::size_t maximumHealthBytes = 16UL * 1024;

/// Tolerance of the interval for the pauses between two calls of update().
constexpr milliseconds intervalTolerance { 20 };

bool isAskable(const BackendServer& server, const ColdInquiryTiming& timing, TimePoint now)
{
    const bool isInUse = server.locality != Locality::OtherRegion || now - server.report.at < timing.useRetention;
    return isInUse && mayReceive(server, now);
}

} // namespace

bool isColdInquiryNeeded(Duration knowledgeAge, Duration changeBound)
{
    return knowledgeAge > scaled(changeBound, neededAgeFraction);
}

std::vector<ServerPointer> serversToAsk(std::span<const ServerPointer> servers,
    const std::map<std::string, AskedServer>& asked, const std::function<bool(const BackendServer&)>& isAsker,
    const ColdInquiryTiming& timing, TimePoint now)
{
    std::vector<std::pair<TimePoint, ServerPointer>> due;
    for (const ServerPointer& server : servers) {
        const auto known = asked.find(server->entry.id);
        const AskedServer state = known == asked.end() ? AskedServer {} : known->second;
        const bool isDue = now - state.askedAt + intervalTolerance >= timing.interval;
        if (!state.isPending && isDue && isAskable(*server, timing, now) && isAsker(*server))
            due.emplace_back(state.askedAt, server);
    }
    std::stable_sort(
        due.begin(), due.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    const auto allowed = static_cast<std::size_t>(timing.maximumPerSecond * timing.interval / seconds(1));
    due.resize(std::min(due.size(), allowed));
    std::vector<ServerPointer> result;
    result.reserve(due.size());
    for (const auto& [askedAt, server] : due)
        result.push_back(server);
    return result;
}

std::optional<Duration> statedColdTime(const http::ResponseHeader& header, const WireNames& names, std::string_view id)
{
    const auto statedId = header[names.healthServerId];
    const auto text = header[names.coldRemaining];
    if (std::string_view(statedId.data(), statedId.size()) != id || header.count(names.coldRemaining) != 1)
        return std::nullopt;
    std::uint64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    constexpr auto longest = static_cast<std::uint64_t>(milliseconds(maximumColdTime).count());
    return milliseconds(std::min(count, longest));
}

ColdInquiry::ColdInquiry(asio::any_io_executor inquiryExecutor, std::shared_ptr<ServerCatalog> serverCatalog,
    WireNames wireNames, ColdInquiryTiming inquiryTiming)
    : executor(std::move(inquiryExecutor))
    , catalog(std::move(serverCatalog))
    , names(std::move(wireNames))
    , timing(inquiryTiming)
{
}

void ColdInquiry::update(bool isNeeded, TimePoint now)
{
    if (std::exchange(this->active, isNeeded) != isNeeded)
        logInfo(isNeeded ? "cold_inquiry_started" : "cold_inquiry_ended", { { "servers", this->catalog->size() } });
    if (!isNeeded) {
        this->idle.clear();
        std::erase_if(
            this->asked, [now](const auto& entry) { return !entry.second.isPending && entry.second.coldUntil <= now; });
        return;
    }
    const std::vector<ServerPointer> servers = this->catalog->allServers();
    const auto self = this->shared_from_this();
    for (const ServerPointer& server : serversToAsk(servers, this->asked, this->isAsker, this->timing, now)) {
        std::string path = this->healthPath(server->entry.service);
        if (path.empty())
            continue;
        AskedServer& state = this->asked[server->entry.id];
        state.askedAt = now;
        state.isPending = true;
        http::spawn(
            this->executor, "ask_server", [self, server, path] { return self->ask(server, path); },
            [self, server] { self->asked[server->entry.id].isPending = false; });
    }
}

std::map<std::string, Duration> ColdInquiry::coldServers(TimePoint now) const
{
    std::map<std::string, Duration> result;
    for (const auto& [id, state] : this->asked) {
        if (state.coldUntil > now)
            result[id] = state.coldUntil - now;
    }
    return result;
}

Awaitable<void> ColdInquiry::ask(ServerPointer server, std::string path)
{
    const auto self = this->shared_from_this();
    const Result<http::Response> response = co_await this->exchange(server, std::move(path));
    this->asked[server->entry.id].isPending = false;
    if (!isOk(response)) {
        logDebug("server_not_asked", { { "server", server->entry.id }, { "why", errorOf(response).text() } });
        co_return;
    }
    const std::optional<Duration> coldTime = statedColdTime(valueOf(response).base(), this->names, server->entry.id);
    if (coldTime && *coldTime > Duration {})
        this->recordAnswer(server, *coldTime, Clock::now());
}

Awaitable<Result<http::Response>> ColdInquiry::exchange(ServerPointer server, std::string path)
{
    const TimePoint deadline = Clock::now() + this->timing.timeout;
    const auto known = this->idle.find(server->entry.id);
    std::shared_ptr<http::ClientConnection> connection = known == this->idle.end() ? nullptr : known->second;
    if (known != this->idle.end())
        this->idle.erase(known);
    const bool isUsable = connection && connection->isReusable() && !connection->hasPendingInput()
        && connection->address() == server->entry.address;
    if (!isUsable) {
        connection = std::make_shared<http::ClientConnection>(this->executor);
        const Status connected = co_await connection->connect(server->entry.address, deadline);
        if (!isOk(connected))
            co_return errorOf(connected);
    }
    http::Request request { http::Verb::get, path, 11 };
    request.set(http::Field::host, server->entry.address.text());
    Result<http::Response> response = co_await connection->exchange(std::move(request), maximumHealthBytes, deadline);
    if (isOk(response) && connection->isReusable() && this->active)
        this->idle[server->entry.id] = connection;
    co_return response;
}

void ColdInquiry::recordAnswer(const ServerPointer& server, Duration coldTime, TimePoint now)
{
    AskedServer& state = this->asked[server->entry.id];
    state.coldUntil = std::max(state.coldUntil, now + coldTime);
    if (!this->catalog->assumeCold(server->entry.id, state.coldUntil, now))
        return;
    logInfo("server_cold",
        { { "server", server->entry.id }, { "service", server->entry.service }, { "source", "server" },
            { "ms", std::chrono::duration_cast<milliseconds>(coldTime).count() } });
    if (std::exchange(this->isTelling, true))
        return;
    const auto self = this->shared_from_this();
    http::spawn(
        this->executor, "tell_cold", [self] { return self->tellSoon(); }, [self] { self->isTelling = false; });
}

Awaitable<void> ColdInquiry::tellSoon()
{
    const auto self = this->shared_from_this();
    asio::steady_timer timer(this->executor, tellDelay);
    co_await timer.async_wait(useTuple);
    this->isTelling = false;
    if (this->onFound)
        this->onFound();
}

} // namespace clementinefall::forwarding
