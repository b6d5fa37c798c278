#include "requests/identity.h"

#include <algorithm>
#include <charconv>

namespace clementinefall::requests {

namespace {

/// Same limit as for the names in a bundle.
constexpr std::size_t maximumInstanceBytes = 64;

constexpr std::size_t incarnationDigits = 16;

constexpr seconds batchDuration { 1 };

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
        || c == '.';
}

std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

std::string formatIdentity(const Identity& identity)
{
    return fmt::format("{}.{:016x}.{}", identity.instance, identity.incarnation, identity.sequence);
}

Result<Identity> parseIdentity(std::string_view text)
{
    const auto malformedError = [] {
        return makeError(ResultCode::NotRunInvalidIdentity,
            "the identity is malformed; expected <instance>.<16 lower-case hex digits>.<sequence>");
    };
    const std::size_t sequenceDot = text.rfind('.');
    if (sequenceDot == std::string_view::npos || sequenceDot == 0)
        return malformedError();
    const std::size_t incarnationDot = text.rfind('.', sequenceDot - 1);
    if (incarnationDot == std::string_view::npos)
        return malformedError();

    const std::string_view name = text.substr(0, incarnationDot);
    const std::string_view incarnation = text.substr(incarnationDot + 1, sequenceDot - incarnationDot - 1);
    if (name.empty() || name.size() > maximumInstanceBytes || !std::all_of(name.begin(), name.end(), isNameCharacter))
        return malformedError();
    const auto incarnationNumber = parseNumber(incarnation, 16);
    const auto sequenceNumber = parseNumber(text.substr(sequenceDot + 1), 10);
    if (incarnation.size() != incarnationDigits || !incarnationNumber || !sequenceNumber || *sequenceNumber == 0)
        return malformedError();

    Identity identity { std::string(name), *incarnationNumber, *sequenceNumber };
    if (formatIdentity(identity) != text)
        return malformedError();
    return identity;
}

std::optional<IssuedRange> IdentityIssuer::issue(std::uint64_t count, TimePoint now)
{
    this->expire(now);
    const std::uint64_t open = this->nextUnissued - this->lowestUnexpired;
    if (count == 0 || count > this->openLimit || open > this->openLimit - count)
        return std::nullopt;
    const IssuedRange range { this->nextUnissued, count };
    this->nextUnissued += count;
    if (this->batches.empty() || now - this->batches.back().started >= batchDuration)
        this->batches.push_back({ now, now, this->nextUnissued });
    this->batches.back().newest = std::max(this->batches.back().newest, now);
    this->batches.back().end = this->nextUnissued;
    return range;
}

void IdentityIssuer::expire(TimePoint now)
{
    while (!this->batches.empty() && now - this->batches.front().newest >= this->lifetime) {
        this->lowestUnexpired = this->batches.front().end;
        this->batches.pop_front();
    }
}

} // namespace clementinefall::requests
