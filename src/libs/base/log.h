#pragma once

#include "base/clock.h"

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace clementinefall {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// One `key=value` pair of a log line. Takes every type that fmt formats.
struct LogField {
    template <typename T>
    LogField(std::string_view fieldKey, const T& fieldValue)
        : key(fieldKey)
        , value(fmt::format("{}", fieldValue))
    {
    }

    std::string_view key;
    std::string value;
};

/// Where lines go. Programs whose standard output is their result log to standard error.
enum class LogOutput : std::uint8_t { StandardError, StandardOutput };

/// Default: StandardError. Standard output is set to non-blocking, so that a reader that falls behind costs lines and
/// never holds up a request; lost lines are counted in a later line.
void setLogOutput(LogOutput output);

/// Lines below this level are dropped. Default: Info.
void setLogLevel(LogLevel level);

/// Parses `debug`, `info`, `warning` or `error`; other texts give Info.
LogLevel logLevelFromName(std::string_view name);

/// Formats `time=... level=... event=... key=value ...`; values with spaces, quotes or control characters are
/// quoted and escaped, so that one event is always one line.
std::string formatLogLine(
    WallClock::time_point time, LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// Limits repeated events: at most \a linesPerSecond lines for each event name in each second.
class LogLimiter {
public:
    explicit LogLimiter(unsigned linesPerSecond)
        : limit(linesPerSecond)
    {
    }

    struct Verdict {
        bool allowed = true;
        std::uint64_t suppressedBefore = 0; ///< Lines dropped in the window that has just ended.
    };
    Verdict admit(std::string_view event, TimePoint now);

private:
    struct Window {
        TimePoint start;
        unsigned lines = 0;
        std::uint64_t suppressed = 0;
    };
    unsigned limit;
    std::unordered_map<std::string, Window> windows;
};

/// Writes one line. Safe from every thread.
void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

inline void logDebug(std::string_view event, std::initializer_list<LogField> fields)
{
    writeLog(LogLevel::Debug, event, fields);
}

inline void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    writeLog(LogLevel::Info, event, fields);
}

inline void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    writeLog(LogLevel::Warning, event, fields);
}

inline void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    writeLog(LogLevel::Error, event, fields);
}

} // namespace clementinefall
