#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace clementinefall::requests {

/// Identity of a non-idempotent request. Only its home, the entry instance \a instance in the incarnation
/// \a incarnation, may start the request.
struct Identity {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Counts from 1.

    friend bool operator==(const Identity&, const Identity&) = default;
};

/// `<instance>.<incarnation, 16 lower-case hex digits>.<sequence, decimal>`.
std::string formatIdentity(const Identity& identity);

/// Parses exactly the texts that formatIdentity() writes; errors are NotRunInvalidIdentity. Each identity has only one
/// valid text, so that copies of a request cannot differ in it.
Result<Identity> parseIdentity(std::string_view text);

/// Time after its issue during which an identity may be started.
constexpr minutes identityLifetime { 15 };

/// Maximum number of identities that are issued and not expired. Bounds the memory for rejected ones (one bit each).
constexpr std::uint64_t maximumOpenIdentities = std::uint64_t { 4 } * 1024 * 1024;

/// Sequence numbers [first, first + count).
struct IssuedRange {
    std::uint64_t first = 0;
    std::uint64_t count = 0;
};

/// Issues sequence numbers and expires them. Issue times are kept in batches of one second, so an identity expires up
/// to one second late and memory is bounded by the lifetime in seconds.
class IdentityIssuer {
public:
    explicit IdentityIssuer(
        Duration issuedLifetime = identityLifetime, std::uint64_t maximumOpen = maximumOpenIdentities)
        : lifetime(issuedLifetime)
        , openLimit(maximumOpen)
    {
    }

    /// Issues \a count identities, or none when that would exceed the limit of open identities.
    std::optional<IssuedRange> issue(std::uint64_t count, TimePoint now);

    /// Raises the floor above all identities whose lifetime has ended. The floor never decreases, even if \a now is
    /// earlier than in a previous call.
    void expire(TimePoint now);

    std::uint64_t floor() const { return this->lowestUnexpired; } ///< Lowest sequence that has not expired.
    std::uint64_t next() const { return this->nextUnissued; } ///< Lowest sequence that has not been issued.

private:
    struct Batch {
        TimePoint started; ///< Issue time of the first identity of the batch.
        TimePoint newest; ///< Issue time of the last one.
        std::uint64_t end = 0; ///< One past its last sequence.
    };

    Duration lifetime;
    std::uint64_t openLimit;
    std::uint64_t lowestUnexpired = 1;
    std::uint64_t nextUnissued = 1;
    std::deque<Batch> batches;
};

} // namespace clementinefall::requests
