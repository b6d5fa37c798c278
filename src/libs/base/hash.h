#pragma once

#include <array>
#include <cstdint>
#include <string_view>

struct XXH3_state_s;

namespace clementinefall {

/// 64-bit XXH3 hash of \a text; stable between processes and releases.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// 128-bit hash value.
struct Hash128 {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const Hash128&, const Hash128&) = default;
};

/// Incremental 128-bit XXH3 hash, for bodies that arrive in pieces.
class StreamHash {
public:
    StreamHash();
    ~StreamHash();
    StreamHash(const StreamHash&) = delete;
    StreamHash& operator=(const StreamHash&) = delete;

    void update(std::string_view piece);
    Hash128 digest() const;

private:
    XXH3_state_s* state;
};

} // namespace clementinefall
