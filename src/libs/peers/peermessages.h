#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "base/settings.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace clementinefall::peers {

/// Range of RPC protocol versions that this build speaks.
constexpr std::uint16_t minimumRpcVersion = 1;
constexpr std::uint16_t maximumRpcVersion = 1;

/// The platform stores values up to 1 MB; a full bundle with its sign-offs stays under this.
constexpr std::size_t maximumRpcMessageBytes = 2UL * 1024 * 1024;
constexpr std::size_t maximumTextBytes = 256;
constexpr std::size_t maximumSignOffs = 64;
constexpr std::size_t maximumStatusBytes = 4096;

enum class BundleKind : std::uint8_t {
    None, ///< The caller's bundle is not older.
    Delta, ///< Content applies to the version that the caller has.
    Full,
};

struct SignOff {
    std::string signer;
    std::string signature; ///< Raw bytes.

    friend bool operator==(const SignOff&, const SignOff&) = default;
};

struct BundleAnswer {
    BundleKind kind = BundleKind::None;
    std::uint64_t version = 0;
    std::string digest; ///< Raw bytes.
    std::string content;
    std::vector<SignOff> signOffs;

    friend bool operator==(const BundleAnswer&, const BundleAnswer&) = default;
};

struct CrashReport {
    std::string service;
    std::string server;
    std::string fingerprint; ///< Raw bytes.
    double weight = 0; ///< 1/n for n requests in flight; in (0, 1].

    friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Authenticated instance at the other end of a connection, as it named itself.
struct PeerIdentity {
    std::string name;
    std::uint64_t incarnation = 0;
};

/// What the owner does with calls from peers. The functions run on the control thread and must not throw.
struct PeerHandlers {
    std::function<BundleAnswer(std::uint64_t haveVersion, const std::string& haveDigest)> getBundle;
    std::function<void(const PeerIdentity&, std::uint64_t version, const std::string& digest)> announce;
    std::function<void(const PeerIdentity&, const CrashReport&)> reportCrash;
    std::function<std::string(const PeerIdentity&, const std::string& content)> status;
};

} // namespace clementinefall::peers
