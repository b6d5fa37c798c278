#include "platform/currency.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace clementinefall::platform {

std::string_view proofSourceName(ProofSource source)
{
    constexpr std::array<std::string_view, 5> names { "none", "store", "store_revision", "watcher", "instance" };
    return names[static_cast<std::size_t>(source)];
}

namespace {

void addKnownRevisions(StoreCurrency& currency, const ChangeSet& changes)
{
    for (const ObjectChange& change : changes.changes)
        currency.knownRevisions.insert(change.object.revision);
    while (currency.knownRevisions.size() > StoreCurrency::maximumKnownRevisions)
        currency.knownRevisions.erase(currency.knownRevisions.begin());
}

/// Moves the position over changes that were learned with other kinds: each revision is one change of one object.
void skipKnownRevisions(const StoreCurrency& currency, KindCurrency& kind)
{
    if (kind.position.era != currency.era)
        return;
    for (auto next = currency.knownRevisions.upper_bound(kind.position.revision);
         next != currency.knownRevisions.end() && *next == kind.position.revision + 1; ++next)
        kind.position.revision = *next;
}

void prove(KindCurrency& kind, TimePoint asOf, ProofSource source)
{
    if (asOf <= kind.knownAt)
        return;
    kind.knownAt = asOf;
    kind.source = source;
}

void enterEra(StoreCurrency& currency, std::uint64_t era)
{
    if (era <= currency.era)
        return;
    currency.era = era;
    currency.knownRevisions.clear();
}

} // namespace

void recordList(StoreCurrency& currency, std::string_view kind, const ObjectSet& set)
{
    KindCurrency& known = currency.kinds[std::string(kind)];
    enterEra(currency, set.era);
    known.position = { set.era, set.revision };
    known.lastChangeFrom = 0;
    known.lastChangeUntil = set.revision;
    for (const StoredObject& object : set.objects)
        known.lastChangeFrom = std::max(known.lastChangeFrom, object.revision);
    prove(known, set.asOf, ProofSource::Store);
}

void recordChanges(StoreCurrency& currency, std::string_view kind, const ChangeSet& changes, std::uint64_t knownBefore)
{
    KindCurrency& known = currency.kinds[std::string(kind)];
    if (changes.era != known.position.era)
        return;
    if (changes.era == currency.era)
        addKnownRevisions(currency, changes);
    if (!changes.changes.empty()) {
        // The revision of a removed object may be that of its last change.
        std::uint64_t newest = knownBefore + 1;
        for (const ObjectChange& change : changes.changes)
            newest = std::max(newest, change.object.revision);
        known.lastChangeFrom = std::max(known.lastChangeFrom, newest);
        known.lastChangeUntil = std::max(known.lastChangeUntil, changes.revision);
    }
    known.position.revision = std::max(known.position.revision, changes.revision);
    prove(known, changes.asOf, changes.source);
}

void recordStoreRevision(StoreCurrency& currency, StorePosition position, TimePoint asOf)
{
    if (std::tie(position.era, position.revision)
        > std::tie(currency.newestPosition.era, currency.newestPosition.revision))
        currency.newestPosition = position;
    for (auto& [name, kind] : currency.kinds) {
        skipKnownRevisions(currency, kind);
        if (kind.position.era == position.era && kind.position.revision >= position.revision)
            prove(kind, asOf, ProofSource::StoreRevision);
    }
}

ReportVerdict recordReport(StoreCurrency& currency, const KindReport& report, std::optional<TimePoint> asOf)
{
    const auto found = currency.kinds.find(report.kind);
    if (found == currency.kinds.end())
        return ReportVerdict::Nothing;
    KindCurrency& known = found->second;
    if (report.position.era != known.position.era)
        return report.position.era > known.position.era ? ReportVerdict::Behind : ReportVerdict::Nothing;
    if (report.lastChangeFrom > known.position.revision)
        return ReportVerdict::Behind;
    if (report.lastChangeUntil > known.position.revision)
        return ReportVerdict::Nothing;
    // The other instance knows of no change of the kind after the own position up to its own.
    known.position.revision = std::max(known.position.revision, report.position.revision);
    if (!asOf)
        return ReportVerdict::Nothing;
    prove(known, *asOf, ProofSource::Instance);
    return ReportVerdict::Proof;
}

void forgetProofs(StoreCurrency& currency)
{
    for (auto& [name, kind] : currency.kinds) {
        kind.knownAt = {};
        kind.source = ProofSource::None;
    }
}

Duration ageOf(const StoreCurrency& currency, std::string_view kind, TimePoint now)
{
    const auto found = currency.kinds.find(kind);
    if (found == currency.kinds.end() || found->second.knownAt == TimePoint {})
        return Duration::max();
    return std::max(Duration {}, now - found->second.knownAt);
}

std::vector<KindReport> reportsOf(const StoreCurrency& currency, TimePoint now)
{
    std::vector<KindReport> reports;
    for (const auto& [name, kind] : currency.kinds) {
        if (kind.knownAt == TimePoint {})
            continue;
        reports.push_back({ .kind = name,
            .position = kind.position,
            .lastChangeFrom = kind.lastChangeFrom,
            .lastChangeUntil = kind.lastChangeUntil,
            .age = ageOf(currency, name, now) });
    }
    return reports;
}

bool updateLateness(KindCurrency& kind, Duration bound, TimePoint now)
{
    const bool isLate = kind.knownAt != TimePoint {} && now - kind.knownAt > bound / 2;
    return std::exchange(kind.isLate, isLate) != isLate;
}

} // namespace clementinefall::platform
