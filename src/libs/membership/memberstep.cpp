#include "membership/memberstep.h"

#include <algorithm>
#include <cmath>

namespace clementinefall::membership {

namespace {

/// Retired incarnations kept for each address. A stale message about an older one costs one probe.
constexpr std::size_t maximumRetiredIncarnations = 4;
/// Limit of the table size, so that a faulty peer cannot exhaust the memory. The design scale is 750 members.
constexpr std::size_t maximumMembers = 4'096;
/// An update is sent this many times per decimal digit of the fleet size. Table pages deliver updates that were missed.
constexpr unsigned sendsPerDigit = 4;
/// Probes sent when the instance starts to leave or resumes after a pause.
constexpr std::size_t announceProbes = 3;

bool isDead(const Member& member) { return member.record.state == MemberState::Dead; }
bool isPresent(const Member& member) { return !isDead(member); }
bool isHealthy(const Member& member) { return isPresent(member) && !member.suspectedSince; }

unsigned maximumSends(const MemberTable& table)
{
    const double members = static_cast<double>(table.members.size() + 2);
    return sendsPerDigit * static_cast<unsigned>(std::ceil(std::log10(members)));
}

/// Raises the local refutation counter above \a refutations and disseminates the local record.
void refute(MemberTable& table, std::uint32_t refutations)
{
    table.self.refutations = refutations + 1;
    table.selfSendsLeft = maximumSends(table);
}

void addPendingUpdate(MemberTable& table, const HostPort& address)
{
    const auto found = std::find_if(table.pendingUpdates.begin(), table.pendingUpdates.end(),
        [&](const PendingUpdate& pending) { return pending.address == address; });
    if (found == table.pendingUpdates.end())
        table.pendingUpdates.push_back(PendingUpdate { address, 0 });
    else
        found->sends = 0;
}

void recordChange(MemberTable& table, const Member& member, bool isNew, bool disseminate, StepResult& result)
{
    result.changes.push_back(MemberChange { member.record, isNew });
    if (disseminate)
        addPendingUpdate(table, member.record.address);
}

/// True after two probe periods without a message: the local instance may be unable to receive. It then applies its
/// suspicions locally but does not disseminate them.
bool isIsolated(const MemberTable& table, TimePoint now)
{
    return now - table.lastReceivedAt > 2 * table.timing.probePeriod;
}

MemberRecord currentRecord(const Member& member, TimePoint now)
{
    MemberRecord record = member.record;
    record.suspectAge = milliseconds(0);
    if (record.state == MemberState::Suspect && member.suspectedSince)
        record.suspectAge = std::clamp(std::chrono::duration_cast<milliseconds>(now - *member.suspectedSince),
            milliseconds(0), milliseconds(10'000));
    return record;
}

// --- Outgoing messages ---

/// Adds updates up to the size limit: first the record of a suspect or dead receiver, so that it can refute, then the
/// pending updates, least often sent first.
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
    std::stable_sort(table.pendingUpdates.begin(), table.pendingUpdates.end(),
        [](const PendingUpdate& left, const PendingUpdate& right) { return left.sends < right.sends; });
    for (PendingUpdate& pending : table.pendingUpdates) {
        const Member* member = findMember(table, pending.address);
        if (pending.address == to || !member)
            continue;
        if (!add(currentRecord(*member, now)))
            break;
        ++pending.sends;
    }
    const unsigned limit = maximumSends(table);
    std::erase_if(table.pendingUpdates,
        [&](const PendingUpdate& pending) { return pending.sends >= limit || !findMember(table, pending.address); });
}

Message newMessage(MemberTable& table, MessageKind kind, std::uint64_t nonce)
{
    Message message;
    message.kind = kind;
    message.sequence = ++table.sequence;
    message.nonce = nonce;
    message.sender = table.self;
    if (table.selfSendsLeft > 0)
        --table.selfSendsLeft;
    message.report = table.report;
    message.presentMembers = static_cast<std::uint16_t>(fleetSize(table));
    message.tableDigest = tableDigest(table);
    return message;
}

void send(
    MemberTable& table, TimePoint now, const HostPort& to, MessageKind kind, std::uint64_t nonce, StepResult& result)
{
    Message message = newMessage(table, kind, nonce);
    addUpdates(table, now, to, message);
    result.sends.push_back(OutgoingMessage { to, std::move(message) });
}

void sendProbe(MemberTable& table, TimePoint now, Random& random, Probe probe, StepResult& result)
{
    const std::uint64_t nonce = random();
    probe.sentAt = now;
    send(table, now, probe.target, MessageKind::Ping, nonce, result);
    table.probes[nonce] = std::move(probe);
}

void probeMember(
    MemberTable& table, TimePoint now, Random& random, const Member& member, ProbePurpose purpose, StepResult& result)
{
    Probe probe;
    probe.purpose = purpose;
    probe.target = member.record.address;
    probe.incarnation = member.record.incarnation;
    sendProbe(table, now, random, std::move(probe), result);
}

/// Sends the direct probe again, in case its datagram was lost, and requests indirect probes from random healthy
/// members.
void sendPingRequests(
    MemberTable& table, TimePoint now, Random& random, std::uint64_t nonce, const Probe& probe, StepResult& result)
{
    send(table, now, probe.target, MessageKind::Ping, nonce, result);
    const auto helpers = pickMembers(table, random, table.timing.indirectProbes,
        [&](const Member& member) { return isHealthy(member) && member.record.address != probe.target; });
    for (const std::size_t memberIndex : helpers) {
        const HostPort to = table.members[memberIndex].record.address;
        Message message = newMessage(table, MessageKind::PingRequest, nonce);
        message.target = probe.target;
        addUpdates(table, now, to, message);
        result.sends.push_back(OutgoingMessage { to, std::move(message) });
    }
}

// --- Records ---

void retire(Member& member, std::uint64_t incarnation)
{
    member.retiredIncarnations.push_back(incarnation);
    if (member.retiredIncarnations.size() > maximumRetiredIncarnations)
        member.retiredIncarnations.erase(member.retiredIncarnations.begin());
}

bool isRetired(const Member& member, std::uint64_t incarnation)
{
    return std::find(member.retiredIncarnations.begin(), member.retiredIncarnations.end(), incarnation)
        != member.retiredIncarnations.end();
}

/// Compares two records of the same incarnation. The higher refutation counter, which only the member itself raises,
/// wins; with equal counters the worse state wins. Leaving overrides suspect, so that the member is not offered again.
bool overrides(const MemberRecord& update, const MemberRecord& held)
{
    if (update.refutations != held.refutations)
        return update.refutations > held.refutations;
    return update.state > held.state;
}

void setState(MemberTable& table, TimePoint now, Member& member, const MemberRecord& update)
{
    member.record.refutations = update.refutations;
    member.record.state = update.state;
    member.suspectedSince.reset();
    if (update.state == MemberState::Suspect)
        member.suspectedSince = now - std::min(update.suspectAge, suspicionTimeout(table.timing, fleetSize(table)));
    if (update.state == MemberState::Dead)
        member.deadSince = now;
}

/// Replaces the incarnation of \a member by that of \a record.
void replaceMember(MemberTable& table, TimePoint now, Member& member, const MemberRecord& record, StepResult& result)
{
    const std::uint64_t old = member.record.incarnation;
    retire(member, old);
    member.record = record;
    member.record.supersedes = old;
    setState(table, now, member, record);
    member.report = InstanceReport {};
    member.reportReceivedAt = TimePoint {};
    member.reportSequence = 0;
    member.window = ReplayWindow {};
    recordChange(table, member, true, true, result);
}

/// Probes the address of \a member to find out which incarnation uses it. The probes in each period are limited, so
/// that many replacements at once do not raise the cost.
void verifyIncarnation(MemberTable& table, TimePoint now, Random& random, const Member& member, StepResult& result)
{
    const bool isVerifying = std::any_of(table.probes.begin(), table.probes.end(), [&](const auto& entry) {
        return entry.second.purpose == ProbePurpose::Verify && entry.second.target == member.record.address;
    });
    if (isVerifying || table.verifyProbesLeft == 0)
        return;
    --table.verifyProbesLeft;
    probeMember(table, now, random, member, ProbePurpose::Verify, result);
}

/// Handles an update about the local instance.
void applySelfRecord(MemberTable& table, const MemberRecord& update, StepResult& result)
{
    if (update.incarnation != table.self.incarnation) {
        if (update.supersedes == table.self.incarnation && !table.superseded) {
            table.superseded = true;
            result.superseded = true;
        }
        return;
    }
    if (!overrides(update, table.self))
        return;
    refute(table, update.refutations);
}

/// \a disseminateNew is false for records from a table page, because the fleet already knows those members.
void applyRecord(MemberTable& table, TimePoint now, Random& random, const MemberRecord& update, bool disseminateNew,
    StepResult& result)
{
    if (update.address == table.self.address) {
        applySelfRecord(table, update, result);
        return;
    }
    Member* member = findMember(table, update.address);
    if (!member) {
        if (update.state == MemberState::Dead || table.members.size() >= maximumMembers)
            return;
        recordChange(table, addMember(table, update, now), true, disseminateNew, result);
        return;
    }
    if (update.incarnation == member->record.incarnation) {
        if (!overrides(update, member->record)) {
            // After a partition, others may have the member as live. The probe carries the dead record to the member,
            // so that it can refute.
            if (update.state == MemberState::Live && isDead(*member))
                verifyIncarnation(table, now, random, *member, result);
            return;
        }
        setState(table, now, *member, update);
        recordChange(table, *member, false, true, result);
        return;
    }
    if (isRetired(*member, update.incarnation))
        return;
    if (update.supersedes == member->record.incarnation) {
        replaceMember(table, now, *member, update, result);
        return;
    }
    // Incarnations are random and have no order. Only an ack from the address shows which one is current.
    if (update.state != MemberState::Dead)
        verifyIncarnation(table, now, random, *member, result);
}

void suspect(MemberTable& table, TimePoint now, Random& random, Member& member, TimePoint since, StepResult& result)
{
    if (!isHealthy(member))
        return;
    member.suspectedSince = since;
    if (member.record.state == MemberState::Live) {
        member.record.state = MemberState::Suspect;
        recordChange(table, member, false, !isIsolated(table, now), result);
    }
    // Sends the suspicion to the member directly, so that it can refute without waiting for gossip.
    probeMember(table, now, random, member, ProbePurpose::Revive, result);
}

// --- Parts of tick() ---

/// Acks are not read from the socket during a pause. Moves all deadlines by the delay, so that the pause of the local
/// instance does not make it suspect others.
void shiftDeadlines(MemberTable& table, Duration delay)
{
    for (auto& [nonce, probe] : table.probes)
        probe.sentAt += delay;
    for (Member& member : table.members) {
        if (member.suspectedSince)
            *member.suspectedSince += delay;
    }
    table.lastReceivedAt += delay;
    if (table.pageRequestedAt)
        *table.pageRequestedAt += delay;
}

void announce(MemberTable& table, TimePoint now, Random& random, StepResult& result)
{
    for (const std::size_t memberIndex : pickMembers(table, random, announceProbes, isHealthy))
        probeMember(table, now, random, table.members[memberIndex], ProbePurpose::Revive, result);
}

void handlePause(MemberTable& table, TimePoint now, Random& random, StepResult& result)
{
    constexpr milliseconds maximumTickGap { 250 }; // five ticks of 50 ms
    const Duration gap = now - table.lastTick;
    table.lastTick = now;
    if (gap <= maximumTickGap)
        return;
    shiftDeadlines(table, gap);
    if (gap <= table.timing.pauseLimit)
        return;
    refute(table, table.self.refutations);
    table.isAcknowledged = false;
    result.resumed = true;
    announce(table, now, random, result);
}

void expireProbes(MemberTable& table, TimePoint now, Random& random, StepResult& result)
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
        sendPingRequests(table, now, random, nonce, table.probes[nonce], result);
    for (const Probe& probe : failed) {
        Member* member = findMember(table, probe.target);
        if (probe.purpose == ProbePurpose::Detect && member && member->record.incarnation == probe.incarnation)
            suspect(table, now, random, *member, probe.sentAt, result);
    }
}

void expireMembers(MemberTable& table, TimePoint now, StepResult& result)
{
    const milliseconds timeout = suspicionTimeout(table.timing, fleetSize(table));
    std::vector<HostPort> expired;
    for (Member& member : table.members) {
        if (member.suspectedSince && now - *member.suspectedSince >= timeout) {
            member.suspectedSince.reset();
            member.record.state = MemberState::Dead;
            member.deadSince = now;
            recordChange(table, member, false, !isIsolated(table, now), result);
        }
        if (isDead(member) && now - member.deadSince >= table.timing.deadRetention)
            expired.push_back(member.record.address);
    }
    for (const HostPort& address : expired)
        removeMember(table, address);
}

/// Returns the next healthy member in ring order. Skips suspects, so that adjacent dead members are all detected.
const Member* successor(const MemberTable& table)
{
    const std::uint64_t selfPosition = ringPositionOf(table.self.address);
    const Member* result = nullptr;
    for (const Member& member : table.members) {
        if (!isHealthy(member))
            continue;
        // Unsigned subtraction gives the distance around the ring.
        if (!result || member.ringPosition - selfPosition < result->ringPosition - selfPosition)
            result = &member;
    }
    return result;
}

void sendPeriodicProbes(MemberTable& table, TimePoint now, Random& random, StepResult& result)
{
    if (now < table.nextPeriod)
        return;
    table.nextPeriod = std::max(table.nextPeriod + table.timing.probePeriod, now);
    table.verifyProbesLeft = table.timing.verifyProbesPerPeriod;
    for (const std::size_t memberIndex : pickMembers(table, random, 1, isPresent))
        probeMember(table, now, random, table.members[memberIndex], ProbePurpose::Detect, result);
    const Member* next = table.timing.successorProbes ? successor(table) : nullptr;
    if (next)
        probeMember(table, now, random, *next, ProbePurpose::Detect, result);
}

void sendGossip(MemberTable& table, TimePoint now, Random& random, StepResult& result)
{
    // While the local table is behind, its updates are already known to the others.
    const bool isReading = table.comparison == TableComparison::Behind;
    if (now < table.nextGossip || isReading || (table.pendingUpdates.empty() && table.selfSendsLeft == 0))
        return;
    table.nextGossip = now + table.timing.gossipPeriod;
    for (const std::size_t memberIndex : pickMembers(table, random, 1, isPresent))
        send(table, now, table.members[memberIndex].record.address, MessageKind::Gossip, 0, result);
}

void probeDead(MemberTable& table, TimePoint now, Random& random, StepResult& result)
{
    if (now < table.nextDeadProbe)
        return;
    table.nextDeadProbe = now + table.timing.deadProbePeriod;
    for (const std::size_t memberIndex : pickMembers(table, random, 1, isDead))
        probeMember(table, now, random, table.members[memberIndex], ProbePurpose::Revive, result);
}

void probeJoinAddress(MemberTable& table, TimePoint now, Random& random, StepResult& result)
{
    if (now < table.nextJoinProbe)
        return;
    // Without any member, a join address is probed in each probe period.
    const bool isAlone = fleetSize(table) == 1;
    table.nextJoinProbe = now + (isAlone ? table.timing.probePeriod : table.timing.joinPeriod);
    std::vector<HostPort> candidates;
    std::copy_if(table.joinAddresses.begin(), table.joinAddresses.end(), std::back_inserter(candidates),
        [&](const HostPort& address) { return address != table.self.address && !findMember(table, address); });
    if (candidates.empty())
        return;
    Probe probe;
    probe.purpose = ProbePurpose::Join;
    probe.target = candidates[randomBelow(random, candidates.size())];
    sendProbe(table, now, random, std::move(probe), result);
}

void compareTables(MemberTable& table, const Message& message)
{
    // A few missing records arrive by gossip. With more missing, this instance has just started. Locally dead members
    // count as known, because a page cannot revive them.
    constexpr std::size_t maximumMissingUpdates = 8;
    if (table.comparison == TableComparison::Behind && table.pageCursor)
        return; // Continue to the end of the table.
    table.comparison = TableComparison::Equal;
    if (message.tableDigest != tableDigest(table))
        table.comparison = TableComparison::Different;
    if (message.presentMembers > table.members.size() + 1 + maximumMissingUpdates)
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

void requestPage(MemberTable& table, TimePoint now, Random& random, StepResult& result)
{
    const bool isRequestPending = table.pageRequestedAt && now - *table.pageRequestedAt < table.timing.pageTimeout;
    if (now < table.lastPageRequest + pagePeriod(table) || isRequestPending)
        return;
    const auto source = pickMembers(table, random, 1, isHealthy);
    if (source.empty())
        return;
    const HostPort to = table.members[source.front()].record.address;
    Message message = newMessage(table, MessageKind::TableRequest, random());
    message.cursor = table.pageCursor.value_or(0);
    result.sends.push_back(OutgoingMessage { to, std::move(message) });
    table.pageRequestedAt = now;
    table.lastPageRequest = now;
}

// --- Parts of receive() ---

void rejectMessage(StepResult& result, const Message& message, std::string_view reason)
{
    result.errors.push_back(makeError(ResultCode::PeerBadMessage, "{} from {}", reason, message.sender.address.text()));
}

/// An ack of a local probe proves which incarnation uses the address.
bool isAckOfProbe(const MemberTable& table, const Message& message)
{
    const auto probe = table.probes.find(message.nonce);
    return message.kind == MessageKind::Ack && probe != table.probes.end()
        && probe->second.target == message.sender.address;
}

/// Applies the sender's record and report. Returns false when the message must be dropped.
bool acceptSender(MemberTable& table, TimePoint now, Random& random, const Message& message, StepResult& result)
{
    MemberRecord record = message.sender;
    // A replacement does not know its predecessor, so `supersedes` in the sender's own record is not trusted.
    record.supersedes = 0;
    Member* member = findMember(table, record.address);
    const bool isSameIncarnation = member && member->record.incarnation == record.incarnation;
    const bool wasDead = member && isDead(*member);
    if (member && !isSameIncarnation) {
        if (isRetired(*member, record.incarnation)) {
            rejectMessage(result, message, "message of a replaced incarnation");
            return false;
        }
        if (isAckOfProbe(table, message))
            replaceMember(table, now, *member, record, result);
    }
    applyRecord(table, now, random, record, true, result);
    member = findMember(table, record.address);
    // A dead member that responds may mark the end of a partition. Probe the other dead members sooner.
    if (wasDead && member && isPresent(*member))
        table.nextDeadProbe = std::min(table.nextDeadProbe, now + table.timing.probePeriod / 4);
    if (!member || member->record.incarnation != record.incarnation)
        return true; // Respond anyway, so that tables with different incarnations can converge.
    if (!member->window.accept(message.sequence)) {
        rejectMessage(result, message, "duplicate message");
        return false;
    }
    member->lastReceivedAt = now;
    if (message.sequence > member->reportSequence) {
        member->reportSequence = message.sequence;
        member->report = message.report;
        member->reportReceivedAt = now;
    }
    return true;
}

void handleAck(MemberTable& table, TimePoint now, const Message& message, StepResult& result)
{
    const auto found = table.probes.find(message.nonce);
    if (found == table.probes.end() || (message.kind == MessageKind::Ack && !isAckOfProbe(table, message))) {
        // Late acks are normal under loss and cannot be distinguished from unsolicited ones.
        rejectMessage(result, message, "ack without an outstanding probe");
        return;
    }
    const Probe probe = found->second;
    table.probes.erase(found);
    table.isAcknowledged = true;
    Member* member = findMember(table, probe.target);
    // A leaving member has no suspect state to refute, so the ack itself ends the suspicion.
    if (member && member->record.state == MemberState::Leaving)
        member->suspectedSince.reset();
    if (probe.purpose != ProbePurpose::Relay)
        return;
    Message relayed = newMessage(table, MessageKind::RelayedAck, probe.requesterNonce);
    if (member)
        relayed.updates.push_back(currentRecord(*member, now));
    result.sends.push_back(OutgoingMessage { probe.requester, std::move(relayed) });
}

void handlePingRequest(MemberTable& table, TimePoint now, Random& random, const Message& message, StepResult& result)
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
    sendProbe(table, now, random, std::move(probe), result);
}

/// Responds with the members that follow the cursor in ring order.
void sendPage(MemberTable& table, TimePoint now, const Message& request, StepResult& result)
{
    std::vector<const Member*> following;
    for (const Member& member : table.members) {
        if (member.ringPosition > request.cursor && isPresent(member)
            && member.record.address != request.sender.address)
            following.push_back(&member);
    }
    const std::size_t recordCount = std::min(following.size(), maximumUpdates);
    std::partial_sort(following.begin(), following.begin() + static_cast<std::ptrdiff_t>(recordCount), following.end(),
        [](const Member* left, const Member* right) { return left->ringPosition < right->ringPosition; });
    Message page = newMessage(table, MessageKind::TablePage, request.nonce);
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < recordCount; ++i) {
        bytes += estimatedBytes(following[i]->record);
        if (bytes > maximumUpdateBytes)
            break;
        page.updates.push_back(currentRecord(*following[i], now));
        page.cursor = following[i]->ringPosition;
    }
    page.hasMore = page.updates.size() < following.size();
    result.sends.push_back(OutgoingMessage { request.sender.address, std::move(page) });
}

void handlePage(MemberTable& table, const Message& page)
{
    table.pageRequestedAt.reset();
    table.pageCursor.reset();
    if (page.hasMore)
        table.pageCursor = page.cursor;
}

} // namespace

void tick(MemberTable& table, TimePoint now, Random& random, StepResult& result)
{
    handlePause(table, now, random, result);
    expireProbes(table, now, random, result);
    expireMembers(table, now, result);
    sendPeriodicProbes(table, now, random, result);
    sendGossip(table, now, random, result);
    probeDead(table, now, random, result);
    probeJoinAddress(table, now, random, result);
    requestPage(table, now, random, result);
}

void receive(MemberTable& table, TimePoint now, Random& random, const Message& message, StepResult& result)
{
    if (message.sender.address == table.self.address) {
        rejectMessage(result, message, "message with the local address as sender");
        return;
    }
    if (!acceptSender(table, now, random, message, result))
        return;
    table.lastReceivedAt = now;
    for (const MemberRecord& record : message.updates)
        applyRecord(table, now, random, record, message.kind != MessageKind::TablePage, result);
    compareTables(table, message);
    switch (message.kind) {
    case MessageKind::Ping:
        send(table, now, message.sender.address, MessageKind::Ack, message.nonce, result);
        break;
    case MessageKind::Ack:
    case MessageKind::RelayedAck:
        handleAck(table, now, message, result);
        break;
    case MessageKind::PingRequest:
        handlePingRequest(table, now, random, message, result);
        break;
    case MessageKind::TableRequest:
        sendPage(table, now, message, result);
        break;
    case MessageKind::TablePage:
        handlePage(table, message);
        break;
    case MessageKind::Gossip:
        break;
    }
}

void leave(MemberTable& table, TimePoint now, Random& random, StepResult& result)
{
    if (table.self.state == MemberState::Leaving)
        return;
    table.self.state = MemberState::Leaving;
    refute(table, table.self.refutations);
    announce(table, now, random, result);
}

} // namespace clementinefall::membership
