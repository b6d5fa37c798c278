#include "bundle/signature.h"

#include "bundle/bundlecodec.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>

namespace clementinefall::bundle {

namespace {

using PublicKeyBytes = std::array<unsigned char, crypto_sign_PUBLICKEYBYTES>;
using SecretKeyBytes = std::array<unsigned char, crypto_sign_SECRETKEYBYTES>;
using SeedBytes = std::array<unsigned char, crypto_sign_SEEDBYTES>;
using SignatureBytes = std::array<unsigned char, crypto_sign_BYTES>;
using DigestBytes = std::array<unsigned char, crypto_generichash_BYTES>;

constexpr std::size_t tokenBytes = 32;
constexpr std::size_t operationIdBytes = 16;

void initializeSodium()
{
    static const bool isInitialized = sodium_init() >= 0;
    if (!isInitialized)
        std::abort(); // without a random source no secure keys can be generated
}

template <std::size_t Size> std::string toHex(const std::array<unsigned char, Size>& bytes)
{
    std::string text(Size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

template <std::size_t Size> std::optional<std::array<unsigned char, Size>> fromHex(std::string_view text)
{
    std::array<unsigned char, Size> bytes {};
    std::size_t length = 0;
    // Upper-case digits are rejected: signers are identified by the text of their key, so each key must have only one.
    const auto isLowerCaseHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    if (text.size() != Size * 2 || !std::all_of(text.begin(), text.end(), isLowerCaseHex))
        return std::nullopt;
    if (sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &length, nullptr) != 0)
        return std::nullopt;
    if (length != Size)
        return std::nullopt;
    return bytes;
}

template <std::size_t Size> std::string randomHex()
{
    initializeSodium();
    std::array<unsigned char, Size> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    return toHex(bytes);
}

} // namespace

KeyPair generateKeyPair()
{
    const std::string seed = randomHex<crypto_sign_SEEDBYTES>();
    const auto pair = keyPairFromSecret(seed);
    return valueOf(pair);
}

Result<KeyPair> keyPairFromSecret(std::string_view secretKey)
{
    initializeSodium();
    auto seed = fromHex<crypto_sign_SEEDBYTES>(secretKey);
    if (!seed)
        return makeError(
            ResultCode::BundleBadSignature, "the secret key must have {} lower-case hex digits", secretKeyHexLength);
    PublicKeyBytes publicKey {};
    SecretKeyBytes expanded {};
    crypto_sign_seed_keypair(publicKey.data(), expanded.data(), seed->data());
    sodium_memzero(expanded.data(), expanded.size());
    sodium_memzero(seed->data(), seed->size());
    return KeyPair { toHex(publicKey), std::string(secretKey) };
}

std::string textDigest(std::string_view text)
{
    initializeSodium();
    DigestBytes digest {};
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
    crypto_generichash(digest.data(), digest.size(), bytes, text.size(), nullptr, 0);
    return toHex(digest);
}

std::string bundleDigest(const Bundle& bundle) { return textDigest(serializeBundle(bundle)); }

Result<std::string> signDigest(std::string_view digest, std::string_view secretKey)
{
    initializeSodium();
    const auto digestBytes = fromHex<crypto_generichash_BYTES>(digest);
    if (!digestBytes)
        return makeError(
            ResultCode::BundleBadSignature, "the digest must have {} lower-case hex digits", digestHexLength);
    auto seed = fromHex<crypto_sign_SEEDBYTES>(secretKey);
    if (!seed)
        return makeError(
            ResultCode::BundleBadSignature, "the secret key must have {} lower-case hex digits", secretKeyHexLength);
    PublicKeyBytes publicKey {};
    SecretKeyBytes expanded {};
    crypto_sign_seed_keypair(publicKey.data(), expanded.data(), seed->data());
    SignatureBytes signature {};
    crypto_sign_detached(signature.data(), nullptr, digestBytes->data(), digestBytes->size(), expanded.data());
    sodium_memzero(expanded.data(), expanded.size());
    sodium_memzero(seed->data(), seed->size());
    return toHex(signature);
}

bool verifyDigest(std::string_view digest, std::string_view publicKey, std::string_view signature)
{
    initializeSodium();
    const auto digestBytes = fromHex<crypto_generichash_BYTES>(digest);
    const auto keyBytes = fromHex<crypto_sign_PUBLICKEYBYTES>(publicKey);
    const auto signatureBytes = fromHex<crypto_sign_BYTES>(signature);
    if (!digestBytes || !keyBytes || !signatureBytes)
        return false;
    return crypto_sign_verify_detached(
               signatureBytes->data(), digestBytes->data(), digestBytes->size(), keyBytes->data())
        == 0;
}

bool isPublicKeyText(std::string_view text) { return fromHex<crypto_sign_PUBLICKEYBYTES>(text).has_value(); }

std::string generateToken() { return randomHex<tokenBytes>(); }

std::string tokenDigest(std::string_view token) { return textDigest(token); }

const Operator* operatorForToken(const Bundle& bundle, std::string_view token)
{
    const std::string digest = tokenDigest(token);
    const Operator* found = nullptr;
    for (const Operator& operatorEntry : bundle.operators) {
        if (operatorEntry.tokenDigest.size() != digest.size())
            continue;
        if (sodium_memcmp(operatorEntry.tokenDigest.data(), digest.data(), digest.size()) == 0 && !found)
            found = &operatorEntry;
    }
    return found;
}

std::string generateOperationId() { return randomHex<operationIdBytes>(); }

} // namespace clementinefall::bundle
