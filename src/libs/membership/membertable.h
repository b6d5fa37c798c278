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

/// Times and limits of the protocol. The defaults are the ones of the design page, section 8.
struct Timing {
    milliseconds probePeriod { 1000 };
    milliseconds ackTimeout { 300 };
    /// Direct and indirect probing together; two relayed round trips between regions take 220 ms.
    milliseconds probeTimeout { 700 };
    milliseconds suspicionBase { 3000 };
    milliseconds suspicionMaximum { 4000 };
    /// While there are rumours, one more message goes to a random member in each. Probes and their answers alone reach
    /// the last of 50 members only after the suspicion has ended; with 250 ms the last of 750 learned of a death after
    /// 5.55 s, with 100 ms after 5.40 s. A rumour ends after a fixed number of sends, so the total cost is the same.
    milliseconds gossipPeriod { 100 };
    milliseconds pauseLimit { 2000 }; ///< After a longer pause the instance announces itself again.
    milliseconds deadProbePeriod { 5000 }; ///< One random dead member is tried in each.
    milliseconds hintPeriod { 5000 }; ///< One random hint that is not a member is tried in each.
    /// One page of the table of a random member is read in each period, chosen by how the tables compare. The shortest
    /// one serves an instance that starts; it reads 750 members in about 10 s.
    milliseconds pagePeriodEqual { 10'000 };
    milliseconds pagePeriodDifferent { 500 };
    milliseconds pagePeriodBehind { 100 };
    milliseconds pageTimeout { 500 };
    minutes forgetDead { 360 }; ///< Regions lose contact for an hour now and then; dead members are kept for longer.
    unsigned indirectProbes = 3;
    unsigned verifyProbesPerPeriod = 4;
    /// Also probes the next member in ring order in each period. This bounds the time until a dead member is first
    /// probed to one period; with random probes alone it has an exponential tail.
    bool successorProbes = true;
};

/// Recognises copies of messages of one incarnation: accepts each sequence number once, at most 64 late.
class ReplayWindow {
public:
    bool accept(std::uint64_t sequence);

private:
    std::uint64_t highest = 0;
    std::uint64_t seen = 0; ///< Bit i: sequence highest - i was seen.
};

struct Member {
    MemberRecord record;
    std::uint64_t ringPosition = 0; ///< Hash of the address.
    std::optional<TimePoint> failedSince; ///< Time of the unanswered probe, while suspicion runs.
    TimePoint deadSince;
    TimePoint heardAt; ///< Last authenticated message from the member itself.
    std::vector<std::uint64_t> retired; ///< Replaced incarnations of this address, newest last.
    InstanceReport report; ///< From the member's own newest message.
    TimePoint reportAt; ///< Default when there is no report yet.
    std::uint64_t reportSequence = 0;
    ReplayWindow window;
};

enum class ProbePurpose : std::uint8_t { Detect, Verify, Revive, Join, Relay };

/// A probe without an answer yet.
struct Probe {
    ProbePurpose purpose = ProbePurpose::Detect;
    HostPort target;
    std::uint64_t incarnation = 0;
    TimePoint sentAt;
    bool indirectSent = false;
    HostPort requester; ///< Relay only.
    std::uint64_t requesterNonce = 0; ///< Relay only.
};

/// A record that is still to be spread.
struct Rumour {
    HostPort address;
    unsigned sends = 0;
};

/// How the table of another member compares with the own one.
enum class TableComparison : std::uint8_t { Equal, Different, Behind };

/// Members known to one instance and the state of its own protocol. Plain data; memberstep.h changes it.
struct MemberTable {
    Timing timing;
    MemberRecord self;
    InstanceReport report;
    std::vector<HostPort> hints; ///< Addresses from the platform's list and the settings, for joining only.

    std::vector<Member> members; ///< Without the instance itself.
    std::unordered_map<std::string, std::size_t> index; ///< Address text to place in `members`.
    std::map<std::uint64_t, Probe> probes; ///< By nonce.
    std::vector<Rumour> rumours;
    unsigned ownRumourSends = 0; ///< Messages that are still to carry the instance's own changed record.

    std::uint64_t sequence = 0;
    bool announced = false; ///< A member has answered since the start or the last long pause.
    bool superseded = false; ///< Another incarnation has taken over the address; this process must not serve.
    TimePoint lastTick;
    TimePoint lastHeard;
    TimePoint nextPeriod;
    TimePoint nextDeadProbe;
    TimePoint nextHint;
    TimePoint nextGossip;
    TimePoint lastPage;
    std::optional<std::uint64_t> pageCursor; ///< Position of the read through other members' tables.
    std::optional<TimePoint> pageSentAt; ///< A page was requested and has not arrived.
    TableComparison comparison = TableComparison::Equal; ///< From the last message.
    unsigned verifyProbesLeft = 0;
};

MemberTable makeMemberTable(const MemberRecord& self, const Timing& timing, TimePoint now, Random& random);

Member* findMember(MemberTable& table, const HostPort& address);
const Member* findMember(const MemberTable& table, const HostPort& address);

/// Member with the instance name \a name; a live one is preferred.
const Member* findMemberByName(const MemberTable& table, std::string_view name);

Member& addMember(MemberTable& table, const MemberRecord& record, TimePoint now);
void removeMember(MemberTable& table, const HostPort& address);

/// Sum over the present members and the instance itself; equal for equal sets of addresses and incarnations.
std::uint64_t tableDigest(const MemberTable& table);

/// Members that are not dead, with the instance itself.
std::size_t fleetSize(const MemberTable& table);

/// 3 s × max(1, log10(members)), at most 4 s.
milliseconds suspicionTimeout(const Timing& timing, std::size_t fleet);

/// At most \a count random distinct members for which \a accept holds. Draws at most 8 times as often as \a count
/// before it falls back to a scan, so that the cost does not grow with the fleet while most members qualify.
template <typename Accept>
std::vector<std::size_t> pickMembers(const MemberTable& table, Random& random, std::size_t count, Accept accept);

std::uint64_t ringPositionOf(const HostPort& address);

/// True while the instance may be offered to callers: it is announced and not replaced or leaving.
bool isOfferable(const MemberTable& table);

/// Newest bundle version and digest that any live member, or the instance itself, has reported.
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
    std::vector<std::size_t> picked;
    const auto take = [&](std::size_t place) {
        if (accept(table.members[place]) && std::find(picked.begin(), picked.end(), place) == picked.end())
            picked.push_back(place);
    };
    const std::size_t size = table.members.size();
    for (std::size_t draw = 0; size > 0 && draw < drawsPerPick * count && picked.size() < count; ++draw)
        take(randomBelow(random, size));
    if (size == 0 || picked.size() == count)
        return picked;
    const std::size_t start = randomBelow(random, size);
    for (std::size_t i = 0; i < size && picked.size() < count; ++i)
        take((start + i) % size);
    return picked;
}

} // namespace clementinefall::membership
