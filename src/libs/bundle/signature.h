#pragma once

#include "base/result.h"
#include "bundle/bundle.h"

#include <string>
#include <string_view>

namespace clementinefall::bundle {

/// All keys, digests, signatures and tokens are lower-case hex, so that they can be stored in JSON and in key files.
constexpr std::size_t digestHexLength = 64; ///< BLAKE2b-256.
constexpr std::size_t publicKeyHexLength = 64; ///< Ed25519.
constexpr std::size_t signatureHexLength = 128; ///< Ed25519.
constexpr std::size_t secretKeyHexLength = 64; ///< Seed of the Ed25519 key pair.

/// Key pair for sign-offs. The secret key must never be logged or sent to the administration API.
struct KeyPair {
    std::string publicKey;
    std::string secretKey;
};

KeyPair generateKeyPair();

/// Derives the key pair from the hex secret key. Error: BundleBadSignature when the key is malformed.
Result<KeyPair> keyPairFromSecret(std::string_view secretKey);

/// BLAKE2b-256 of \a text.
std::string textDigest(std::string_view text);

/// Digest of the canonical JSON of \a bundle. Sign-offs sign it and acceptance records it.
std::string bundleDigest(const Bundle& bundle);

/// Signs the 32 bytes of \a digest. Error: BundleBadSignature when the digest or the key is malformed.
Result<std::string> signDigest(std::string_view digest, std::string_view secretKey);

/// False also for malformed input.
bool verifyDigest(std::string_view digest, std::string_view publicKey, std::string_view signature);

/// True for the hex form of 32 bytes.
bool isPublicKeyText(std::string_view text);

/// 256 random bits in hex. Tokens are always random, so their digests need no salt.
std::string generateToken();

/// Digest of an operator's API token as stored in bundles.
std::string tokenDigest(std::string_view token);

/// Operator whose token digest matches, or nullptr. Compares in constant time, so that the response time reveals
/// nothing about a digest.
const Operator* operatorForToken(const Bundle& bundle, std::string_view token);

/// Random identifier of an operator command, 128 bits in hex.
std::string generateOperationId();

} // namespace clementinefall::bundle
