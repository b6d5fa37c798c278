#include "forwarding/peerforwarding.h"

#include "base/hash.h"
#include "http/message.h"

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace clementinefall::forwarding {

using requests::AttemptEnd;

namespace {

/// Name of the field with the number of servers that may be tried.
constexpr std::string_view maximumServersField = "Clementine-Servers";

/// Name of the field with the number of servers to which the request was sent. Earlier releases do not send it.
constexpr std::string_view serversTriedField = "Clementine-Tried";

/// Name of the field with the incarnation of the server that created the response, if it leaves: its id and start time.
constexpr std::string_view leavingServerField = "Clementine-Leaving";

constexpr unsigned maximumServersBound = 1000;

std::optional<unsigned> parseServers(std::string_view text)
{
    unsigned servers = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), servers);
    if (error != std::errc() || end != text.data() + text.size() || servers > maximumServersBound)
        return std::nullopt;
    return servers;
}

/// Inserts a field before all others of \a head: a caller or a server may have sent one with the same name.
void prependField(std::string& head, std::string_view name, std::string_view value)
{
    constexpr std::string_view endOfLine = "\r\n";
    head.insert(head.find(endOfLine) + endOfLine.size(), fmt::format("{}: {}{}", name, value, endOfLine));
}

auto findField(std::vector<std::pair<std::string, std::string>>& fields, std::string_view name)
{
    return std::find_if(fields.begin(), fields.end(), [name](const auto& field) {
        return beast::iequals(field.first, { name.data(), name.size() });
    });
}

std::optional<LeavingServer> parseLeavingServer(std::string_view text)
{
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos || space == 0)
        return std::nullopt;
    LeavingServer server { std::string(text.substr(0, space)), 0 };
    const auto [end, error] = std::from_chars(text.data() + space + 1, text.data() + text.size(), server.startTimeMs);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return server;
}

/// Removes the first field with that name and returns its value; empty when there is none.
std::string takeField(std::vector<std::pair<std::string, std::string>>& fields, std::string_view name)
{
    const auto field = findField(fields, name);
    if (field == fields.end())
        return {};
    std::string value = std::move(field->second);
    fields.erase(field);
    return value;
}

} // namespace

bool hasRoomForPeerRequest(const PeerRequestLoad& load)
{
    if (load.total >= load.limit)
        return false;
    return load.total < load.limit / 2 || load.ofRoute < load.limit / std::max<std::size_t>(1, load.routes);
}

std::optional<std::size_t> choosePeer(std::span<const Peer> peers, const std::string& localRegion,
    std::span<const std::string> allowedRegions, std::span<const std::string> tried, std::uint64_t object,
    std::uint64_t random)
{
    std::optional<std::size_t> best;
    std::pair<bool, std::uint64_t> bestRank;
    for (std::size_t i = 0; i < peers.size(); ++i) {
        const Peer& peer = peers[i];
        if (std::find(tried.begin(), tried.end(), peer.name) != tried.end())
            continue;
        if (!allowedRegions.empty()
            && std::find(allowedRegions.begin(), allowedRegions.end(), peer.region) == allowedRegions.end())
            continue;
        const std::pair rank { peer.region == localRegion, hash64(peer.name, object != 0 ? object : random) };
        if (!best || rank > bestRank) {
            best = i;
            bestRank = rank;
        }
    }
    return best;
}

unsigned serversForPeer(unsigned remaining) { return remaining > 1 ? remaining - 1 : 1; }

std::string encodePeerRequestHead(
    const ForwardedRequest& request, const WireNames& names, unsigned maximumServers, Duration timeLeft)
{
    std::string head = encodeRequestHead(request, names, {}, timeLeft);
    prependField(head, maximumServersField, std::to_string(maximumServers));
    return head;
}

Status decodePeerRequest(ForwardedRequest& request)
{
    const auto field = findField(request.fields, maximumServersField);
    if (field == request.fields.end())
        return makeError(ResultCode::BadRequest, "the {} field is missing", maximumServersField);
    const std::optional<unsigned> servers = parseServers(field->second);
    if (!servers || *servers == 0)
        return makeError(ResultCode::BadRequest, "the {} field is not a number of servers", maximumServersField);
    request.serversAllowedByPeer = *servers;
    request.fields.erase(field);
    return okStatus();
}

std::string encodePeerResponseHead(const CallerResponse& response, std::optional<std::size_t> bodyBytes)
{
    std::string head = encodeResponseHead(response, bodyBytes);
    prependField(head, http::HeaderName::outcome, outcomeName(outcomeOf(response.code)));
    // Without a value when there is nothing to tell: a server's field of that name would be taken for it.
    prependField(head, serversTriedField, response.serversTried ? std::to_string(*response.serversTried) : "");
    const auto& leaving = response.leavingServer;
    prependField(head, leavingServerField, leaving ? fmt::format("{} {}", leaving->id, leaving->startTimeMs) : "");
    return head;
}

Awaitable<bool> PeerResponseSink::begin(const CallerResponse& head, std::optional<std::size_t> length)
{
    CallerResponse response = head;
    takeField(response.fields, http::HeaderName::outcome);
    takeField(response.fields, serversTriedField);
    this->leaving = parseLeavingServer(takeField(response.fields, leavingServerField));
    co_return co_await this->sink.begin(response, length);
}

void applyPeerOutcome(ServerResponse& response)
{
    if (response.end != AttemptEnd::Answered && response.end != AttemptEnd::ShedByServer
        && response.end != AttemptEnd::RejectedUnproven)
        return;
    auto& fields = response.message.fields;
    const std::string outcome = takeField(fields, http::HeaderName::outcome);
    response.message.serversTried = parseServers(takeField(fields, serversTriedField));
    response.message.leavingServer = parseLeavingServer(takeField(fields, leavingServerField));
    const bool isAnswered = outcome == outcomeName(Outcome::Answered);
    // An instance of an earlier release takes each status of a server for an answer.
    if (isAnswered && response.end != AttemptEnd::RejectedUnproven)
        response.end = AttemptEnd::Answered;
    else if (outcome == outcomeName(Outcome::NotRun))
        response.end = AttemptEnd::RejectedByPeer;
    else if (!isAnswered)
        response.end = AttemptEnd::NotDecided;
    if (response.end != AttemptEnd::RejectedUnproven)
        response.detail.clear();
    response.message.code = requests::codeOfAttempt(response.end);
}

} // namespace clementinefall::forwarding
