#pragma once

#include <chrono>

namespace clementinefall {

/// Monotonic clock for deadlines, lifetimes and rates. It is never compared between processes.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// Wall clock, for logs, traces and the audit trail only.
using WallClock = std::chrono::system_clock;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::nanoseconds;
using std::chrono::seconds;

} // namespace clementinefall
