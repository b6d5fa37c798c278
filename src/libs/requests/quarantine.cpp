#include "requests/quarantine.h"

#include <algorithm>
#include <charconv>
#include <tuple>
#include <utility>

namespace clementinefall::requests {

namespace {

constexpr unsigned strongEvidence = 2;
constexpr unsigned weakEvidence = 1;
constexpr unsigned evidenceForQuarantine = 4;
constexpr std::size_t serversForQuarantine = 2;
/// Confirmed crashes of one server that count as much as those of several.
constexpr std::ptrdiff_t crashesOfOneServer = 4;
constexpr std::size_t fingerprintDigits = 32;

/// Crashes within this time may have a common cause. Also the time after which a run of unknown start was sent after an
/// earlier crash.
constexpr milliseconds commonCauseWindow { 1500 };

/// By how much a time of one reporter may be late at another one, beyond the age that its message states.
constexpr milliseconds clockAllowance { 150 };

constexpr seconds firstTrialInterval { 30 };
constexpr unsigned trialIntervalFactor = 4;
/// The interval stays below the lifetime of the marks.
constexpr unsigned maximumTrialSteps = 2;

/// Whether the run of \a later was sent after the crash of \a earlier.
bool isIndependent(const CrashMark& earlier, const CrashMark& later)
{
    if (!later.run)
        return later.at - earlier.at > commonCauseWindow;
    if (later.reporter == earlier.reporter && earlier.run)
        return later.run->sent >= earlier.run->lost;
    return later.at - (later.run->lost - later.run->sent) >= earlier.at + clockAllowance;
}

bool isAtSameTime(const CrashMark& left, const CrashMark& right)
{
    return left.at - right.at <= commonCauseWindow && right.at - left.at <= commonCauseWindow;
}

/// Whether two marks may be of the same crash.
bool isSameCrash(const CrashMark& left, const CrashMark& right)
{
    return left.server == right.server && isAtSameTime(left, right);
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

bool isTrialInstance(const Fingerprint& fingerprint, std::string_view self, std::span<const std::string> instances)
{
    const std::uint64_t seed = fingerprint.high ^ fingerprint.low;
    const std::pair own { hash64(self, seed), self };
    return std::none_of(instances.begin(), instances.end(), [&](const std::string& instance) {
        return std::pair { hash64(instance, seed), std::string_view(instance) } > own;
    });
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
    ++this->version;
    State& state = this->states[mark.fingerprint];
    if (state.clearing && mark.at <= state.clearing->at)
        return false;
    const auto same = std::find_if(
        state.marks.begin(), state.marks.end(), [&mark](const CrashMark& other) { return isSameMark(mark, other); });
    const bool isNew = same == state.marks.end();
    if (isNew)
        state.marks.push_back(mark);
    else {
        same->at = std::max(same->at, mark.at); // The later time makes clearings independent of order.
        same->isConfirmed = same->isConfirmed || mark.isConfirmed;
    }
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
    ++this->version;
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
    if (found == this->states.end() || found->second.marks.empty()
        || !this->isUnexpired(found->second.marks.front().at, now))
        return false;
    const State& state = found->second;
    // Between two changes the verdict stays the same; a quarantined request may come often.
    if (state.verdictVersion != this->version) {
        state.verdict = this->summarize(fingerprint, state, now).isQuarantined;
        state.verdictVersion = this->version;
    }
    return state.verdict;
}

std::vector<QuarantineEntry> Quarantine::list(TimePoint now) const
{
    std::vector<QuarantineEntry> entries;
    for (const auto& [fingerprint, state] : this->states) {
        QuarantineEntry entry = this->summarize(fingerprint, state, now);
        if (entry.crashes > 0)
            entries.push_back(std::move(entry));
    }
    return entries;
}

std::vector<Fingerprint> Quarantine::confirmCrash(std::uint64_t reporter, const std::string& server, TimePoint since)
{
    std::vector<Fingerprint> confirmed;
    for (auto& [fingerprint, state] : this->states) {
        for (CrashMark& mark : state.marks) {
            if (mark.reporter != reporter || mark.server != server || mark.at < since || mark.isConfirmed)
                continue;
            mark.isConfirmed = true;
            ++this->version;
            confirmed.push_back(fingerprint);
        }
    }
    return confirmed;
}

TimePoint Quarantine::nextTrial(const Fingerprint& fingerprint, TimePoint now) const
{
    const auto found = this->states.find(fingerprint);
    if (found == this->states.end() || found->second.marks.empty())
        return now;
    const State& state = found->second;
    const unsigned evidence = this->summarize(fingerprint, state, now).evidence;
    const unsigned excess = evidence > evidenceForQuarantine ? evidence - evidenceForQuarantine : 0;
    const unsigned steps = std::min((excess + strongEvidence - 1) / strongEvidence, maximumTrialSteps);
    Duration interval = firstTrialInterval;
    for (unsigned step = 0; step < steps; ++step)
        interval *= trialIntervalFactor;
    return std::max(state.marks.front().at, state.lastTrial) + interval;
}

void Quarantine::recordTrial(const Fingerprint& fingerprint, TimePoint now)
{
    const auto found = this->states.find(fingerprint);
    if (found != this->states.end())
        found->second.lastTrial = now;
}

std::vector<CrashMark> Quarantine::marksToReport(
    std::optional<std::uint64_t> reporter, TimePoint since, std::size_t limit, TimePoint now) const
{
    struct Candidate {
        std::size_t crashes = 0;
        const CrashMark* mark = nullptr;
    };
    std::vector<Candidate> candidates;
    for (const auto& [fingerprint, state] : this->states) {
        if (!reporter && !this->summarize(fingerprint, state, now).isQuarantined)
            continue;
        for (const CrashMark& mark : state.marks) {
            if (mark.at >= since && (!reporter || mark.reporter == *reporter))
                candidates.push_back({ state.marks.size(), &mark });
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tie(left.crashes, left.mark->at) > std::tie(right.crashes, right.mark->at);
    });
    std::vector<CrashMark> result;
    for (std::size_t i = 0; i < std::min(limit, candidates.size()); ++i)
        result.push_back(*candidates[i].mark);
    return result;
}

void Quarantine::expire(TimePoint now)
{
    for (auto& [fingerprint, state] : this->states) {
        // The marks of a request expire together: older ones tell what the next one means.
        if (!state.marks.empty() && !this->isUnexpired(state.marks.front().at, now)) {
            state.marks.clear();
            ++this->version;
        }
        if (state.clearing && !this->isUnexpired(state.clearing->at, now))
            state.clearing.reset();
    }
    std::erase_if(this->states,
        [](const States::value_type& entry) { return entry.second.marks.empty() && !entry.second.clearing; });
}

std::vector<Quarantine::CrashGroup> Quarantine::independentCrashes(const State& state, TimePoint now) const
{
    std::vector<CrashGroup> crashes;
    if (state.marks.empty() || !this->isUnexpired(state.marks.front().at, now))
        return crashes;
    for (auto mark = state.marks.rbegin(); mark != state.marks.rend(); ++mark) {
        if (crashes.empty() || isIndependent(*crashes.back().front(), *mark))
            crashes.emplace_back();
        crashes.back().push_back(&*mark);
    }
    return crashes;
}

bool Quarantine::isStrongEvidence(const CrashMark& crash, const State& state) const
{
    if (!crash.isConfirmed || crash.hasSurvivors)
        return false;
    // A server that crashed at about the same time without the request points to another cause.
    for (const auto& [fingerprint, other] : this->states) {
        for (const CrashMark& mark : other.marks) {
            if (!mark.isConfirmed || !isAtSameTime(mark, crash))
                continue;
            const bool isExplained = std::any_of(state.marks.begin(), state.marks.end(),
                [&mark](const CrashMark& own) { return isSameCrash(own, mark); });
            if (!isExplained)
                return false;
        }
    }
    return true;
}

bool Quarantine::hasRival(const Fingerprint& fingerprint, const std::vector<CrashGroup>& crashes) const
{
    return std::any_of(this->states.begin(), this->states.end(), [&](const States::value_type& entry) {
        if (entry.first == fingerprint || entry.second.marks.empty())
            return false;
        const auto wasIn = [&entry](const CrashMark* crash) {
            return std::any_of(entry.second.marks.begin(), entry.second.marks.end(),
                [crash](const CrashMark& mark) { return isSameCrash(mark, *crash); });
        };
        return std::all_of(crashes.begin(), crashes.end(),
            [&wasIn](const CrashGroup& group) { return std::any_of(group.begin(), group.end(), wasIn); });
    });
}

QuarantineEntry Quarantine::summarize(const Fingerprint& fingerprint, const State& state, TimePoint now) const
{
    QuarantineEntry entry { .fingerprint = fingerprint, .service = {}, .servers = {} };
    const std::vector<CrashGroup> crashes = this->independentCrashes(state, now);
    if (crashes.empty())
        return entry;
    for (const CrashMark& mark : state.marks)
        entry.servers.push_back(mark.server);
    std::sort(entry.servers.begin(), entry.servers.end());
    entry.servers.erase(std::unique(entry.servers.begin(), entry.servers.end()), entry.servers.end());
    entry.service = state.marks.front().service;
    entry.expires = state.marks.front().at + this->limits.lifetime;
    entry.crashes = static_cast<unsigned>(crashes.size());
    entry.evidence = entry.crashes * weakEvidence;
    // Most requests with marks were in one crash, which is not enough however strong it is.
    if (crashes.size() < 2)
        return entry;
    if (!this->hasRival(fingerprint, crashes)) {
        for (const CrashGroup& group : crashes) {
            const bool isStrong = std::any_of(group.begin(), group.end(),
                [&](const CrashMark* mark) { return this->isStrongEvidence(*mark, state); });
            entry.evidence += isStrong ? strongEvidence - weakEvidence : 0;
        }
    }
    const auto confirmed = std::count_if(crashes.begin(), crashes.end(), [](const CrashGroup& group) {
        return std::any_of(group.begin(), group.end(), [](const CrashMark* mark) { return mark->isConfirmed; });
    });
    entry.isQuarantined = entry.evidence >= evidenceForQuarantine
        && (entry.servers.size() >= serversForQuarantine || confirmed >= crashesOfOneServer);
    return entry;
}

void Quarantine::evictOldest()
{
    const auto oldest = std::min_element(this->states.begin(), this->states.end(),
        [](const auto& left, const auto& right) { return newestTime(left.second) < newestTime(right.second); });
    this->states.erase(oldest);
    ++this->version;
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

bool InFlightTracker::hasEarlierCopy(const InFlightRequest& request, const std::string& lostServer) const
{
    return std::any_of(this->servers.begin(), this->servers.end(), [&](const auto& server) {
        return server.first != lostServer
            && std::any_of(server.second.begin(), server.second.end(), [&request](const auto& other) {
                   return other.second.fingerprint == request.fingerprint && other.second.sentAt <= request.sentAt;
               });
    });
}

std::optional<CrashMark> InFlightTracker::recordLost(
    const std::string& server, std::uint64_t requestNumber, TimePoint now)
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end() || !found->second.contains(requestNumber))
        return std::nullopt;
    const auto inFlight = static_cast<std::uint32_t>(found->second.size());
    const InFlightRequest request = found->second.at(requestNumber);
    this->recordEnded(server, requestNumber);
    const auto stamp = [](TimePoint time) { return std::chrono::floor<milliseconds>(time.time_since_epoch()); };
    return CrashMark { .fingerprint = request.fingerprint,
        .service = request.service,
        .server = server,
        .reporter = this->reporterId,
        .number = this->nextMark++,
        .inFlight = inFlight,
        .at = now,
        .run = ReportedRun { .sent = stamp(request.sentAt), .lost = stamp(now) },
        .hasSurvivors = this->hasEarlierCopy(request, server) };
}

} // namespace clementinefall::requests
