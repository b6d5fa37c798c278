#include "backend/filler.h"

#include "base/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <cstring>

namespace clementinefall::backend {

namespace {

constexpr std::uint64_t blockBytes = 8;

/// Output \a index of the splitmix64 generator. Blocks can be computed independently, so any offset is reachable.
std::uint64_t fillerBlock(std::uint64_t seed, std::uint64_t index)
{
    std::uint64_t value = seed + (index + 1) * 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

void fillBytes(std::string_view identity, std::uint64_t offset, std::span<char> target)
{
    const std::uint64_t seed = hash64(identity);
    std::size_t written = 0;
    while (written < target.size()) {
        const std::uint64_t position = offset + written;
        const auto block = std::bit_cast<std::array<char, blockBytes>>(fillerBlock(seed, position / blockBytes));
        const std::size_t skip = position % blockBytes;
        const std::size_t bytes = std::min<std::size_t>(blockBytes - skip, target.size() - written);
        std::memcpy(target.data() + written, block.data() + skip, bytes);
        written += bytes;
    }
}

std::string bodyHash(std::string_view body)
{
    StreamHash hash;
    hash.update(body);
    const Hash128 digest = hash.digest();
    return fmt::format("{:016x}{:016x}", digest.high, digest.low);
}

} // namespace clementinefall::backend
