#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace clementinefall::backend {

/// Fills \a target with the bytes from \a offset of the unlimited pseudo-random sequence seeded by \a identity. The
/// load tool generates the same sequence to detect response bodies that are corrupt or belong to another request.
void fillBytes(std::string_view identity, std::uint64_t offset, std::span<char> target);

/// 128-bit XXH3 hash of a body as 32 hex digits.
std::string bodyHash(std::string_view body);

} // namespace clementinefall::backend
