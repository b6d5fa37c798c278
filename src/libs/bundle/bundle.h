#pragma once

#include "base/clock.h"
#include "base/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinefall::bundle {

struct Zone {
    std::string name;
    std::string region;

    friend bool operator==(const Zone&, const Zone&) = default;
};

struct EntryInstance {
    std::string name;
    std::string zone;
    HostPort traffic; ///< HTTP for callers and for requests from other entry instances.
    HostPort peer; ///< TCP for RPC and UDP for membership, on the same port number.
    HostPort admin; ///< HTTP for the administration API, health, readiness and metrics.

    friend bool operator==(const EntryInstance&, const EntryInstance&) = default;
};

struct BackendServer {
    std::string name;
    std::string zone;
    HostPort address;
    unsigned slots = 1; ///< Requests that the server runs at the same time.
    unsigned maximumConnections = 1;

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

enum class RequestClass : std::uint8_t { Idempotent, NonIdempotent, Mixed };

/// Load shedding starts with Bulk and reaches Critical last.
enum class Priority : std::uint8_t { Bulk, Upload, Lookup, Critical };

struct Service {
    std::string name;
    std::string team;
    RequestClass requestClass = RequestClass::Idempotent;
    Priority priority = Priority::Lookup;
    milliseconds deadline { 2000 }; ///< Default and maximum deadline of a request.
    std::uint64_t maximumBodyBytes = 0;
    std::vector<BackendServer> servers;

    friend bool operator==(const Service&, const Service&) = default;
};

/// Limit on the requests of a service that come from callers in one location and are executed in another. A location
/// is the name of a zone or of a region. Without a cap no requests shift between regions.
struct ShiftCap {
    std::string service;
    std::string from;
    std::string to;
    std::uint64_t perSecond = 0; ///< Requests in any one-second window, for all entry instances together.
    std::uint64_t total = 0; ///< Requests until `epoch` is raised, for all entry instances together.
    std::uint64_t epoch = 1; ///< Raised by the operator to renew `total`.

    friend bool operator==(const ShiftCap&, const ShiftCap&) = default;
};

/// Bandwidth of the link between two regions that the system may use in each direction.
struct LinkBudget {
    std::string from;
    std::string to;
    std::uint64_t bytesPerSecond = 0;
    milliseconds delay { 0 }; ///< Expected one-way delay.

    friend bool operator==(const LinkBudget&, const LinkBudget&) = default;
};

enum class DrainKind : std::uint8_t { BackendServer, EntryInstance, Zone };

struct Drain {
    DrainKind kind = DrainKind::BackendServer;
    std::string name;

    friend bool operator==(const Drain&, const Drain&) = default;
};

enum class Role : std::uint8_t { Viewer, Editor, Approver, Administrator };

struct Operator {
    std::string name;
    std::string team;
    Role role = Role::Viewer;
    std::string tokenDigest; ///< Hex BLAKE2b-256 of the operator's API token.
    std::string publicKey; ///< Hex Ed25519 key for sign-offs; empty for an operator who does not sign.

    friend bool operator==(const Operator&, const Operator&) = default;
};

/// A versioned configuration bundle. Plain data; `bundlecodec.h` converts it to and from JSON.
struct Bundle {
    std::uint64_t version = 0;
    /// Accepted version that this one was derived from, 0 when not stated. When stated, acceptance requires that the
    /// base version is still in force, so that concurrent changes cannot silently undo each other.
    std::uint64_t baseVersion = 0;
    std::string author;
    std::string comment;
    milliseconds lookupTtl { 5000 }; ///< How long callers may cache a lookup result.
    unsigned requiredSignatures = 1;
    std::vector<Operator> operators;
    std::vector<Zone> zones;
    std::vector<EntryInstance> entryInstances;
    std::vector<Service> services;
    std::vector<ShiftCap> shiftCaps;
    std::vector<LinkBudget> links;
    std::vector<Drain> drains;

    friend bool operator==(const Bundle&, const Bundle&) = default;
};

} // namespace clementinefall::bundle
