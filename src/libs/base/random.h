#pragma once

#include <cstdint>
#include <random>

namespace clementinefall {

/// Random source of all decisions. Tests and benches seed it; processes seed it from the system.
using Random = std::mt19937_64;

/// Returns a number in [0, bound). \a bound must not be zero.
inline std::uint64_t randomBelow(Random& random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

/// Returns a number in [0, 1).
inline double randomUnit(Random& random) { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }

/// Seeds a random source from the system's entropy.
inline Random systemSeededRandom()
{
    std::random_device device;
    return Random((static_cast<std::uint64_t>(device()) << 32U) ^ device());
}

} // namespace clementinefall
