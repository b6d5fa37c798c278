#include "base/settings.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <charconv>
#include <fstream>
#include <sstream>

namespace clementinefall {

namespace {

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string qualifiedKey(const std::string& section, const std::string& key)
{
    return fmt::format("{}/{}", section, key);
}

} // namespace

std::string HostPort::text() const { return fmt::format("{}:{}", this->host, this->port); }

Result<HostPort> parseHostPort(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return makeError(ResultCode::SettingsBadAddress, "'{}' has no port", text);
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    boost::system::error_code error;
    const std::string host(text.substr(0, colon));
    boost::asio::ip::make_address(host, error);
    if (error || !port)
        return makeError(ResultCode::SettingsBadAddress, "'{}' is not an IP address with a port", text);
    return HostPort { host, *port };
}

Result<SettingsReader> SettingsReader::fromFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(ResultCode::SettingsUnreadable, "{}: cannot be opened", path);
    std::ostringstream content;
    content << file.rdbuf();
    return fromText(path, content.str());
}

Result<SettingsReader> SettingsReader::fromText(const std::string& name, const std::string& text)
{
    SettingsReader reader;
    reader.name = name;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, reader.tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        return makeError(ResultCode::SettingsUnreadable, "{}:{}: {}", name, error.line(), error.message());
    }
    return reader;
}

std::string SettingsReader::location(const std::string& section, const std::string& key) const
{
    return fmt::format("{}: [{}] {}", this->name, section, key);
}

std::optional<std::string> SettingsReader::find(const std::string& section, const std::string& key)
{
    this->known.insert(qualifiedKey(section, key));
    const auto sectionNode = this->tree.find(section);
    if (sectionNode == this->tree.not_found())
        return std::nullopt;
    const auto node = sectionNode->second.find(key);
    if (node == sectionNode->second.not_found())
        return std::nullopt;
    return node->second.data();
}

std::string SettingsReader::text(const std::string& section, const std::string& key, const std::string& fallback)
{
    return this->find(section, key).value_or(fallback);
}

std::string SettingsReader::requiredText(const std::string& section, const std::string& key)
{
    const auto value = this->find(section, key);
    if (!value || value->empty()) {
        this->errors.push_back(
            makeError(ResultCode::SettingsMissingKey, "{} is required", this->location(section, key)));
        return {};
    }
    return *value;
}

std::int64_t SettingsReader::integer(const std::string& section, const std::string& key, std::int64_t fallback,
    std::int64_t minimum, std::int64_t maximum)
{
    const auto value = this->find(section, key);
    if (!value)
        return fallback;
    const auto parsed = parseNumber<std::int64_t>(*value);
    if (!parsed) {
        this->errors.push_back(makeError(
            ResultCode::SettingsNotANumber, "{} = '{}' is not a whole number", this->location(section, key), *value));
        return fallback;
    }
    if (*parsed < minimum || *parsed > maximum) {
        this->errors.push_back(makeError(ResultCode::SettingsOutOfRange, "{} = {} is not in {}..{}",
            this->location(section, key), *parsed, minimum, maximum));
        return fallback;
    }
    return *parsed;
}

double SettingsReader::real(
    const std::string& section, const std::string& key, double fallback, double minimum, double maximum)
{
    const auto value = this->find(section, key);
    if (!value)
        return fallback;
    const auto parsed = parseNumber<double>(*value);
    if (!parsed) {
        this->errors.push_back(makeError(
            ResultCode::SettingsNotANumber, "{} = '{}' is not a number", this->location(section, key), *value));
        return fallback;
    }
    if (!(*parsed >= minimum && *parsed <= maximum)) {
        this->errors.push_back(makeError(ResultCode::SettingsOutOfRange, "{} = {} is not in {}..{}",
            this->location(section, key), *parsed, minimum, maximum));
        return fallback;
    }
    return *parsed;
}

bool SettingsReader::boolean(const std::string& section, const std::string& key, bool fallback)
{
    const auto value = this->find(section, key);
    if (!value)
        return fallback;
    if (*value == "true")
        return true;
    if (*value == "false")
        return false;
    this->errors.push_back(makeError(
        ResultCode::SettingsOutOfRange, "{} = '{}' is neither true nor false", this->location(section, key), *value));
    return fallback;
}

milliseconds SettingsReader::duration(const std::string& section, const std::string& key, milliseconds fallback,
    milliseconds minimum, milliseconds maximum)
{
    return milliseconds(this->integer(section, key, fallback.count(), minimum.count(), maximum.count()));
}

HostPort SettingsReader::address(const std::string& section, const std::string& key)
{
    const std::string value = this->requiredText(section, key);
    if (value.empty())
        return {};
    const auto parsed = parseHostPort(value);
    if (isOk(parsed))
        return valueOf(parsed);
    this->errors.push_back(
        makeError(ResultCode::SettingsBadAddress, "{}: {}", this->location(section, key), errorOf(parsed).message));
    return {};
}

std::vector<std::string> SettingsReader::list(const std::string& section, const std::string& key)
{
    std::vector<std::string> items;
    const std::string value = this->text(section, key, "");
    if (boost::trim_copy(value).empty())
        return items;
    boost::split(items, value, boost::is_any_of(","));
    for (std::string& item : items)
        boost::trim(item);
    return items;
}

std::vector<std::string> SettingsReader::keys(const std::string& section)
{
    std::vector<std::string> result;
    const auto node = this->tree.find(section);
    if (node == this->tree.not_found())
        return result;
    for (const auto& [key, value] : node->second) {
        this->known.insert(qualifiedKey(section, key));
        result.push_back(key);
    }
    return result;
}

std::vector<Error> SettingsReader::finish()
{
    for (const auto& [section, content] : this->tree) {
        for (const auto& [key, value] : content) {
            if (!this->known.contains(qualifiedKey(section, key)))
                this->errors.push_back(
                    makeError(ResultCode::SettingsUnknownKey, "{} is not known", this->location(section, key)));
        }
    }
    return this->errors;
}

} // namespace clementinefall
