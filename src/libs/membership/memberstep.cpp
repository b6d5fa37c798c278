#include "membership/memberstep.h"

#include <algorithm>
#include <cmath>

namespace clementinefall::membership {

namespace {

/// Retired incarnations kept for each address; a stale message about an older one leads to one probe.
constexpr std::size_t maximumRetired = 4;
/// A table that is larger than this refuses new members, so that a faulty peer cannot exhaust the memory. The design
/// scale is 750 members.
constexpr std::size_t maximumMembers = 4'096;
/// A rumour is sent this often times the number of decimal digits of the fleet size. Table pages repair what is missed.
constexpr unsigned sendsPerDigit = 4;
/// Probes that are sent when the instance starts to leave or returns from a pause.
constexpr std::size_t announceProbes = 3;

bool isDead(const Member& member) { return member.record.state == MemberState::Dead; }
bool isPresent(const Member& member) { return !isDead(member); }
bool isHealthy(const Member& member) { return isPresent(member) && !member.failedSince; }

unsigned rumourSends(const MemberTable& table)
{
    const double members = static_cast<double>(table.members.size() + 2);
    return sendsPerDigit * static_cast<unsigned>(std::ceil(std::log10(members)));
}

/// Raises the instance's own counter over \a refutations and lets its record spread.
void refute(MemberTable& table, std::uint32_t refutations)
{
    table.self.refutations = refutations + 1;
    table.ownRumourSends = rumourSends(table);
}

void addRumour(MemberTable& table, const HostPort& address)
{
    const auto found = std::find_if(
        table.rumours.begin(), table.rumours.end(), [&](const Rumour& rumour) { return rumour.address == address; });
    if (found == table.rumours.end())
        table.rumours.push_back(Rumour { address, 0 });
    else
        found->sends = 0;
}

void noteChange(MemberTable& table, const Member& member, bool isNew, bool spread, Step& step)
{
    step.changes.push_back(MemberChange { member.record, isNew });
    if (spread)
        addRumour(table, member.record.address);
}

/// Without messages for two periods the instance may itself be the one that cannot receive. It then acts on its own
/// suspicions but does not spread them.
bool isDeaf(const MemberTable& table, TimePoint now) { return now - table.lastHeard > 2 * table.timing.probePeriod; }

MemberRecord currentRecord(const Member& member, TimePoint now)
{
    MemberRecord record = member.record;
    record.suspectAge = milliseconds(0);
    if (record.state == MemberState::Suspect && member.failedSince)
        record.suspectAge = std::clamp(
            std::chrono::duration_cast<milliseconds>(now - *member.failedSince), milliseconds(0), milliseconds(10'000));
    return record;
}

// --- Outgoing messages ---

/// Adds updates while they fit: first what is held against the receiver, so that it can refute, then the records that
/// were spread least often.
void addUpdates(MemberTable& table, TimePoint now, const HostPort& to, Message& message)
{
    std::size_t bytes = 0;
    const auto add = [&](const MemberRecord& record) {
        bytes += estimatedBytes(record);
        if (bytes > maximumUpdateBytes || message.updates.size() == maximumUpdates)
            return false;
        message.updates.push_back(record);
        return true;
    };
    const Member* receiver = findMember(table, to);
    if (receiver && !isHealthy(*receiver))
        add(currentRecord(*receiver, now));
    std::stable_sort(table.rumours.begin(), table.rumours.end(),
        [](const Rumour& left, const Rumour& right) { return left.sends < right.sends; });
    for (Rumour& rumour : table.rumours) {
        const Member* member = findMember(table, rumour.address);
        if (rumour.address == to || !member)
            continue;
        if (!add(currentRecord(*member, now)))
            break;
        ++rumour.sends;
    }
    const unsigned limit = rumourSends(table);
    std::erase_if(table.rumours,
        [&](const Rumour& rumour) { return rumour.sends >= limit || !findMember(table, rumour.address); });
}

Message newMessage(MemberTable& table, MessageKind kind, std::uint64_t nonce)
{
    Message message;
    message.kind = kind;
    message.sequence = ++table.sequence;
    message.nonce = nonce;
    message.sender = table.self;
    if (table.ownRumourSends > 0)
        --table.ownRumourSends;
    message.report = table.report;
    message.presentMembers = static_cast<std::uint16_t>(fleetSize(table));
    message.tableDigest = tableDigest(table);
    return message;
}

void send(MemberTable& table, TimePoint now, const HostPort& to, MessageKind kind, std::uint64_t nonce, Step& step)
{
    Message message = newMessage(table, kind, nonce);
    addUpdates(table, now, to, message);
    step.sends.push_back(Outgoing { to, std::move(message) });
}

void sendProbe(MemberTable& table, TimePoint now, Random& random, Probe probe, Step& step)
{
    const std::uint64_t nonce = random();
    probe.sentAt = now;
    send(table, now, probe.target, MessageKind::Ping, nonce, step);
    table.probes[nonce] = std::move(probe);
}

void probeMember(
    MemberTable& table, TimePoint now, Random& random, const Member& member, ProbePurpose purpose, Step& step)
{
    Probe probe;
    probe.purpose = purpose;
    probe.target = member.record.address;
    probe.incarnation = member.record.incarnation;
    sendProbe(table, now, random, std::move(probe), step);
}

/// Second part of a probe: once more directly, so that one lost datagram does not leave it to the helpers, and through
/// the helpers.
void sendPingRequests(
    MemberTable& table, TimePoint now, Random& random, std::uint64_t nonce, const Probe& probe, Step& step)
{
    send(table, now, probe.target, MessageKind::Ping, nonce, step);
    const auto helpers = pickMembers(table, random, table.timing.indirectProbes,
        [&](const Member& member) { return isHealthy(member) && member.record.address != probe.target; });
    for (const std::size_t place : helpers) {
        const HostPort to = table.members[place].record.address;
        Message message = newMessage(table, MessageKind::PingRequest, nonce);
        message.target = probe.target;
        addUpdates(table, now, to, message);
        step.sends.push_back(Outgoing { to, std::move(message) });
    }
}

// --- Records ---

void retire(Member& member, std::uint64_t incarnation)
{
    member.retired.push_back(incarnation);
    if (member.retired.size() > maximumRetired)
        member.retired.erase(member.retired.begin());
}

bool isRetired(const Member& member, std::uint64_t incarnation)
{
    return std::find(member.retired.begin(), member.retired.end(), incarnation) != member.retired.end();
}

/// Order of two records of the same incarnation. The refutation counter is the member's own; with equal counters the
/// worse state wins. A leaving member does not become suspect, so that nobody offers it again.
bool overrules(const MemberRecord& claim, const MemberRecord& held)
{
    if (claim.refutations != held.refutations)
        return claim.refutations > held.refutations;
    return claim.state > held.state;
}

void setState(MemberTable& table, TimePoint now, Member& member, const MemberRecord& claim)
{
    member.record.refutations = claim.refutations;
    member.record.state = claim.state;
    member.failedSince.reset();
    if (claim.state == MemberState::Suspect)
        member.failedSince = now - std::min(claim.suspectAge, suspicionTimeout(table.timing, fleetSize(table)));
    if (claim.state == MemberState::Dead)
        member.deadSince = now;
}

/// Puts another incarnation into the place of a member.
void replaceMember(MemberTable& table, TimePoint now, Member& member, const MemberRecord& record, Step& step)
{
    const std::uint64_t old = member.record.incarnation;
    retire(member, old);
    member.record = record;
    member.record.supersedes = old;
    setState(table, now, member, record);
    member.report = InstanceReport {};
    member.reportAt = TimePoint {};
    member.reportSequence = 0;
    member.window = ReplayWindow {};
    noteChange(table, member, true, true, step);
}

/// Asks an address which incarnation holds it. Bounded, so that a wave of replacements cannot raise the cost.
void verify(MemberTable& table, TimePoint now, Random& random, const Member& member, Step& step)
{
    const bool underWay = std::any_of(table.probes.begin(), table.probes.end(), [&](const auto& entry) {
        return entry.second.purpose == ProbePurpose::Verify && entry.second.target == member.record.address;
    });
    if (underWay || table.verifyProbesLeft == 0)
        return;
    --table.verifyProbesLeft;
    probeMember(table, now, random, member, ProbePurpose::Verify, step);
}

/// Handles a claim about the instance itself.
void applyOwnRecord(MemberTable& table, const MemberRecord& claim, Step& step)
{
    if (claim.incarnation != table.self.incarnation) {
        if (claim.supersedes == table.self.incarnation && !table.superseded) {
            table.superseded = true;
            step.superseded = true;
        }
        return;
    }
    if (!overrules(claim, table.self))
        return;
    refute(table, claim.refutations);
}

/// \a spreadNew is false for records from a table page: the members of a table are no news to the fleet.
void applyRecord(
    MemberTable& table, TimePoint now, Random& random, const MemberRecord& claim, bool spreadNew, Step& step)
{
    if (claim.address == table.self.address) {
        applyOwnRecord(table, claim, step);
        return;
    }
    Member* member = findMember(table, claim.address);
    if (!member) {
        if (claim.state == MemberState::Dead || table.members.size() >= maximumMembers)
            return;
        noteChange(table, addMember(table, claim, now), true, spreadNew, step);
        return;
    }
    if (claim.incarnation == member->record.incarnation) {
        if (!overrules(claim, member->record)) {
            // After a partition others may know the member as live; it must learn that it is held dead to refute it.
            if (claim.state == MemberState::Live && isDead(*member))
                verify(table, now, random, *member, step);
            return;
        }
        setState(table, now, *member, claim);
        noteChange(table, *member, false, true, step);
        return;
    }
    if (isRetired(*member, claim.incarnation))
        return;
    if (claim.supersedes == member->record.incarnation) {
        replaceMember(table, now, *member, claim, step);
        return;
    }
    // Two random incarnations have no order. Only the answer of the address itself tells which one is newer.
    if (claim.state != MemberState::Dead)
        verify(table, now, random, *member, step);
}

void suspect(MemberTable& table, TimePoint now, Random& random, Member& member, TimePoint since, Step& step)
{
    if (!isHealthy(member))
        return;
    member.failedSince = since;
    if (member.record.state == MemberState::Live) {
        member.record.state = MemberState::Suspect;
        noteChange(table, member, false, !isDeaf(table, now), step);
    }
    // The suspicion itself goes to the member at once, so that it can refute without waiting for a rumour.
    probeMember(table, now, random, member, ProbePurpose::Revive, step);
}

// --- Parts of tick() ---

/// A tick that comes late leaves answers unread in the socket; deadlines move by the delay so that the instance does
/// not blame others for its own pause.
void shiftDeadlines(MemberTable& table, Duration delay)
{
    for (auto& [nonce, probe] : table.probes)
        probe.sentAt += delay;
    for (Member& member : table.members) {
        if (member.failedSince)
            *member.failedSince += delay;
    }
    table.lastHeard += delay;
    if (table.pageSentAt)
        *table.pageSentAt += delay;
}

void announce(MemberTable& table, TimePoint now, Random& random, Step& step)
{
    for (const std::size_t place : pickMembers(table, random, announceProbes, isHealthy))
        probeMember(table, now, random, table.members[place], ProbePurpose::Revive, step);
}

void handlePause(MemberTable& table, TimePoint now, Random& random, Step& step)
{
    constexpr milliseconds normalGap { 250 }; // five ticks of 50 ms
    const Duration gap = now - table.lastTick;
    table.lastTick = now;
    if (gap <= normalGap)
        return;
    shiftDeadlines(table, gap);
    if (gap <= table.timing.pauseLimit)
        return;
    refute(table, table.self.refutations);
    table.announced = false;
    step.resumed = true;
    announce(table, now, random, step);
}

void expireProbes(MemberTable& table, TimePoint now, Random& random, Step& step)
{
    std::vector<std::uint64_t> indirect;
    std::vector<Probe> failed;
    for (auto it = table.probes.begin(); it != table.probes.end();) {
        Probe& probe = it->second;
        const Duration age = now - probe.sentAt;
        if (age >= table.timing.probeTimeout) {
            failed.push_back(std::move(probe));
            it = table.probes.erase(it);
            continue;
        }
        if (probe.purpose == ProbePurpose::Detect && !probe.indirectSent && age >= table.timing.ackTimeout) {
            probe.indirectSent = true;
            indirect.push_back(it->first);
        }
        ++it;
    }
    for (const std::uint64_t nonce : indirect)
        sendPingRequests(table, now, random, nonce, table.probes[nonce], step);
    for (const Probe& probe : failed) {
        Member* member = findMember(table, probe.target);
        if (probe.purpose == ProbePurpose::Detect && member && member->record.incarnation == probe.incarnation)
            suspect(table, now, random, *member, probe.sentAt, step);
    }
}

void expireMembers(MemberTable& table, TimePoint now, Step& step)
{
    const milliseconds timeout = suspicionTimeout(table.timing, fleetSize(table));
    std::vector<HostPort> forgotten;
    for (Member& member : table.members) {
        if (member.failedSince && now - *member.failedSince >= timeout) {
            member.failedSince.reset();
            member.record.state = MemberState::Dead;
            member.deadSince = now;
            noteChange(table, member, false, !isDeaf(table, now), step);
        }
        if (isDead(member) && now - member.deadSince >= table.timing.forgetDead)
            forgotten.push_back(member.record.address);
    }
    for (const HostPort& address : forgotten)
        removeMember(table, address);
}

/// Next healthy member in ring order; suspects are skipped so that one dead member does not hide the next.
const Member* successor(const MemberTable& table)
{
    const std::uint64_t own = ringPositionOf(table.self.address);
    const Member* result = nullptr;
    for (const Member& member : table.members) {
        if (!isHealthy(member))
            continue;
        // Unsigned subtraction gives the distance around the ring.
        if (!result || member.ringPosition - own < result->ringPosition - own)
            result = &member;
    }
    return result;
}

void probeForPeriod(MemberTable& table, TimePoint now, Random& random, Step& step)
{
    if (now < table.nextPeriod)
        return;
    table.nextPeriod = std::max(table.nextPeriod + table.timing.probePeriod, now);
    table.verifyProbesLeft = table.timing.verifyProbesPerPeriod;
    for (const std::size_t place : pickMembers(table, random, 1, isPresent))
        probeMember(table, now, random, table.members[place], ProbePurpose::Detect, step);
    const Member* next = table.timing.successorProbes ? successor(table) : nullptr;
    if (next)
        probeMember(table, now, random, *next, ProbePurpose::Detect, step);
}

void spreadRumours(MemberTable& table, TimePoint now, Random& random, Step& step)
{
    // An instance that still reads the tables of others has nothing to tell that they do not know.
    const bool isReading = table.comparison == TableComparison::Behind;
    if (now < table.nextGossip || isReading || (table.rumours.empty() && table.ownRumourSends == 0))
        return;
    table.nextGossip = now + table.timing.gossipPeriod;
    for (const std::size_t place : pickMembers(table, random, 1, isPresent))
        send(table, now, table.members[place].record.address, MessageKind::Gossip, 0, step);
}

void probeDead(MemberTable& table, TimePoint now, Random& random, Step& step)
{
    if (now < table.nextDeadProbe)
        return;
    table.nextDeadProbe = now + table.timing.deadProbePeriod;
    for (const std::size_t place : pickMembers(table, random, 1, isDead))
        probeMember(table, now, random, table.members[place], ProbePurpose::Revive, step);
}

void probeHint(MemberTable& table, TimePoint now, Random& random, Step& step)
{
    if (now < table.nextHint)
        return;
    // Without any member the instance tries a hint each period.
    const bool alone = fleetSize(table) == 1;
    table.nextHint = now + (alone ? table.timing.probePeriod : table.timing.hintPeriod);
    std::vector<HostPort> unknown;
    std::copy_if(table.hints.begin(), table.hints.end(), std::back_inserter(unknown),
        [&](const HostPort& hint) { return hint != table.self.address && !findMember(table, hint); });
    if (unknown.empty())
        return;
    Probe probe;
    probe.purpose = ProbePurpose::Join;
    probe.target = unknown[randomBelow(random, unknown.size())];
    sendProbe(table, now, random, std::move(probe), step);
}

void compareTables(MemberTable& table, const Message& message)
{
    // A few missing records arrive as rumours; more than that means that this instance has just started. The own dead
    // members count as known, because pages cannot bring them back.
    constexpr std::size_t rumoursUnderWay = 8;
    if (table.comparison == TableComparison::Behind && table.pageCursor)
        return; // Reads on to the end of the table.
    table.comparison = TableComparison::Equal;
    if (message.tableDigest != tableDigest(table))
        table.comparison = TableComparison::Different;
    if (message.presentMembers > table.members.size() + 1 + rumoursUnderWay)
        table.comparison = TableComparison::Behind;
}

milliseconds pagePeriod(const MemberTable& table)
{
    switch (table.comparison) {
    case TableComparison::Equal:
        return table.timing.pagePeriodEqual;
    case TableComparison::Different:
        return table.timing.pagePeriodDifferent;
    case TableComparison::Behind:
        return table.timing.pagePeriodBehind;
    }
    return table.timing.pagePeriodEqual;
}

void requestPage(MemberTable& table, TimePoint now, Random& random, Step& step)
{
    const bool waiting = table.pageSentAt && now - *table.pageSentAt < table.timing.pageTimeout;
    if (now < table.lastPage + pagePeriod(table) || waiting)
        return;
    const auto source = pickMembers(table, random, 1, isHealthy);
    if (source.empty())
        return;
    const HostPort to = table.members[source.front()].record.address;
    Message message = newMessage(table, MessageKind::TableRequest, random());
    message.cursor = table.pageCursor.value_or(0);
    step.sends.push_back(Outgoing { to, std::move(message) });
    table.pageSentAt = now;
    table.lastPage = now;
}

// --- Parts of receive() ---

void refuse(Step& step, const Message& message, std::string_view what)
{
    step.errors.push_back(makeError(ResultCode::PeerBadMessage, "{} from {}", what, message.sender.address.text()));
}

/// The answer to an own probe is the direct evidence of who holds the address.
bool isAnswerOf(const MemberTable& table, const Message& message)
{
    const auto probe = table.probes.find(message.nonce);
    return message.kind == MessageKind::Ack && probe != table.probes.end()
        && probe->second.target == message.sender.address;
}

/// Takes in what the sender says about itself. Returns false when the message must be dropped.
bool acceptSender(MemberTable& table, TimePoint now, Random& random, const Message& message, Step& step)
{
    MemberRecord record = message.sender;
    // A replacement does not know its predecessor; `supersedes` in an own record would be hearsay.
    record.supersedes = 0;
    Member* member = findMember(table, record.address);
    const bool known = member && member->record.incarnation == record.incarnation;
    const bool wasDead = member && isDead(*member);
    if (member && !known) {
        if (isRetired(*member, record.incarnation)) {
            refuse(step, message, "message of a replaced incarnation");
            return false;
        }
        if (isAnswerOf(table, message))
            replaceMember(table, now, *member, record, step);
    }
    applyRecord(table, now, random, record, true, step);
    member = findMember(table, record.address);
    // The first dead member that answers after a partition is followed by others; try them sooner.
    if (wasDead && member && isPresent(*member))
        table.nextDeadProbe = std::min(table.nextDeadProbe, now + table.timing.probePeriod / 4);
    if (!member || member->record.incarnation != record.incarnation)
        return true; // Answered, so that two tables that disagree can still settle it.
    if (!member->window.accept(message.sequence)) {
        refuse(step, message, "copy of a message");
        return false;
    }
    member->heardAt = now;
    if (message.sequence > member->reportSequence) {
        member->reportSequence = message.sequence;
        member->report = message.report;
        member->reportAt = now;
    }
    return true;
}

void handleAck(MemberTable& table, TimePoint now, const Message& message, Step& step)
{
    const auto found = table.probes.find(message.nonce);
    if (found == table.probes.end() || (message.kind == MessageKind::Ack && !isAnswerOf(table, message))) {
        // Late answers are normal under loss; only an Ack that was never asked for is a fault, and both look the same.
        refuse(step, message, "answer that nobody waits for");
        return;
    }
    const Probe probe = found->second;
    table.probes.erase(found);
    table.announced = true;
    Member* member = findMember(table, probe.target);
    // A leaving member has no suspect state to refute; the answer itself ends the suspicion.
    if (member && member->record.state == MemberState::Leaving)
        member->failedSince.reset();
    if (probe.purpose != ProbePurpose::Relay)
        return;
    Message relayed = newMessage(table, MessageKind::RelayedAck, probe.requesterNonce);
    if (member)
        relayed.updates.push_back(currentRecord(*member, now));
    step.sends.push_back(Outgoing { probe.requester, std::move(relayed) });
}

void handlePingRequest(MemberTable& table, TimePoint now, Random& random, const Message& message, Step& step)
{
    const Member* target = findMember(table, message.target);
    if (!target)
        return;
    Probe probe;
    probe.purpose = ProbePurpose::Relay;
    probe.target = message.target;
    probe.incarnation = target->record.incarnation;
    probe.requester = message.sender.address;
    probe.requesterNonce = message.nonce;
    sendProbe(table, now, random, std::move(probe), step);
}

/// Answers with the members that follow the cursor in ring order.
void sendPage(MemberTable& table, TimePoint now, const Message& request, Step& step)
{
    std::vector<const Member*> following;
    for (const Member& member : table.members) {
        if (member.ringPosition > request.cursor && isPresent(member)
            && member.record.address != request.sender.address)
            following.push_back(&member);
    }
    const std::size_t wanted = std::min(following.size(), maximumUpdates);
    std::partial_sort(following.begin(), following.begin() + static_cast<std::ptrdiff_t>(wanted), following.end(),
        [](const Member* left, const Member* right) { return left->ringPosition < right->ringPosition; });
    Message page = newMessage(table, MessageKind::TablePage, request.nonce);
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < wanted; ++i) {
        bytes += estimatedBytes(following[i]->record);
        if (bytes > maximumUpdateBytes)
            break;
        page.updates.push_back(currentRecord(*following[i], now));
        page.cursor = following[i]->ringPosition;
    }
    page.hasMore = page.updates.size() < following.size();
    step.sends.push_back(Outgoing { request.sender.address, std::move(page) });
}

void handlePage(MemberTable& table, const Message& page)
{
    table.pageSentAt.reset();
    table.pageCursor.reset();
    if (page.hasMore)
        table.pageCursor = page.cursor;
}

} // namespace

void tick(MemberTable& table, TimePoint now, Random& random, Step& step)
{
    handlePause(table, now, random, step);
    expireProbes(table, now, random, step);
    expireMembers(table, now, step);
    probeForPeriod(table, now, random, step);
    spreadRumours(table, now, random, step);
    probeDead(table, now, random, step);
    probeHint(table, now, random, step);
    requestPage(table, now, random, step);
}

void receive(MemberTable& table, TimePoint now, Random& random, const Message& message, Step& step)
{
    if (message.sender.address == table.self.address) {
        refuse(step, message, "own message or message of another process with the own address");
        return;
    }
    if (!acceptSender(table, now, random, message, step))
        return;
    table.lastHeard = now;
    for (const MemberRecord& record : message.updates)
        applyRecord(table, now, random, record, message.kind != MessageKind::TablePage, step);
    compareTables(table, message);
    switch (message.kind) {
    case MessageKind::Ping:
        send(table, now, message.sender.address, MessageKind::Ack, message.nonce, step);
        break;
    case MessageKind::Ack:
    case MessageKind::RelayedAck:
        handleAck(table, now, message, step);
        break;
    case MessageKind::PingRequest:
        handlePingRequest(table, now, random, message, step);
        break;
    case MessageKind::TableRequest:
        sendPage(table, now, message, step);
        break;
    case MessageKind::TablePage:
        handlePage(table, message);
        break;
    case MessageKind::Gossip:
        break;
    }
}

void leave(MemberTable& table, TimePoint now, Random& random, Step& step)
{
    if (table.self.state == MemberState::Leaving)
        return;
    table.self.state = MemberState::Leaving;
    refute(table, table.self.refutations);
    announce(table, now, random, step);
}

} // namespace clementinefall::membership
