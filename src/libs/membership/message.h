#pragma once

#include "base/clock.h"
#include "base/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinefall::membership {

enum class MemberState : std::uint8_t { Live, Suspect, Leaving, Dead };

std::string_view memberStateName(MemberState state);

/// State of one member, as exchanged between instances.
struct MemberRecord {
    std::string name; ///< Name of the entry instance in the bundle.
    std::string zone;
    HostPort address; ///< Peer address; identifies the member.
    std::uint64_t incarnation = 0; ///< Random nonzero number drawn at the start of the process.
    std::uint32_t refutations = 0; ///< Raised by the member to refute a suspicion.
    MemberState state = MemberState::Live;
    milliseconds suspectAge { 0 }; ///< Time since the unacknowledged probe; only for suspects.
    std::uint64_t supersedes = 0; ///< Incarnation that this one has replaced, or 0.

    friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// State of the sender, part of each message. The strings are opaque bytes.
struct InstanceReport {
    std::uint64_t newestBundle = 0; ///< Newest accepted version known to the instance.
    std::string newestDigest; ///< At most maximumDigestBytes.
    std::uint64_t actingBundle = 0; ///< Version in use by the instance.
    std::string headroom; ///< At most maximumReportBytes.
    std::string status; ///< At most maximumReportBytes.

    friend bool operator==(const InstanceReport&, const InstanceReport&) = default;
};

enum class MessageKind : std::uint8_t { Ping, Ack, PingRequest, RelayedAck, TableRequest, TablePage, Gossip };

struct Message {
    MessageKind kind = MessageKind::Ping;
    std::uint64_t sequence = 0; ///< Counts the messages of the sender's incarnation.
    std::uint64_t nonce = 0; ///< Random number of a probe or table request; its ack or page repeats it.
    MemberRecord sender;
    InstanceReport report;
    HostPort target; ///< Member to probe; only in a PingRequest.
    std::uint64_t cursor = 0; ///< Ring position of the last record read, in TableRequest and TablePage.
    bool hasMore = false; ///< The table has records after the cursor; only in a TablePage.
    std::vector<MemberRecord> updates;
    std::uint16_t presentMembers = 0; ///< Members that are not dead in the sender's table, with the sender.
    std::uint64_t tableDigest = 0; ///< Equal for equal sets of present members.

    friend bool operator==(const Message&, const Message&) = default;
};

/// Limits of one message. They keep the longest datagram within maximumDatagramBytes.
constexpr std::size_t maximumNameBytes = 64;
constexpr std::size_t maximumAddressBytes = 56; // "[" + 45 characters of the longest IPv6 text + "]:65535"
constexpr std::size_t maximumDigestBytes = 64;
constexpr std::size_t maximumReportBytes = 64;
constexpr std::size_t maximumUpdates = 16;
/// Limit for the sum of estimatedBytes() over the updates of one message.
constexpr std::size_t maximumUpdateBytes = 680;
/// Minimum IPv6 MTU of 1,280 bytes, less 48 bytes of IPv6 and UDP headers.
constexpr std::size_t maximumDatagramBytes = 1'232;

/// Returns an upper estimate of the encoded size of \a record in bytes.
std::size_t estimatedBytes(const MemberRecord& record);

} // namespace clementinefall::membership
