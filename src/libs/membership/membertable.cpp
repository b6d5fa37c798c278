#include "membership/membertable.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace clementinefall::membership {

bool ReplayWindow::accept(std::uint64_t sequence)
{
    constexpr std::uint64_t windowSize = 64;
    if (sequence > this->highest) {
        const std::uint64_t shift = sequence - this->highest;
        this->receivedMask = shift >= windowSize ? 0 : this->receivedMask << shift;
        this->receivedMask |= 1U;
        this->highest = sequence;
        return true;
    }
    const std::uint64_t age = this->highest - sequence;
    if (age >= windowSize)
        return false;
    const std::uint64_t bit = 1ULL << age;
    if ((this->receivedMask & bit) != 0)
        return false;
    this->receivedMask |= bit;
    return true;
}

MemberTable makeMemberTable(const MemberRecord& self, const Timing& timing, TimePoint now, Random& random)
{
    MemberTable table;
    table.timing = timing;
    table.self = self;
    table.self.state = MemberState::Live;
    table.lastTick = now;
    table.lastReceivedAt = now;
    // A random phase keeps instances that start together from probing together.
    const auto periodMs = static_cast<std::uint64_t>(timing.probePeriod.count());
    table.nextPeriod = now + milliseconds(randomBelow(random, periodMs));
    table.nextDeadProbe = now + timing.deadProbePeriod;
    table.nextJoinProbe = now;
    table.lastPageRequest = now - timing.pagePeriodEqual;
    return table;
}

Member* findMember(MemberTable& table, const HostPort& address)
{
    const auto found = table.index.find(address.text());
    return found == table.index.end() ? nullptr : &table.members[found->second];
}

const Member* findMember(const MemberTable& table, const HostPort& address)
{
    const auto found = table.index.find(address.text());
    return found == table.index.end() ? nullptr : &table.members[found->second];
}

const Member* findMemberByName(const MemberTable& table, std::string_view name)
{
    const Member* result = nullptr;
    for (const Member& member : table.members) {
        if (member.record.name != name)
            continue;
        if (!result || member.record.state < result->record.state)
            result = &member;
    }
    return result;
}

Member& addMember(MemberTable& table, const MemberRecord& record, TimePoint now)
{
    Member member;
    member.record = record;
    member.ringPosition = ringPositionOf(record.address);
    if (record.state == MemberState::Suspect)
        member.suspectedSince = now - record.suspectAge;
    table.index[record.address.text()] = table.members.size();
    table.members.push_back(std::move(member));
    return table.members.back();
}

void removeMember(MemberTable& table, const HostPort& address)
{
    const auto found = table.index.find(address.text());
    if (found == table.index.end())
        return;
    const std::size_t memberIndex = found->second;
    table.index.erase(found);
    if (memberIndex + 1 != table.members.size()) {
        table.members[memberIndex] = std::move(table.members.back());
        table.index[table.members[memberIndex].record.address.text()] = memberIndex;
    }
    table.members.pop_back();
}

std::uint64_t tableDigest(const MemberTable& table)
{
    // Multiplying by an odd constant spreads the sum of the two random-looking numbers over all bits.
    constexpr std::uint64_t factor = 0x9e3779b97f4a7c15ULL;
    const auto term = [](std::uint64_t position, std::uint64_t incarnation) {
        const std::uint64_t mixed = (position ^ incarnation) * factor;
        return mixed ^ (mixed >> 32U);
    };
    std::uint64_t digest = term(ringPositionOf(table.self.address), table.self.incarnation);
    for (const Member& member : table.members) {
        if (member.record.state != MemberState::Dead)
            digest += term(member.ringPosition, member.record.incarnation);
    }
    return digest;
}

std::size_t fleetSize(const MemberTable& table)
{
    const auto count = std::count_if(table.members.begin(), table.members.end(),
        [](const Member& member) { return member.record.state != MemberState::Dead; });
    return static_cast<std::size_t>(count) + 1;
}

milliseconds suspicionTimeout(const Timing& timing, std::size_t memberCount)
{
    const double factor = std::max(1.0, std::log10(static_cast<double>(memberCount)));
    const auto scaled
        = milliseconds(static_cast<std::int64_t>(static_cast<double>(timing.suspicionBase.count()) * factor));
    return std::min(scaled, timing.suspicionMaximum);
}

std::uint64_t ringPositionOf(const HostPort& address) { return hash64(address.text()); }

bool isOfferable(const MemberTable& table)
{
    return table.isAcknowledged && !table.superseded && table.self.state == MemberState::Live;
}

NewestBundle newestBundle(const MemberTable& table)
{
    NewestBundle newest { table.report.newestBundle, table.report.newestDigest, table.self.address };
    for (const Member& member : table.members) {
        if (member.record.state == MemberState::Dead || member.report.newestBundle <= newest.version)
            continue;
        newest = { member.report.newestBundle, member.report.newestDigest, member.record.address };
    }
    return newest;
}

} // namespace clementinefall::membership
