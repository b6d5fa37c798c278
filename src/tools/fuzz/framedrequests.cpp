#include "framedrequests.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace clementinefall::fuzz {

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Reads from the begin of a text, which it shortens.
class Input {
public:
    explicit Input(std::string_view text)
        : rest(text)
    {
    }

    /// A line that ends in CRLF and has no other line break; nothing if there is none.
    std::optional<std::string_view> line()
    {
        const std::size_t end = this->rest.find_first_of("\r\n");
        if (end == std::string_view::npos || !this->rest.substr(end).starts_with("\r\n"))
            return std::nullopt;
        const std::string_view result = this->rest.substr(0, end);
        this->rest.remove_prefix(end + 2);
        return result;
    }

    bool skip(std::uint64_t bytes)
    {
        if (bytes > this->rest.size())
            return false;
        this->rest.remove_prefix(static_cast<std::size_t>(bytes));
        return true;
    }

    bool skip(std::string_view text) { return this->rest.starts_with(text) && this->skip(text.size()); }

private:
    std::string_view rest;
};

char lowered(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](char l, char r) { return lowered(l) == lowered(r); });
}

bool isToken(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [marks](char c) {
        return (c >= '0' && c <= '9') || (lowered(c) >= 'a' && lowered(c) <= 'z') || marks.find(c) != marks.npos;
    });
}

/// Section 5.5 of RFC 9110: visible characters, spaces and tabs, and bytes above 127.
bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

/// Fields up to the empty line.
std::optional<Fields> readFields(Input& input)
{
    Fields fields;
    while (true) {
        const auto line = input.line();
        if (!line)
            return std::nullopt;
        if (line->empty())
            return fields;
        const std::size_t colon = line->find(':');
        if (colon == std::string_view::npos || !isToken(line->substr(0, colon)) || !isFieldValue(*line))
            return std::nullopt;
        fields.emplace_back(line->substr(0, colon), trimmed(line->substr(colon + 1)));
    }
}

std::vector<std::string> valuesOf(const Fields& fields, std::string_view name)
{
    std::vector<std::string> result;
    for (const auto& [fieldName, value] : fields) {
        if (equalsIgnoringCase(fieldName, name))
            result.push_back(value);
    }
    return result;
}

/// Section 7.1.
bool skipChunks(Input& input)
{
    while (true) {
        const auto line = input.line();
        if (!line || !isFieldValue(*line))
            return false;
        const auto size = parseNumber(trimmed(line->substr(0, line->find(';'))), 16);
        if (!size)
            return false;
        if (*size == 0)
            return readFields(input).has_value();
        if (!input.skip(*size) || !input.skip("\r\n"))
            return false;
    }
}

/// Section 6.3.
bool skipBody(Input& input, const Fields& fields, bool isVersion10)
{
    const auto codings = valuesOf(fields, "Transfer-Encoding");
    const auto lengths = valuesOf(fields, "Content-Length");
    if (!codings.empty()) {
        return codings.size() == 1 && lengths.empty() && !isVersion10 && equalsIgnoringCase(codings[0], "chunked")
            && skipChunks(input);
    }
    if (lengths.empty())
        return true;
    const auto length = parseNumber(lengths[0], 10);
    return length && std::count(lengths.begin(), lengths.end(), lengths[0]) == static_cast<long>(lengths.size())
        && input.skip(*length);
}

std::optional<FramedRequest> readRequest(Input& input, std::string_view idField)
{
    while (input.skip("\r\n")) { } // Section 2.2.
    const auto line = input.line();
    if (!line)
        return std::nullopt;
    const std::size_t first = line->find(' ');
    const std::size_t second = first == std::string_view::npos ? first : line->find(' ', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    FramedRequest request { .method = std::string(line->substr(0, first)),
        .target = std::string(line->substr(first + 1, second - first - 1)),
        .id = {} };
    const std::string_view version = line->substr(second + 1);
    if (!isToken(request.method) || request.target.empty() || (version != "HTTP/1.1" && version != "HTTP/1.0"))
        return std::nullopt;
    const auto fields = readFields(input);
    if (!fields || !skipBody(input, *fields, version == "HTTP/1.0"))
        return std::nullopt;
    const auto ids = valuesOf(*fields, idField);
    request.id = ids.empty() ? std::string() : ids.front();
    return request;
}

} // namespace

std::vector<FramedRequest> readFramedRequests(std::string_view bytes, std::string_view idField)
{
    std::vector<FramedRequest> result;
    Input input(bytes);
    while (auto request = readRequest(input, idField))
        result.push_back(std::move(*request));
    return result;
}

} // namespace clementinefall::fuzz
