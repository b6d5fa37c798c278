#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace clementinefall::backend {

/// Writes the bytes from \a offset of the endless filler sequence that belongs to \a identity. The load tool compares
/// a response with the same sequence, so that bytes of another response are noticed.
void fillBytes(std::string_view identity, std::uint64_t offset, std::span<char> target);

/// 128-bit XXH3 hash of a body as 32 hex digits.
std::string bodyHash(std::string_view body);

} // namespace clementinefall::backend
