#include "base/log.h"

#include <fmt/chrono.h>

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <mutex>

namespace clementinefall {

namespace {

constexpr unsigned maximumLinesPerEventAndSecond = 20;

/// Lines up to this length reach a pipe whole or not at all (PIPE_BUF).
constexpr std::size_t maximumLineBytes = 4095;

std::atomic<LogLevel> currentLevel { LogLevel::Info };
std::atomic<LogOutput> currentOutput { LogOutput::StandardError };

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

namespace {

/// Writes to standard output without waiting. Returns false when the line was not taken.
bool writeWithoutWaiting(std::string line)
{
    if (line.size() > maximumLineBytes)
        line.resize(maximumLineBytes);
    line += '\n';
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void writeLine(const std::string& line)
{
    static std::uint64_t lostLines = 0; // Guarded by the mutex of writeLog().
    if (currentOutput.load(std::memory_order_relaxed) == LogOutput::StandardError) {
        fmt::print(stderr, "{}\n", line);
        return;
    }
    if (lostLines > 0) {
        const std::string report
            = formatLogLine(WallClock::now(), LogLevel::Warning, "log_lines_lost", { { "count", lostLines } });
        if (!writeWithoutWaiting(report)) {
            ++lostLines;
            return;
        }
        lostLines = 0;
    }
    if (!writeWithoutWaiting(line))
        ++lostLines;
}

} // namespace

void setLogOutput(LogOutput output)
{
    currentOutput = output;
    if (output == LogOutput::StandardOutput) {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        if (flags != -1)
            ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
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
        writeLine(formatLogLine(WallClock::now(), LogLevel::Warning, "log_lines_suppressed",
            { { "of", event }, { "count", verdict.suppressedBefore } }));
    }
    if (verdict.allowed)
        writeLine(formatLogLine(WallClock::now(), level, event, fields));
}

} // namespace clementinefall
