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

/// Order in which load is shed: Bulk first, Critical last.
enum class Priority : std::uint8_t { Bulk, Upload, Lookup, Critical };

struct Service {
    std::string name;
    std::string team;
    RequestClass requestClass = RequestClass::Idempotent;
    Priority priority = Priority::Lookup;
    milliseconds deadline { 2000 }; ///< Used when the caller gives none, and the longest allowed.
    std::uint64_t maximumBodyBytes = 0;
    std::vector<BackendServer> servers;

    friend bool operator==(const Service&, const Service&) = default;
};

/// Limit on requests of a service that callers of one location make and another location executes. A location is
/// the name of a zone or of a region. Without a cap nothing shifts between regions.
struct ShiftCap {
    std::string service;
    std::string from;
    std::string to;
    std::uint64_t perSecond = 0; ///< Requests in any one-second window, for all entry instances together.
    std::uint64_t total = 0; ///< Requests until `epoch` is raised, for all entry instances together.
    std::uint64_t epoch = 1; ///< Raised by the operator to renew `total`.

    friend bool operator==(const ShiftCap&, const ShiftCap&) = default;
};

/// Share of the link between two regions that the system may use, each way.
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
    std::string publicKey; ///< Hex Ed25519 key for sign-offs; empty when the operator signs nothing.

    friend bool operator==(const Operator&, const Operator&) = default;
};

/// A versioned bundle of configuration. Plain data; `bundlecodec.h` reads and writes it as JSON.
struct Bundle {
    std::uint64_t version = 0;
    /// Accepted version that this one was derived from, 0 when not stated. Acceptance then requires that this version
    /// is still in force, so that of two changes made side by side neither silently undoes the other.
    std::uint64_t baseVersion = 0;
    std::string author;
    std::string comment;
    milliseconds lookupTtl { 5000 }; ///< How long callers may keep a lookup answer.
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
