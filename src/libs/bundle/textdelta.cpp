#include "bundle/textdelta.h"

#include "base/hash.h"

#include <boost/json.hpp>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace clementinefall::bundle {

namespace json = boost::json;

namespace {

/// A shorter range costs more bytes than the text that it stands for.
constexpr std::size_t minimumRangeBytes = 16;

struct Piece {
    std::size_t offset = 0;
    std::size_t length = 0;
};

/// Cuts canonical JSON after each comma, so that an entry that has not changed consists of the same pieces.
std::vector<Piece> piecesOf(std::string_view text)
{
    std::vector<Piece> result;
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t comma = text.find(',', begin);
        const std::size_t end = comma == std::string_view::npos ? text.size() : comma + 1;
        result.push_back({ begin, end - begin });
        begin = end;
    }
    return result;
}

std::size_t commonPrefix(std::string_view left, std::string_view right)
{
    const auto [l, r] = std::mismatch(left.begin(), left.end(), right.begin(), right.end());
    return static_cast<std::size_t>(l - left.begin());
}

void appendText(json::array& edits, std::string_view text)
{
    if (text.empty())
        return;
    if (!edits.empty() && edits.back().is_string())
        edits.back().get_string().append(text);
    else
        edits.emplace_back(text);
}

} // namespace

std::string encodeTextDelta(std::string_view before, std::string_view after)
{
    // Pieces that stand more than once lead to their first place; the expected place is tried before.
    std::unordered_map<std::uint64_t, std::size_t> offsets;
    for (const Piece& piece : piecesOf(before))
        offsets.emplace(hash64(before.substr(piece.offset, piece.length)), piece.offset);
    json::array edits;
    std::size_t expected = 0; ///< Where `before` goes on after the last range.
    const std::vector<Piece> pieces = piecesOf(after);
    std::size_t position = 0;
    for (const Piece& piece : pieces) {
        if (piece.offset < position)
            continue; // Part of the last range.
        const std::string_view rest = after.substr(piece.offset);
        std::size_t source = expected;
        std::size_t length = commonPrefix(before.substr(std::min(expected, before.size())), rest);
        if (length < piece.length) {
            const auto found = offsets.find(hash64(after.substr(piece.offset, piece.length)));
            const std::size_t other = found == offsets.end() ? 0 : commonPrefix(before.substr(found->second), rest);
            if (other > length) {
                source = found->second;
                length = other;
            }
        }
        // Ranges end with a piece: the next one may be found at another place, where more follows.
        const auto next = std::upper_bound(pieces.begin(), pieces.end(), piece.offset + length,
            [](std::size_t end, const Piece& candidate) { return end < candidate.offset + candidate.length; });
        length = (next == pieces.end() ? after.size() : next->offset) - piece.offset;
        if (length < minimumRangeBytes) {
            appendText(edits, rest.substr(0, piece.length));
            position = piece.offset + piece.length;
            continue;
        }
        edits.emplace_back(json::array { source, length });
        expected = source + length;
        position = piece.offset + length;
    }
    return json::serialize(edits);
}

Result<std::string> applyTextDelta(std::string_view before, std::string_view delta, std::size_t maximumBytes)
{
    json::error_code error;
    const json::value edits = json::parse({ delta.data(), delta.size() }, error);
    if (error || !edits.is_array())
        return makeError(ResultCode::PeerBadMessage, "the delta of a bundle cannot be parsed");
    std::string result;
    for (const json::value& edit : edits.get_array()) {
        std::string_view text;
        if (edit.is_string()) {
            text = edit.get_string();
        } else {
            json::error_code offsetError;
            json::error_code lengthError;
            const bool isRange = edit.is_array() && edit.get_array().size() == 2;
            const auto offset = isRange ? edit.get_array()[0].to_number<std::uint64_t>(offsetError) : 0;
            const auto length = isRange ? edit.get_array()[1].to_number<std::uint64_t>(lengthError) : 0;
            if (!isRange || offsetError || lengthError || offset > before.size() || length > before.size() - offset)
                return makeError(ResultCode::PeerBadMessage, "the delta of a bundle has an invalid range");
            text = before.substr(offset, length);
        }
        if (text.size() > maximumBytes - result.size())
            return makeError(
                ResultCode::PeerBadMessage, "the delta of a bundle makes more than {} bytes", maximumBytes);
        result += text;
    }
    return result;
}

} // namespace clementinefall::bundle
