#pragma once

#include "platform/kindwatcher.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// How current an instance's knowledge of the store is, for each kind of objects. An age counts from the time as of
/// which an answer proves the knowledge complete, never from an answer about something else. Answers the loss of single
/// answers and connections that go silent while others work.
namespace clementinefall::platform {

std::string_view proofSourceName(ProofSource source);

/// The knowledge of one kind.
struct KindCurrency {
    StorePosition position; ///< All changes up to here are known.
    /// The newest change of the kind is at one of these revisions or between them. Lists do not show removals, so it is
    /// not known exactly after a list.
    std::uint64_t lastChangeFrom = 0;
    std::uint64_t lastChangeUntil = 0;
    TimePoint knownAt {}; ///< All changes before this time are known; unset before the first proof.
    ProofSource source = ProofSource::None;
    bool isLate = false; ///< Its age has passed half of the bound; see updateLateness().
};

/// What an instance reports to others of one kind.
struct KindReport {
    std::string kind;
    StorePosition position;
    std::uint64_t lastChangeFrom = 0;
    std::uint64_t lastChangeUntil = 0;
    Duration age {}; ///< Of the knowledge, at the time of the report.
};

struct StoreCurrency {
    /// Revisions whose change is known, of whatever kind. More than a store makes within a few seconds.
    static constexpr std::size_t maximumKnownRevisions = 4096;

    std::map<std::string, KindCurrency, std::less<>> kinds;
    std::uint64_t era = 0; ///< Of `knownRevisions`.
    std::set<std::uint64_t> knownRevisions;
    StorePosition newestPosition; ///< The newest one that an answer of the store has told, for whatever kind.
};

/// Records a list.
void recordList(StoreCurrency& currency, std::string_view kind, const ObjectSet& set);

/// Records an answer to a watch. An answer of another era is ignored. \a knownBefore is the revision after which the
/// changes were asked for.
void recordChanges(StoreCurrency& currency, std::string_view kind, const ChangeSet& changes, std::uint64_t knownBefore);

/// Records that the store had no change after \a position at \a asOf. Proves each kind of which all changes up to then
/// are known.
void recordStoreRevision(StoreCurrency& currency, StorePosition position, TimePoint asOf);

/// What a report of another instance means here.
enum class ReportVerdict : std::uint8_t {
    Proof, ///< It proves the own knowledge of the kind.
    Nothing, ///< It proves nothing, as its knowledge is older, or cannot be compared.
    Behind, ///< The other instance knows a change, or a restore of the store, that is not known here.
};

/// Records a report whose knowledge is complete as of \a asOf by the local clock; unset when that is not known.
ReportVerdict recordReport(StoreCurrency& currency, const KindReport& report, std::optional<TimePoint> asOf);

/// Discards all proofs, after a pause of the process.
void forgetProofs(StoreCurrency& currency);

/// Age of the knowledge of \a kind; Duration::max() when it was never proved.
Duration ageOf(const StoreCurrency& currency, std::string_view kind, TimePoint now);

std::vector<KindReport> reportsOf(const StoreCurrency& currency, TimePoint now);

/// Whether the age has passed half of \a bound, or has come below it again, since the last call; sets `isLate`.
bool updateLateness(KindCurrency& kind, Duration bound, TimePoint now);

} // namespace clementinefall::platform
