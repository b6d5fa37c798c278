#pragma once

#include "base/clock.h"

namespace clementinefall {

/// \a factor times \a duration, rounded towards zero.
inline Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(duration) * factor);
}

/// A duration from seconds with fractions, as in settings and on the wire.
inline Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace clementinefall
