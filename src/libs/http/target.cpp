#include "http/target.h"

#include <charconv>

namespace clementinefall::http {

namespace {

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        unsigned value = 0;
        const std::string_view digits = text.substr(i + 1, 2);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (digits.size() != 2 || error != std::errc() || end != digits.data() + 2 || value < 0x20)
            return std::nullopt;
        result += static_cast<char>(value);
        i += 2;
    }
    return result;
}

/// Calls \a take for each part of \a text between separators; stops when it returns false.
template <typename Take> bool forEachPart(std::string_view text, char separator, Take take)
{
    while (!text.empty()) {
        const auto at = text.find(separator);
        if (!take(text.substr(0, at)))
            return false;
        if (at == std::string_view::npos)
            break;
        text.remove_prefix(at + 1);
    }
    return true;
}

} // namespace

std::string Target::parameter(const std::string& name) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? std::string() : found->second;
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view hexDigits = "0123456789ABCDEF";
    std::string result;
    result.reserve(text.size());
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            result += c;
            continue;
        }
        const unsigned byte = static_cast<unsigned char>(c);
        result += '%';
        result += hexDigits[byte / hexDigits.size()];
        result += hexDigits[byte % hexDigits.size()];
    }
    return result;
}

std::optional<Target> parseTarget(std::string_view text)
{
    if (text.empty() || text.front() != '/')
        return std::nullopt;
    for (const char c : text) {
        if (static_cast<unsigned char>(c) <= 0x20 || c == 0x7f)
            return std::nullopt;
    }
    Target target;
    const auto question = text.find('?');
    target.path = std::string(text.substr(0, question));
    const bool pathValid = forEachPart(text.substr(0, question), '/', [&target](std::string_view part) {
        if (part.empty())
            return true;
        const auto decoded = percentDecode(part);
        if (decoded)
            target.segments.push_back(*decoded);
        return decoded.has_value();
    });
    if (!pathValid)
        return std::nullopt;
    if (question == std::string_view::npos)
        return target;
    const bool queryValid = forEachPart(text.substr(question + 1), '&', [&target](std::string_view part) {
        const auto equals = part.find('=');
        const auto key = percentDecode(part.substr(0, equals));
        const auto value = percentDecode(equals == std::string_view::npos ? "" : part.substr(equals + 1));
        if (!key || !value)
            return false;
        target.query[*key] = *value;
        return true;
    });
    if (!queryValid)
        return std::nullopt;
    return target;
}

} // namespace clementinefall::http
