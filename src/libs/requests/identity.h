#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace clementinefall::requests {

/// Identity of a non-idempotent request. Only the entry instance \a instance in the incarnation \a incarnation may
/// start it.
struct Identity {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Counts from 1.

    friend bool operator==(const Identity&, const Identity&) = default;
};

/// `<instance>.<incarnation, 16 lower-case hex digits>.<sequence, decimal>`.
std::string formatIdentity(const Identity& identity);

/// Reads exactly the texts that formatIdentity() writes; other texts give NotRunInvalidIdentity. An identity has one
/// spelling only, so that two copies of a request cannot differ in it.
Result<Identity> parseIdentity(std::string_view text);

/// How long an identity may be started after its issue.
constexpr minutes identityLifetime { 15 };

/// Most identities that are issued and not expired. Bounds the memory that remembers refusals (one bit each).
constexpr std::uint64_t maximumOpenIdentities = std::uint64_t { 4 } * 1024 * 1024;

/// Sequence numbers [first, first + count).
struct IssuedRange {
    std::uint64_t first = 0;
    std::uint64_t count = 0;
};

/// Issues sequence numbers and lets them expire. Issue times are kept per second, so an identity lives up to one
/// second longer than its lifetime and memory is bounded by the lifetime in seconds.
class IdentityIssuer {
public:
    explicit IdentityIssuer(
        Duration identitiesLifetime = identityLifetime, std::uint64_t mostOpen = maximumOpenIdentities)
        : lifetime(identitiesLifetime)
        , openLimit(mostOpen)
    {
    }

    /// Issues \a count identities, or none when that would exceed the limit of open identities.
    std::optional<IssuedRange> issue(std::uint64_t count, TimePoint now);

    /// Raises the floor over all identities whose lifetime has ended. The floor never falls, also when \a now is
    /// older than in an earlier call.
    void expire(TimePoint now);

    std::uint64_t floor() const { return this->lowest; } ///< Lowest sequence that has not expired.
    std::uint64_t next() const { return this->following; } ///< Lowest sequence that has not been issued.

private:
    struct Batch {
        TimePoint started; ///< Issue time of the first identity of the batch.
        TimePoint newest; ///< Issue time of the last one.
        std::uint64_t end = 0; ///< One past its last sequence.
    };

    Duration lifetime;
    std::uint64_t openLimit;
    std::uint64_t lowest = 1;
    std::uint64_t following = 1;
    std::deque<Batch> batches;
};

} // namespace clementinefall::requests
