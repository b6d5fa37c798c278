#pragma once

#include "base/hash.h"
#include "requests/identity.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace clementinefall::requests {

/// Final result of one execution, as sent to every copy of the request. Its code never changes after it is stored.
/// Headers and body are kept for responses of a backend server only.
struct StoredResult {
    ResultCode code = ResultCode::UnknownNotDecided;
    unsigned httpStatus = 0; ///< Of the backend server; 0 without a response.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isBodyKept = true; ///< False when the body exceeded the limit or was evicted.
};

using StoredResultPtr = std::shared_ptr<const StoredResult>;

/// Called with the result of the first copy. The owner of the table calls it without holding the table's mutex.
using Waiter = std::function<void(const StoredResultPtr&)>;

/// First copy. The request must now be dispatched, and finish() then called exactly once.
struct NewExecution { };

/// Another copy is being executed; the waiter is registered under `waiterId`.
struct PendingExecution {
    std::uint64_t waiterId = 0;
};

/// The request has a final result.
struct FinishedExecution {
    StoredResultPtr result;
};

/// The identity was used before for another request. Nothing is run.
struct RequestMismatch { };

/// The identity is older than its lifetime. Nothing is run now, but an earlier copy may have run.
struct ExpiredIdentity { };

/// The sequence has not been issued. Nothing is run now, but the sequence may be issued and run later.
struct UnissuedSequence { };

/// No record is free. The identity is rejected permanently: every later copy gets TableFull too.
struct TableFull { };

/// Too many copies wait for the same result. Nothing is run for this copy.
struct TooManyWaiters { };

using BeginResult = std::variant<NewExecution, PendingExecution, FinishedExecution, RequestMismatch, ExpiredIdentity,
    UnissuedSequence, TableFull, TooManyWaiters>;

struct ExecutionLimits {
    std::size_t records = 65536;
    std::size_t keptBytes
        = std::size_t { 24 } * 1024 * 1024; ///< Memory of all kept headers and bodies, overhead included.
    std::size_t bodyBytes = std::size_t { 64 } * 1024; ///< Bytes of headers and body of one result.
    std::size_t waitersPerRecord = 16;
};

/// Result that the record holds after finish(), and the waiters to call with it.
struct FinishResult {
    StoredResultPtr result;
    std::vector<Waiter> waiters;
};

/// Records which issued identities were started and how they ended, so that each runs at most once. Not thread-safe;
/// the owner locks it.
///
/// That a sequence was started is recorded until the sequence expires. When the kept bytes exceed their limit, headers
/// and bodies are evicted, oldest first. When no record is free, the oldest record that ended as not run is reduced to
/// one bit, which still rejects every later copy; so a burst of rejections does not exhaust the records. No other
/// record is evicted before its sequence expires.
class ExecutionTable {
public:
    explicit ExecutionTable(ExecutionLimits tableLimits = {}, IdentityIssuer identityIssuer = IdentityIssuer())
        : limits(tableLimits)
        , issuer(std::move(identityIssuer))
    {
    }

    /// Issues \a count identities, or none when that would exceed the limit of open identities.
    std::optional<IssuedRange> issue(std::uint64_t count, TimePoint now);

    /// Registers the arrival of a copy. \a requestHash covers method, path and body. \a waiter is kept only when the
    /// result is PendingExecution.
    BeginResult begin(std::uint64_t sequence, const Hash128& requestHash, TimePoint now, Waiter waiter = {});

    /// Stores the final result of a started sequence. A sequence that already has a final result keeps it, and that
    /// result is returned. The returned `result` is empty when there is no record.
    FinishResult finish(std::uint64_t sequence, StoredResult result, TimePoint now);

    /// Removes a waiter whose caller has disconnected. Returns false when the waiter is no longer registered.
    bool removeWaiter(std::uint64_t sequence, std::uint64_t waiterId);

    /// Discards the records of expired sequences. Records of running requests stay until these finish.
    void expire(TimePoint now);

    std::uint64_t floor() const { return this->issuer.floor(); }
    std::uint64_t nextSequence() const { return this->issuer.next(); }
    std::size_t recordCount() const { return this->records.size(); }
    std::size_t runningCount() const { return this->running; }
    std::size_t keptBytes() const { return this->kept; }

    /// Estimate of all memory in use, in bytes.
    std::size_t memoryBytes() const;

private:
    struct WaitingCopy {
        std::uint64_t waiterId = 0;
        Waiter waiter;
    };
    struct Record {
        Hash128 requestHash;
        StoredResultPtr result; ///< Empty while running.
        std::vector<WaitingCopy> waiting;
    };
    using Records = std::unordered_map<std::uint64_t, Record>;

    bool isRejected(std::uint64_t sequence) const;
    void markRejected(std::uint64_t sequence);
    StoredResultPtr withoutResponse(const StoredResult& result);
    bool releaseNotRunRecord();
    void discardRecordsBelow(std::uint64_t floor);
    void keepBytes(std::uint64_t sequence, std::size_t bytes);
    void evictOldestBytes();

    ExecutionLimits limits;
    IdentityIssuer issuer;
    Records records;
    std::size_t running = 0;
    std::size_t kept = 0;
    std::uint64_t lastWaiterId = 0;
    std::uint64_t discardedBelow = 1; ///< All finished records below it are discarded.
    std::deque<std::uint64_t> notRunOrder; ///< Sequences with a not-run record, oldest result first.
    std::deque<std::pair<std::uint64_t, std::size_t>> keptOrder; ///< Sequence and kept bytes, oldest result first.
    /// Shared results by code and status, since most records without a kept response are equal.
    std::map<std::pair<ResultCode, unsigned>, StoredResultPtr> resultsWithoutResponse;
    std::deque<std::uint64_t> rejectedBits; ///< One bit for each sequence from rejectedBase on.
    std::uint64_t rejectedBase = 0; ///< Multiple of 64.
};

} // namespace clementinefall::requests
