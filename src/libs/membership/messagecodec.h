#pragma once

#include "base/result.h"
#include "membership/message.h"

#include <array>
#include <string>
#include <string_view>

namespace clementinefall::membership {

/// Version of the membership protocol. Datagrams of another version are rejected with PeerVersion.
constexpr std::uint16_t protocolVersion = 1;

/// Key shared by all entry instances of a deployment.
using ClusterKey = std::array<unsigned char, 32>;

/// Parses a key of 64 hex digits. Errors: SettingsOutOfRange.
Result<ClusterKey> parseClusterKey(std::string_view hex);

/// Encodes `magic (2 bytes), version (2 bytes, big endian), keyed BLAKE2b MAC (16 bytes), packed Cap'n Proto`. The MAC
/// covers all other bytes. Errors: PeerBadMessage when \a message exceeds a limit of message.h.
Result<std::string> encodeMessage(const Message& message, const ClusterKey& key);

/// Prepends the header and the MAC to a packed \a payload.
std::string sealPayload(std::string_view payload, std::uint16_t version, const ClusterKey& key);

/// Errors: PeerBadMessage (too short, too long or malformed), PeerBadAuthenticator (wrong MAC), PeerVersion.
Result<Message> decodeMessage(std::string_view datagram, const ClusterKey& key);

} // namespace clementinefall::membership
