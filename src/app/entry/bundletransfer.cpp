#include "bundletransfer.h"

#include "bundle/textdelta.h"

#include <boost/json.hpp>

#include <algorithm>

namespace clementinefall::entry {

namespace json = boost::json;

namespace {

constexpr std::string_view signOffsKey = "signOffs";
constexpr std::string_view bundleKey = "bundle";
constexpr std::string_view deltaKey = "delta";
constexpr std::string_view baseKey = "base"; ///< Version that a delta applies to.

} // namespace

std::uint64_t newestVersion(const BundleHistory& history)
{
    return history.bundles.empty() ? 0 : history.bundles.back().version;
}

void rememberBundle(BundleHistory& history, KnownBundle bundle)
{
    if (bundle.version <= newestVersion(history))
        return;
    history.bundles.push_back(std::move(bundle));
    if (history.bundles.size() > BundleHistory::capacity)
        history.bundles.pop_front();
}

peers::BundleResponse bundleResponse(const BundleHistory& history, const peers::BundleQuery& query)
{
    peers::BundleResponse response;
    if (newestVersion(history) <= query.haveVersion)
        return response;
    const KnownBundle& newest = history.bundles.back();
    response.kind = peers::BundleKind::Full;
    response.version = newest.version;
    response.digest = newest.digest;
    json::object content { { signOffsKey, newest.signOffs } };
    const auto base = std::find_if(history.bundles.begin(), history.bundles.end(), [&query](const KnownBundle& known) {
        return known.version == query.haveVersion && known.digest == query.haveDigest;
    });
    if (query.acceptsDelta && base != history.bundles.end()) {
        const std::string delta = bundle::encodeTextDelta(base->text, newest.text);
        if (delta.size() < newest.text.size()) {
            response.kind = peers::BundleKind::Delta;
            content[baseKey] = base->version;
            content[deltaKey] = delta;
        }
    }
    if (response.kind == peers::BundleKind::Full)
        content[bundleKey] = newest.text;
    response.content = json::serialize(content);
    return response;
}

Result<KnownBundle> receivedBundle(const BundleHistory& history, const peers::BundleResponse& response)
{
    if (response.kind == peers::BundleKind::None)
        return makeError(ResultCode::PeerBadMessage, "the peer has no newer bundle");
    try {
        const json::value content = json::parse(response.content);
        KnownBundle result { .version = response.version,
            .digest = response.digest,
            .text = {},
            .signOffs = std::string(content.at(signOffsKey).as_string()) };
        if (response.kind == peers::BundleKind::Full) {
            result.text = std::string(content.at(bundleKey).as_string());
            return result;
        }
        const auto baseVersion = content.at(baseKey).to_number<std::uint64_t>();
        const auto base = std::find_if(history.bundles.begin(), history.bundles.end(),
            [baseVersion](const KnownBundle& known) { return known.version == baseVersion; });
        if (base == history.bundles.end())
            return makeError(ResultCode::PeerBadMessage, "the delta of a peer is for bundle {}", baseVersion);
        Result<std::string> text = bundle::applyTextDelta(
            base->text, std::string_view(content.at(deltaKey).as_string()), peers::maximumRpcMessageBytes);
        if (!isOk(text))
            return errorOf(text);
        result.text = std::move(valueOf(text));
        return result;
    } catch (const std::exception& error) {
        return makeError(
            ResultCode::PeerBadMessage, "the bundle received from a peer cannot be parsed: {}", error.what());
    }
}

} // namespace clementinefall::entry
