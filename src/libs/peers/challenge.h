#pragma once

#include "membership/messagecodec.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace clementinefall::peers {

using membership::ClusterKey;

constexpr std::size_t nonceBytes = 32;

enum class Side : std::uint8_t { Client, Server };

/// Returns nonceBytes random bytes from the system's random source.
std::string makeNonce();

/// Keyed BLAKE2b over the side, the version and both nonces. The side prevents reflection of a proof, the version
/// prevents a downgrade by an attacker on the path.
std::string makeProof(const ClusterKey& key, Side side, std::uint16_t version, std::string_view clientNonce,
    std::string_view serverNonce);

/// Compares in constant time.
bool isSameProof(std::string_view expected, std::string_view received);

} // namespace clementinefall::peers
