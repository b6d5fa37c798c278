#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "base/settings.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace clementinefall::peers {

/// Range of RPC protocol versions that this build supports.
constexpr std::uint16_t minimumRpcVersion = 1;
constexpr std::uint16_t maximumRpcVersion = 1;

/// The platform stores values of up to 1 MB, so a full bundle with its sign-offs fits.
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

struct BundleQuery {
    std::uint64_t haveVersion = 0; ///< 0 without a bundle.
    std::string haveDigest; ///< Raw bytes.
    bool acceptsDelta = false;
};

struct BundleResponse {
    BundleKind kind = BundleKind::None;
    std::uint64_t version = 0;
    std::string digest; ///< Raw bytes.
    std::string content;
    std::vector<SignOff> signOffs;

    friend bool operator==(const BundleResponse&, const BundleResponse&) = default;
};

struct CrashReport {
    std::string service;
    std::string server;
    std::string fingerprint; ///< Raw bytes.
    double weight = 0; ///< 1/n for n requests in flight at the crash; in (0, 1].

    friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Name and incarnation that the authenticated instance at the other end of a connection has given.
struct PeerIdentity {
    std::string name;
    std::uint64_t incarnation = 0;
};

/// Callbacks for calls from peers. They run on the control thread and must not throw.
struct PeerHandlers {
    std::function<BundleResponse(const BundleQuery&)> getBundle;
    std::function<void(const PeerIdentity&, std::uint64_t version, const std::string& digest)> announce;
    std::function<void(const PeerIdentity&, const CrashReport&)> reportCrash;
    std::function<std::string(const PeerIdentity&, const std::string& content)> status;
};

} // namespace clementinefall::peers
