#include "membership/messagecodec.h"

#include "membership/membership.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <optional>

namespace clementinefall::membership {

namespace {

constexpr std::size_t macBytes = crypto_generichash_BYTES_MIN;
constexpr std::size_t macOffset = 4;
constexpr std::size_t headerBytes = macOffset + macBytes;
constexpr std::array<char, 2> magic { 'C', 'F' };

/// Far more than the words of a valid message. A larger payload is rejected before it is allocated.
constexpr std::uint64_t traversalLimitWords = 4'096;
/// A valid message has three levels: message, list and record.
constexpr int nestingLimit = 5;

constexpr std::uint16_t lastState = static_cast<std::uint16_t>(MemberState::Dead);
constexpr std::uint16_t lastKind = static_cast<std::uint16_t>(MessageKind::Gossip);
constexpr milliseconds maximumSuspectAge { 0xffff }; // 16-bit wire field

using Mac = std::array<unsigned char, macBytes>;

Mac macOf(std::string_view header, std::string_view payload, const ClusterKey& key)
{
    Mac mac {};
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), mac.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(header.data()), header.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(payload.data()), payload.size());
    crypto_generichash_final(&state, mac.data(), mac.size());
    return mac;
}

Error badMessage(std::string_view reason) { return makeError(ResultCode::PeerBadMessage, "{}", reason); }

bool isWithinLimits(const MemberRecord& record)
{
    return !record.name.empty() && record.name.size() <= maximumNameBytes && record.zone.size() <= maximumNameBytes
        && record.incarnation != 0 && record.suspectAge >= milliseconds(0) && record.suspectAge <= maximumSuspectAge;
}

bool isWithinLimits(const InstanceReport& report)
{
    return report.newestDigest.size() <= maximumDigestBytes && report.headroom.size() <= maximumReportBytes
        && report.status.size() <= maximumReportBytes;
}

bool isWithinLimits(const Message& message)
{
    return isWithinLimits(message.sender) && isWithinLimits(message.report) && message.updates.size() <= maximumUpdates
        && std::all_of(message.updates.begin(), message.updates.end(),
            [](const MemberRecord& record) { return isWithinLimits(record); });
}

capnp::Data::Reader dataOf(const std::string& bytes)
{
    return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
}

std::string textOf(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

std::string textOf(capnp::Data::Reader data) { return { reinterpret_cast<const char*>(data.begin()), data.size() }; }

void writeRecord(wire::Record::Builder target, const MemberRecord& record)
{
    target.setName(record.name);
    target.setZone(record.zone);
    target.setAddress(record.address.text());
    target.setIncarnation(record.incarnation);
    target.setRefutations(record.refutations);
    target.setState(static_cast<wire::State>(record.state));
    target.setSuspectAgeMs(static_cast<std::uint16_t>(record.suspectAge.count()));
    target.setSupersedes(record.supersedes);
}

void writeMessage(wire::Message::Builder target, const Message& message)
{
    target.setKind(static_cast<wire::Kind>(message.kind));
    target.setSequence(message.sequence);
    target.setNonce(message.nonce);
    writeRecord(target.initSender(), message.sender);
    auto report = target.initReport();
    report.setNewestBundle(message.report.newestBundle);
    report.setNewestDigest(dataOf(message.report.newestDigest));
    report.setActingBundle(message.report.actingBundle);
    report.setHeadroom(dataOf(message.report.headroom));
    report.setStatus(dataOf(message.report.status));
    if (message.kind == MessageKind::PingRequest)
        target.setTarget(message.target.text());
    target.setCursor(message.cursor);
    target.setHasMore(message.hasMore);
    target.setPresentMembers(message.presentMembers);
    target.setTableDigest(message.tableDigest);
    auto updates = target.initUpdates(static_cast<unsigned>(message.updates.size()));
    for (unsigned i = 0; i < updates.size(); ++i)
        writeRecord(updates[i], message.updates[i]);
}

std::optional<HostPort> readAddress(capnp::Text::Reader text)
{
    if (text.size() > maximumAddressBytes)
        return std::nullopt;
    const auto parsed = parseHostPort({ text.begin(), text.size() });
    if (!isOk(parsed))
        return std::nullopt;
    return valueOf(parsed);
}

std::optional<MemberRecord> readRecord(wire::Record::Reader source)
{
    const auto address = readAddress(source.getAddress());
    const auto state = static_cast<std::uint16_t>(source.getState());
    if (!address || state > lastState || source.getName().size() > maximumNameBytes
        || source.getZone().size() > maximumNameBytes)
        return std::nullopt;
    MemberRecord record;
    record.name = textOf(source.getName());
    record.zone = textOf(source.getZone());
    record.address = *address;
    record.incarnation = source.getIncarnation();
    record.refutations = source.getRefutations();
    record.state = static_cast<MemberState>(state);
    record.suspectAge = milliseconds(source.getSuspectAgeMs());
    record.supersedes = source.getSupersedes();
    if (!isWithinLimits(record))
        return std::nullopt;
    return record;
}

std::optional<InstanceReport> readReport(wire::Report::Reader source)
{
    InstanceReport report;
    report.newestBundle = source.getNewestBundle();
    report.newestDigest = textOf(source.getNewestDigest());
    report.actingBundle = source.getActingBundle();
    report.headroom = textOf(source.getHeadroom());
    report.status = textOf(source.getStatus());
    if (!isWithinLimits(report))
        return std::nullopt;
    return report;
}

Result<Message> readMessage(wire::Message::Reader source)
{
    const auto kind = static_cast<std::uint16_t>(source.getKind());
    if (kind > lastKind)
        return badMessage("message has an unknown kind");
    Message message;
    message.kind = static_cast<MessageKind>(kind);
    message.sequence = source.getSequence();
    message.nonce = source.getNonce();
    message.cursor = source.getCursor();
    message.hasMore = source.getHasMore();
    message.presentMembers = source.getPresentMembers();
    message.tableDigest = source.getTableDigest();
    auto sender = readRecord(source.getSender());
    auto report = readReport(source.getReport());
    if (!sender || !report)
        return badMessage("sender record or report exceeds a limit or has an invalid field");
    message.sender = std::move(*sender);
    message.report = std::move(*report);
    if (message.kind == MessageKind::PingRequest) {
        const auto target = readAddress(source.getTarget());
        if (!target)
            return badMessage("probe target is not a valid address");
        message.target = *target;
    }
    const auto updates = source.getUpdates();
    if (updates.size() > maximumUpdates)
        return badMessage("message has too many updates");
    for (const auto& update : updates) {
        auto record = readRecord(update);
        if (!record)
            return badMessage("update record exceeds a limit or has an invalid field");
        message.updates.push_back(std::move(*record));
    }
    return message;
}

Result<Message> parsePayload(std::string_view payload)
{
    // Cap'n Proto throws for malformed input.
    try {
        kj::ArrayInputStream stream(kj::arrayPtr(reinterpret_cast<const kj::byte*>(payload.data()), payload.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = traversalLimitWords;
        options.nestingLimit = nestingLimit;
        capnp::PackedMessageReader reader(stream, options);
        return readMessage(reader.getRoot<wire::Message>());
    } catch (const kj::Exception& exception) {
        return badMessage(exception.getDescription().cStr());
    }
}

} // namespace

std::string_view memberStateName(MemberState state)
{
    constexpr std::array<std::string_view, 4> names { "live", "suspect", "leaving", "dead" };
    return names.at(static_cast<std::size_t>(state));
}

std::size_t estimatedBytes(const MemberRecord& record)
{
    // Packed fixed fields take at most 50 bytes. A string adds its length, a terminator and one tag for each 8 bytes.
    constexpr std::size_t fixedBytes = 50;
    const std::size_t texts = record.name.size() + record.zone.size() + record.address.host.size() + 10;
    return fixedBytes + texts + texts / 8;
}

Result<ClusterKey> parseClusterKey(std::string_view hex)
{
    ClusterKey key {};
    std::size_t length = 0;
    if (sodium_hex2bin(key.data(), key.size(), hex.data(), hex.size(), nullptr, &length, nullptr) != 0
        || length != key.size() || hex.size() != 2 * key.size())
        return makeError(ResultCode::SettingsOutOfRange, "the cluster key must be {} hex digits", 2 * key.size());
    return key;
}

std::string sealPayload(std::string_view payload, std::uint16_t version, const ClusterKey& key)
{
    std::string datagram;
    datagram.reserve(headerBytes + payload.size());
    datagram.append(magic.data(), magic.size());
    datagram.push_back(static_cast<char>(version >> 8U));
    datagram.push_back(static_cast<char>(version & 0xffU));
    const Mac mac = macOf(datagram, payload, key);
    datagram.append(reinterpret_cast<const char*>(mac.data()), mac.size());
    datagram.append(payload);
    return datagram;
}

Result<std::string> encodeMessage(const Message& message, const ClusterKey& key)
{
    if (!isWithinLimits(message))
        return badMessage("outgoing message exceeds a field limit");
    capnp::MallocMessageBuilder builder;
    writeMessage(builder.initRoot<wire::Message>(), message);
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const auto payload = stream.getArray();
    std::string datagram
        = sealPayload({ reinterpret_cast<const char*>(payload.begin()), payload.size() }, protocolVersion, key);
    if (datagram.size() > maximumDatagramBytes)
        return badMessage("encoded message exceeds the maximum datagram size");
    return datagram;
}

Result<Message> decodeMessage(std::string_view datagram, const ClusterKey& key)
{
    if (datagram.size() <= headerBytes)
        return badMessage("datagram is too short");
    if (datagram.size() > maximumDatagramBytes)
        return badMessage("datagram is too long");
    if (!std::equal(magic.begin(), magic.end(), datagram.begin()))
        return badMessage("datagram does not start with the protocol magic");
    const std::string_view payload = datagram.substr(headerBytes);
    const Mac mac = macOf(datagram.substr(0, macOffset), payload, key);
    if (sodium_memcmp(mac.data(), datagram.data() + macOffset, mac.size()) != 0)
        return makeError(ResultCode::PeerBadAuthenticator, "datagram authentication failed: MAC does not match");
    const auto high = static_cast<unsigned char>(datagram[2]);
    const auto low = static_cast<unsigned char>(datagram[3]);
    const unsigned version = high * 256U + low;
    if (version != protocolVersion)
        return makeError(
            ResultCode::PeerVersion, "datagram has protocol version {}, expected {}", version, protocolVersion);
    return parsePayload(payload);
}

} // namespace clementinefall::membership
