#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <boost/property_tree/ptree.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace clementinefall {

/// IP address and port from a setting such as `127.0.0.1:8080`.
struct HostPort {
    std::string host;
    std::uint16_t port = 0;

    std::string text() const;
    friend bool operator==(const HostPort&, const HostPort&) = default;
};

/// Parses `address:port`; the address must be an IP number.
Result<HostPort> parseHostPort(std::string_view text);

/// Reads an INI file. Each getter records an error with file, section, key and allowed range instead of
/// failing, so that one run reports all mistakes. Call finish() after the last getter.
class SettingsReader {
public:
    static Result<SettingsReader> fromFile(const std::string& path);
    static Result<SettingsReader> fromText(const std::string& name, const std::string& text);

    std::string text(const std::string& section, const std::string& key, const std::string& fallback);
    std::string requiredText(const std::string& section, const std::string& key);
    std::int64_t integer(const std::string& section, const std::string& key, std::int64_t fallback,
        std::int64_t minimum, std::int64_t maximum);
    double real(const std::string& section, const std::string& key, double fallback, double minimum, double maximum);
    bool boolean(const std::string& section, const std::string& key, bool fallback);
    /// The key holds a number of milliseconds.
    milliseconds duration(const std::string& section, const std::string& key, milliseconds fallback,
        milliseconds minimum, milliseconds maximum);
    HostPort address(const std::string& section, const std::string& key);
    /// Comma-separated list; empty where the key is missing.
    std::vector<std::string> list(const std::string& section, const std::string& key);

    /// Keys of a section in file order; they then count as known.
    std::vector<std::string> keys(const std::string& section);

    /// All errors so far, and one for each key that no getter asked for.
    std::vector<Error> finish();

private:
    std::string location(const std::string& section, const std::string& key) const;
    std::optional<std::string> find(const std::string& section, const std::string& key);

    std::string name;
    boost::property_tree::ptree tree;
    std::set<std::string> known;
    std::vector<Error> errors;
};

} // namespace clementinefall
