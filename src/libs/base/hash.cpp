#include "base/hash.h"

#include <xxhash.h>

namespace clementinefall {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

StreamHash::StreamHash()
    : state(XXH3_createState())
{
    XXH3_128bits_reset(this->state);
}

StreamHash::~StreamHash() { XXH3_freeState(this->state); }

void StreamHash::update(std::string_view piece) { XXH3_128bits_update(this->state, piece.data(), piece.size()); }

Hash128 StreamHash::digest() const
{
    const XXH128_hash_t value = XXH3_128bits_digest(this->state);
    return { value.high64, value.low64 };
}

} // namespace clementinefall
