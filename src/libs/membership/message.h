#pragma once

#include "base/clock.h"
#include "base/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinefall::membership {

enum class MemberState : std::uint8_t { Live, Suspect, Leaving, Dead };

std::string_view memberStateName(MemberState state);

/// What instances tell each other about one member.
struct MemberRecord {
    std::string name; ///< Name of the entry instance in the bundle.
    std::string zone;
    HostPort address; ///< Peer address; identifies the member.
    std::uint64_t incarnation = 0; ///< Random number that the process draws at its start; not zero.
    std::uint32_t refutations = 0; ///< Raised by the member to overrule suspicion.
    MemberState state = MemberState::Live;
    milliseconds suspectAge { 0 }; ///< Time since the unanswered probe; only for suspects.
    std::uint64_t supersedes = 0; ///< Incarnation that this one was seen to replace; 0 when there is none.

    friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// What an instance tells about itself in each message. Texts are opaque bytes.
struct InstanceReport {
    std::uint64_t newestBundle = 0; ///< Newest accepted version that the instance knows of.
    std::string newestDigest; ///< At most maximumDigestBytes.
    std::uint64_t actingBundle = 0; ///< Version that the instance acts on.
    std::string headroom; ///< At most maximumReportBytes.
    std::string status; ///< At most maximumReportBytes.

    friend bool operator==(const InstanceReport&, const InstanceReport&) = default;
};

enum class MessageKind : std::uint8_t { Ping, Ack, PingRequest, RelayedAck, TableRequest, TablePage, Gossip };

struct Message {
    MessageKind kind = MessageKind::Ping;
    std::uint64_t sequence = 0; ///< Counts the messages of the sender's incarnation.
    std::uint64_t nonce = 0; ///< Random number of a probe; its answer repeats it.
    MemberRecord sender;
    InstanceReport report;
    HostPort target; ///< Member to probe; only in a PingRequest.
    std::uint64_t cursor = 0; ///< Ring position in TableRequest (read after it) and TablePage (last record).
    bool hasMore = false; ///< In a TablePage: the table has records after the cursor.
    std::vector<MemberRecord> updates;
    std::uint16_t presentMembers = 0; ///< Members that the sender holds as not dead, with itself.
    std::uint64_t tableDigest = 0; ///< Equal for equal sets of present members.

    friend bool operator==(const Message&, const Message&) = default;
};

/// Limits of one message. They keep the longest datagram under maximumDatagramBytes.
constexpr std::size_t maximumNameBytes = 64;
constexpr std::size_t maximumAddressBytes = 56; // "[" + 45 characters of the longest IPv6 text + "]:65535"
constexpr std::size_t maximumDigestBytes = 64;
constexpr std::size_t maximumReportBytes = 64;
constexpr std::size_t maximumUpdates = 16;
/// Estimated bytes of the updates in one message.
constexpr std::size_t maximumUpdateBytes = 680;
/// Under the 1,280 bytes that every IPv6 path carries, less 48 bytes of headers.
constexpr std::size_t maximumDatagramBytes = 1'232;

/// Upper estimate of the encoded size of \a record.
std::size_t estimatedBytes(const MemberRecord& record);

} // namespace clementinefall::membership
