#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "membership/message.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementinefall::membership {

/// Times and limits of the protocol.
struct Timing {
    milliseconds probePeriod { 1000 };
    milliseconds ackTimeout { 300 };
    /// Time limit for the direct and the indirect probe together. Two relayed round trips between regions take 220 ms.
    milliseconds probeTimeout { 700 };
    milliseconds suspicionBase { 3000 };
    milliseconds suspicionMaximum { 4000 };
    /// While updates are pending, one gossip message goes to a random member in each period. Updates carried by probes
    /// and acks alone reach the last of 50 members only after the suspicion timeout. The last of 750 members received a
    /// death after 5.55 s with a period of 250 ms, and after 5.40 s with 100 ms. The total cost does not depend on the
    /// period, because each update is sent a fixed number of times.
    milliseconds gossipPeriod { 100 };
    milliseconds pauseLimit { 2000 }; ///< After a longer pause the instance probes members to announce itself.
    milliseconds deadProbePeriod { 5000 }; ///< One random dead member is probed in each.
    milliseconds joinPeriod { 5000 }; ///< One random join address that is not a member is probed in each.
    /// One page of a random member's table is requested in each period. The period depends on how the tables compare.
    /// `pagePeriodBehind` applies to a starting instance, which reads 750 members in about 10 s.
    milliseconds pagePeriodEqual { 10'000 };
    milliseconds pagePeriodDifferent { 500 };
    milliseconds pagePeriodBehind { 100 };
    milliseconds pageTimeout { 500 };
    /// Dead members are removed after this time. It exceeds a partition between regions, which can last an hour.
    minutes deadRetention { 360 };
    unsigned indirectProbes = 3;
    unsigned verifyProbesPerPeriod = 4;
    /// Also probes the next member in ring order in each period, so that a dead member is probed within one period.
    /// With random probes alone, the time until the first probe has an exponential tail.
    bool successorProbes = true;
};

/// Detects duplicate messages of one incarnation. Accepts each sequence number once, and none that is 64 or more behind
/// the highest.
class ReplayWindow {
public:
    bool accept(std::uint64_t sequence);

private:
    std::uint64_t highest = 0;
    std::uint64_t receivedMask = 0; ///< Bit i is set when sequence number highest - i was received.
};

struct Member {
    MemberRecord record;
    std::uint64_t ringPosition = 0; ///< Hash of the address.
    std::optional<TimePoint> suspectedSince; ///< Send time of the unacknowledged probe; set during a suspicion.
    TimePoint deadSince;
    TimePoint lastReceivedAt; ///< Time of the last authenticated message from the member itself.
    std::vector<std::uint64_t> retiredIncarnations; ///< Replaced incarnations of this address, newest last.
    InstanceReport report; ///< From the newest message of the member itself.
    TimePoint reportReceivedAt; ///< Default-constructed until the first report.
    std::uint64_t reportSequence = 0;
    ReplayWindow window;
};

enum class ProbePurpose : std::uint8_t {
    Detect, ///< Failure detection; a timeout starts a suspicion.
    Verify, ///< Finds out which incarnation uses an address.
    Revive, ///< Reaches a suspect or dead member so that it can refute, or announces a change of the local instance.
    Join, ///< Contacts an address that is not a member yet.
    Relay ///< Indirect probe on behalf of another member.
};

/// A probe that is not acknowledged yet.
struct Probe {
    ProbePurpose purpose = ProbePurpose::Detect;
    HostPort target;
    std::uint64_t incarnation = 0;
    TimePoint sentAt;
    bool indirectSent = false;
    HostPort requester; ///< Relay only.
    std::uint64_t requesterNonce = 0; ///< Relay only.
};

/// A member whose record is still being disseminated.
struct PendingUpdate {
    HostPort address;
    unsigned sends = 0;
};

/// How the local table compares with that of another member.
enum class TableComparison : std::uint8_t {
    Equal,
    Different,
    Behind ///< The local table lacks many members.
};

/// Members known to one instance, and its protocol state. The functions in memberstep.h change it.
struct MemberTable {
    Timing timing;
    MemberRecord self;
    InstanceReport report;
    std::vector<HostPort> joinAddresses; ///< From the platform's instance list and the settings; used for joining only.

    std::vector<Member> members; ///< Without the local instance.
    std::unordered_map<std::string, std::size_t> index; ///< Maps the address text to the position in `members`.
    std::map<std::uint64_t, Probe> probes; ///< By nonce.
    std::vector<PendingUpdate> pendingUpdates;
    unsigned selfSendsLeft = 0; ///< Messages still to be sent with the changed record of the local instance.

    std::uint64_t sequence = 0;
    bool isAcknowledged = false; ///< A probe was acknowledged since the start or the last long pause.
    bool superseded = false; ///< Another incarnation uses the address; this process must not serve.
    TimePoint lastTick;
    TimePoint lastReceivedAt;
    TimePoint nextPeriod;
    TimePoint nextDeadProbe;
    TimePoint nextJoinProbe;
    TimePoint nextGossip;
    TimePoint lastPageRequest;
    std::optional<std::uint64_t> pageCursor; ///< Ring position after which the next page starts.
    std::optional<TimePoint> pageRequestedAt; ///< Time of the outstanding page request.
    TableComparison comparison = TableComparison::Equal; ///< From the last received message.
    unsigned verifyProbesLeft = 0;
};

MemberTable makeMemberTable(const MemberRecord& self, const Timing& timing, TimePoint now, Random& random);

Member* findMember(MemberTable& table, const HostPort& address);
const Member* findMember(const MemberTable& table, const HostPort& address);

/// Returns the member with the instance name \a name, preferably a live one, or null.
const Member* findMemberByName(const MemberTable& table, std::string_view name);

Member& addMember(MemberTable& table, const MemberRecord& record, TimePoint now);
void removeMember(MemberTable& table, const HostPort& address);

/// Order-independent digest of the addresses and incarnations of the members that are not dead, with the local
/// instance.
std::uint64_t tableDigest(const MemberTable& table);

/// Number of members that are not dead, with the local instance.
std::size_t fleetSize(const MemberTable& table);

/// 3 s × max(1, log10(members)), at most 4 s.
milliseconds suspicionTimeout(const Timing& timing, std::size_t memberCount);

/// Returns the positions of at most \a count random distinct members for which \a accept holds. Scans the table only
/// after 8 × \a count random draws, so that the cost does not grow with the fleet while most members qualify.
template <typename Accept>
std::vector<std::size_t> pickMembers(const MemberTable& table, Random& random, std::size_t count, Accept accept);

std::uint64_t ringPositionOf(const HostPort& address);

/// True while the local instance may be offered to callers: it is acknowledged, live and not superseded.
bool isOfferable(const MemberTable& table);

/// Newest bundle version and digest reported by the local instance or a member that is not dead.
struct NewestBundle {
    std::uint64_t version = 0;
    std::string digest;
    HostPort source;
};
NewestBundle newestBundle(const MemberTable& table);

template <typename Accept>
std::vector<std::size_t> pickMembers(const MemberTable& table, Random& random, std::size_t count, Accept accept)
{
    constexpr std::size_t drawsPerPick = 8;
    std::vector<std::size_t> selected;
    const auto addIfAccepted = [&](std::size_t memberIndex) {
        if (accept(table.members[memberIndex])
            && std::find(selected.begin(), selected.end(), memberIndex) == selected.end())
            selected.push_back(memberIndex);
    };
    const std::size_t size = table.members.size();
    for (std::size_t draw = 0; size > 0 && draw < drawsPerPick * count && selected.size() < count; ++draw)
        addIfAccepted(randomBelow(random, size));
    if (size == 0 || selected.size() == count)
        return selected;
    const std::size_t start = randomBelow(random, size);
    for (std::size_t i = 0; i < size && selected.size() < count; ++i)
        addIfAccepted((start + i) % size);
    return selected;
}

} // namespace clementinefall::membership
