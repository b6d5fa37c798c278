#include "requests/quarantine.h"

#include <algorithm>
#include <charconv>
#include <tuple>
#include <utility>

namespace clementinefall::requests {

namespace {

constexpr std::uint64_t oneInMillionths = 1'000'000;
constexpr std::size_t minimumServersForQuarantine = 2;
constexpr std::size_t fingerprintDigits = 32;

/// Integers make the sum independent of order; rounding up lets three marks of weight 1/3 sum up to 1.
std::uint64_t weightOf(const CrashMark& mark)
{
    const std::uint64_t inFlight = std::max<std::uint32_t>(mark.inFlight, 1);
    return (oneInMillionths + inFlight - 1) / inFlight;
}

bool isSameMark(const CrashMark& left, const CrashMark& right)
{
    return left.reporter == right.reporter && left.number == right.number;
}

bool isNewer(const CrashMark& left, const CrashMark& right)
{
    return std::tie(left.at, left.reporter, left.number) > std::tie(right.at, right.reporter, right.number);
}

} // namespace

Fingerprint fingerprintOf(
    std::string_view service, std::string_view method, std::string_view path, const Hash128& bodyHash)
{
    StreamHash hash;
    for (const std::string_view part : { service, method, path }) {
        hash.update(part);
        hash.update(std::string_view("\0", 1));
    }
    hash.update(fmt::format("{:016x}{:016x}", bodyHash.high, bodyHash.low));
    const Hash128 digest = hash.digest();
    return { digest.high, digest.low };
}

std::string formatFingerprint(const Fingerprint& fingerprint)
{
    return fmt::format("{:016x}{:016x}", fingerprint.high, fingerprint.low);
}

std::optional<Fingerprint> parseFingerprint(std::string_view text)
{
    if (text.size() != fingerprintDigits)
        return std::nullopt;
    Fingerprint fingerprint;
    const char* middle = text.data() + fingerprintDigits / 2;
    const char* end = text.data() + fingerprintDigits;
    const auto high = std::from_chars(text.data(), middle, fingerprint.high, 16);
    const auto low = std::from_chars(middle, end, fingerprint.low, 16);
    if (high.ec != std::errc {} || high.ptr != middle || low.ec != std::errc {} || low.ptr != end)
        return std::nullopt;
    if (formatFingerprint(fingerprint) != text)
        return std::nullopt;
    return fingerprint;
}

bool Quarantine::merge(const CrashMark& mark, TimePoint now)
{
    if (!this->isUnexpired(mark.at, now))
        return false;
    State& state = this->states[mark.fingerprint];
    if (state.clearing && mark.at <= state.clearing->at)
        return false;
    const auto same = std::find_if(
        state.marks.begin(), state.marks.end(), [&mark](const CrashMark& other) { return isSameMark(mark, other); });
    const bool isNew = same == state.marks.end();
    if (isNew)
        state.marks.push_back(mark);
    else
        same->at = std::max(same->at, mark.at); // The later time makes clearings independent of order.
    std::sort(state.marks.begin(), state.marks.end(), isNewer);
    if (state.marks.size() > this->limits.marksPerFingerprint)
        state.marks.pop_back();
    if (this->states.size() > this->limits.fingerprints)
        this->evictOldest();
    return isNew;
}

bool Quarantine::merge(const MarkClearing& clearing, TimePoint now)
{
    if (!this->isUnexpired(clearing.at, now))
        return false;
    State& state = this->states[clearing.fingerprint];
    if (state.clearing
        && std::tie(clearing.at, clearing.reason) <= std::tie(state.clearing->at, state.clearing->reason))
        return false;
    state.clearing = clearing;
    std::erase_if(state.marks, [&clearing](const CrashMark& mark) { return mark.at <= clearing.at; });
    if (this->states.size() > this->limits.fingerprints)
        this->evictOldest();
    return true;
}

std::optional<MarkClearing> Quarantine::recordSuccess(const Fingerprint& fingerprint, TimePoint now)
{
    const auto found = this->states.find(fingerprint);
    if (found == this->states.end() || found->second.marks.empty())
        return std::nullopt;
    MarkClearing clearing { fingerprint, now, "answered" };
    this->merge(clearing, now);
    return clearing;
}

Result<MarkClearing> Quarantine::release(const Fingerprint& fingerprint, std::string reason, TimePoint now)
{
    if (reason.empty())
        return makeError(ResultCode::BadParameter, "a release from quarantine needs a reason");
    const auto found = this->states.find(fingerprint);
    if (found == this->states.end() || found->second.marks.empty())
        return makeError(
            ResultCode::AdminNotFound, "fingerprint {} has no crash marks", formatFingerprint(fingerprint));
    MarkClearing clearing { fingerprint, now, std::move(reason) };
    this->merge(clearing, now);
    return clearing;
}

bool Quarantine::isQuarantined(const Fingerprint& fingerprint, TimePoint now) const
{
    const auto found = this->states.find(fingerprint);
    return found != this->states.end() && this->summarize(fingerprint, found->second, now).isQuarantined;
}

std::vector<QuarantineEntry> Quarantine::list(TimePoint now) const
{
    std::vector<QuarantineEntry> entries;
    for (const auto& [fingerprint, state] : this->states) {
        QuarantineEntry entry = this->summarize(fingerprint, state, now);
        if (entry.weightMillionths > 0)
            entries.push_back(std::move(entry));
    }
    return entries;
}

void Quarantine::expire(TimePoint now)
{
    for (auto& [fingerprint, state] : this->states) {
        std::erase_if(state.marks, [this, now](const CrashMark& mark) { return !this->isUnexpired(mark.at, now); });
        if (state.clearing && !this->isUnexpired(state.clearing->at, now))
            state.clearing.reset();
    }
    std::erase_if(this->states,
        [](const States::value_type& entry) { return entry.second.marks.empty() && !entry.second.clearing; });
}

QuarantineEntry Quarantine::summarize(const Fingerprint& fingerprint, const State& state, TimePoint now) const
{
    QuarantineEntry entry { fingerprint, {}, {}, 0, false, {} };
    for (const CrashMark& mark : state.marks) {
        if (!this->isUnexpired(mark.at, now))
            continue;
        entry.service = mark.service;
        entry.servers.push_back(mark.server);
        entry.weightMillionths += weightOf(mark);
        entry.expires = std::max(entry.expires, mark.at + this->limits.lifetime);
    }
    std::sort(entry.servers.begin(), entry.servers.end());
    entry.servers.erase(std::unique(entry.servers.begin(), entry.servers.end()), entry.servers.end());
    entry.isQuarantined
        = entry.servers.size() >= minimumServersForQuarantine && entry.weightMillionths >= oneInMillionths;
    return entry;
}

void Quarantine::evictOldest()
{
    const auto oldest = std::min_element(this->states.begin(), this->states.end(),
        [](const auto& left, const auto& right) { return newestTime(left.second) < newestTime(right.second); });
    this->states.erase(oldest);
}

TimePoint Quarantine::newestTime(const State& state)
{
    TimePoint newest = state.clearing ? state.clearing->at : TimePoint::min();
    if (!state.marks.empty())
        newest = std::max(newest, state.marks.front().at);
    return newest;
}

std::uint64_t InFlightTracker::recordSent(const std::string& server, InFlightRequest request)
{
    this->servers[server].emplace(++this->lastRequestNumber, std::move(request));
    return this->lastRequestNumber;
}

void InFlightTracker::recordEnded(const std::string& server, std::uint64_t requestNumber)
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end())
        return;
    found->second.erase(requestNumber);
    if (found->second.empty())
        this->servers.erase(found);
}

std::vector<CrashMark> InFlightTracker::recordCrash(const std::string& server, TimePoint now)
{
    std::vector<CrashMark> marks;
    const auto found = this->servers.find(server);
    if (found == this->servers.end())
        return marks;
    const auto count = static_cast<std::uint32_t>(found->second.size());
    for (const auto& [requestNumber, request] : found->second)
        marks.push_back({ request.fingerprint, request.service, server, this->reporter, this->nextMark++, count, now });
    this->servers.erase(found);
    return marks;
}

} // namespace clementinefall::requests
