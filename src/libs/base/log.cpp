#include "base/log.h"

#include <fmt/chrono.h>

#include <atomic>
#include <cstdio>
#include <mutex>

namespace clementinefall {

namespace {

constexpr unsigned maximumLinesPerEventAndSecond = 20;

std::atomic<LogLevel> currentLevel { LogLevel::Info };

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char c : value) {
        if (c == ' ' || c == '"' || c == '=' || c == '\\' || static_cast<unsigned char>(c) < 0x20)
            return true;
    }
    return false;
}

void appendValue(std::string& line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += fmt::format("\\{}", c);
        else if (static_cast<unsigned char>(c) < 0x20)
            line += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        else
            line += c;
    }
    line += '"';
}

} // namespace

void setLogLevel(LogLevel level) { currentLevel = level; }

LogLevel logLevelFromName(std::string_view name)
{
    for (const LogLevel level : { LogLevel::Debug, LogLevel::Warning, LogLevel::Error }) {
        if (levelName(level) == name)
            return level;
    }
    return LogLevel::Info;
}

std::string formatLogLine(
    WallClock::time_point time, LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
    const auto wholeSeconds = std::chrono::duration_cast<seconds>(sinceEpoch);
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
        fmt::gmtime(static_cast<std::time_t>(wholeSeconds.count())), (sinceEpoch - wholeSeconds).count(),
        levelName(level), event);
    for (const LogField& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

LogLimiter::Verdict LogLimiter::admit(std::string_view event, TimePoint now)
{
    Window& window = this->windows[std::string(event)];
    Verdict verdict;
    if (now - window.start >= seconds(1)) {
        verdict.suppressedBefore = window.suppressed;
        window = Window { now, 0, 0 };
    }
    if (window.lines >= this->limit) {
        ++window.suppressed;
        verdict.allowed = false;
        return verdict;
    }
    ++window.lines;
    return verdict;
}

void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < currentLevel.load(std::memory_order_relaxed))
        return;
    static std::mutex mutex;
    static LogLimiter limiter(maximumLinesPerEventAndSecond);
    const std::scoped_lock lock(mutex);
    const auto verdict = limiter.admit(event, Clock::now());
    if (verdict.suppressedBefore > 0) {
        fmt::print(stderr, "{}\n",
            formatLogLine(WallClock::now(), LogLevel::Warning, "log_lines_suppressed",
                { { "of", event }, { "count", verdict.suppressedBefore } }));
    }
    if (verdict.allowed)
        fmt::print(stderr, "{}\n", formatLogLine(WallClock::now(), level, event, fields));
}

} // namespace clementinefall
