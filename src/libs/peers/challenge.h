#pragma once

#include "membership/messagecodec.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace clementinefall::peers {

using membership::ClusterKey;

constexpr std::size_t nonceBytes = 32;

enum class Side : std::uint8_t { Client, Server };

/// Random nonce from the system's entropy.
std::string makeNonce();

/// Keyed BLAKE2b over the side, the version and both nonces. The side keeps an answer from being reflected, the
/// version keeps it from being lowered on the way.
std::string makeProof(const ClusterKey& key, Side side, std::uint16_t version, std::string_view clientNonce,
    std::string_view serverNonce);

/// Compares in constant time.
bool isSameProof(std::string_view expected, std::string_view received);

} // namespace clementinefall::peers
