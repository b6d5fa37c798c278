#include "membership/messagecodec.h"

#include "base/random.h"

#include <catch2/catch.hpp>

using namespace clementinefall;
using namespace clementinefall::membership;

namespace {

MemberRecord longestRecord(char letter)
{
    MemberRecord record;
    record.name = std::string(maximumNameBytes, letter);
    record.zone = std::string(maximumNameBytes, letter);
    record.address = { "2001:db8:1111:2222:3333:4444:5555:6666", 65535 };
    record.incarnation = 0xfedcba9876543211ULL;
    record.refutations = 0xffffffffU;
    record.state = MemberState::Suspect;
    record.suspectAge = milliseconds(4000);
    record.supersedes = 0x123456789abcdef1ULL;
    return record;
}

Message fullMessage()
{
    Message message;
    message.kind = MessageKind::PingRequest;
    message.sequence = 0x1122334455667788ULL;
    message.nonce = 0x99aabbccddeeff11ULL;
    message.sender = longestRecord('s');
    message.report = { 7, std::string(maximumDigestBytes, '\xfe'), 6, std::string(maximumReportBytes, 'h'),
        std::string(maximumReportBytes, 'r') };
    message.target = { "127.0.0.1", 9000 };
    message.cursor = 12;
    message.hasMore = true;
    message.presentMembers = 750;
    message.tableDigest = 0xabcdef0123456789ULL;
    std::size_t bytes = 0;
    for (char letter = 'a'; (bytes += estimatedBytes(longestRecord(letter))) <= maximumUpdateBytes; ++letter)
        message.updates.push_back(longestRecord(letter));
    return message;
}

ResultCode decodeError(const std::string& datagram, const ClusterKey& key)
{
    const auto decoded = decodeMessage(datagram, key);
    return isOk(decoded) ? ResultCode::Answered : errorOf(decoded).code;
}

} // namespace

TEST_CASE("Membership datagrams")
{
    ClusterKey key {};
    key.fill(7);
    const auto encoded = encodeMessage(fullMessage(), key);
    REQUIRE(isOk(encoded));
    const std::string& datagram = valueOf(encoded);

    SECTION("the longest message fits into a datagram and decodes unchanged")
    {
        CHECK(datagram.size() <= maximumDatagramBytes);
        CHECK(fullMessage().updates.size() >= 2);
        const auto decoded = decodeMessage(datagram, key);
        REQUIRE(isOk(decoded));
        CHECK(valueOf(decoded) == fullMessage());
    }

    SECTION("a different key, a flipped bit or a truncated datagram fails authentication")
    {
        ClusterKey other = key;
        other[31] ^= 1U;
        CHECK(decodeError(datagram, other) == ResultCode::PeerBadAuthenticator);
        for (std::size_t at = 2; at < datagram.size(); ++at) {
            std::string changed = datagram;
            changed[at] = static_cast<char>(changed[at] ^ 0x10);
            CHECK(decodeError(changed, key) == ResultCode::PeerBadAuthenticator);
        }
        CHECK(decodeError(datagram.substr(0, datagram.size() - 1), key) == ResultCode::PeerBadAuthenticator);
    }

    SECTION("a datagram that is too short, too long or of another protocol is malformed")
    {
        for (std::size_t length = 0; length <= 20; ++length)
            CHECK(decodeError(datagram.substr(0, length), key) == ResultCode::PeerBadMessage);
        CHECK(decodeError(datagram + std::string(maximumDatagramBytes, 'x'), key) == ResultCode::PeerBadMessage);
        CHECK(decodeError("GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", key) == ResultCode::PeerBadMessage);
    }

    SECTION("an authentic datagram of another version is reported as a version mismatch")
    {
        const std::string payload = datagram.substr(20);
        CHECK(decodeError(sealPayload(payload, protocolVersion + 1, key), key) == ResultCode::PeerVersion);
        CHECK(decodeError(sealPayload(payload, protocolVersion, key), key) == ResultCode::Answered);
    }

    SECTION("an authentic but corrupt payload is rejected without a crash")
    {
        Random random(20240501);
        const std::string payload = datagram.substr(20);
        std::size_t rejected = 0;
        for (int round = 0; round < 20'000; ++round) {
            std::string changed = payload;
            const std::size_t changes = 1 + randomBelow(random, 8);
            for (std::size_t i = 0; i < changes; ++i)
                changed[randomBelow(random, changed.size())] = static_cast<char>(random());
            changed.resize(1 + randomBelow(random, changed.size()));
            const ResultCode code = decodeError(sealPayload(changed, protocolVersion, key), key);
            if (code != ResultCode::PeerBadMessage && code != ResultCode::Answered)
                FAIL("code " << number(code));
            rejected += code == ResultCode::PeerBadMessage ? 1 : 0;
        }
        CHECK(rejected > 15'000);
    }

    SECTION("a message that exceeds a limit is not encoded")
    {
        Message message = fullMessage();
        message.report.headroom += 'x';
        CHECK(errorOf(encodeMessage(message, key)).code == ResultCode::PeerBadMessage);
        message = fullMessage();
        message.sender.name.clear();
        CHECK(errorOf(encodeMessage(message, key)).code == ResultCode::PeerBadMessage);
        message = fullMessage();
        message.updates.resize(maximumUpdates + 1, longestRecord('z'));
        CHECK(errorOf(encodeMessage(message, key)).code == ResultCode::PeerBadMessage);
    }
}

TEST_CASE("Cluster key parsing rejects a wrong length or character")
{
    const std::string hex = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
    const auto key = parseClusterKey(hex);
    REQUIRE(isOk(key));
    CHECK(valueOf(key)[31] == 0x1f);
    CHECK_FALSE(isOk(parseClusterKey(hex.substr(2))));
    CHECK_FALSE(isOk(parseClusterKey(hex + "00")));
    CHECK_FALSE(isOk(parseClusterKey("zz" + hex.substr(2))));
}
