#include "requests/executiontable.h"

#include <utility>

namespace clementinefall::requests {

namespace {

constexpr std::uint64_t bitsPerWord = 64;

/// Overhead of one block of the allocator.
constexpr std::size_t blockOverhead = 2 * sizeof(void*);

/// Memory of a stored response in addition to its text: the result with its control block, the entry of `keptOrder`,
/// and the overhead of three blocks.
constexpr std::size_t responseOverhead
    = sizeof(StoredResult) + 2 * sizeof(void*) + sizeof(std::pair<std::uint64_t, std::size_t>) + 3 * blockOverhead;

/// Memory of one header in addition to its text: the pair, and the overhead of two long strings.
constexpr std::size_t headerOverhead = sizeof(std::pair<std::string, std::string>) + 2 * blockOverhead;

/// Bytes of headers and body.
std::size_t responseBytes(const StoredResult& result)
{
    std::size_t bytes = result.body.size();
    for (const auto& [name, value] : result.headers)
        bytes += name.size() + value.size();
    return bytes;
}

} // namespace

std::optional<IssuedRange> ExecutionTable::issue(std::uint64_t count, TimePoint now)
{
    return this->issuer.issue(count, now);
}

BeginResult ExecutionTable::begin(std::uint64_t sequence, const Hash128& requestHash, TimePoint now, Waiter waiter)
{
    this->expire(now);
    if (sequence < this->issuer.floor())
        return ExpiredIdentity {};
    if (sequence >= this->issuer.next())
        return UnissuedSequence {};

    const auto found = this->records.find(sequence);
    if (found != this->records.end()) {
        Record& record = found->second;
        if (!(record.requestHash == requestHash))
            return RequestMismatch {};
        if (record.result)
            return FinishedExecution { record.result };
        if (record.waiting.size() >= this->limits.waitersPerRecord)
            return TooManyWaiters {};
        record.waiting.push_back({ ++this->lastWaiterId, std::move(waiter) });
        return PendingExecution { this->lastWaiterId };
    }

    if (this->isRejected(sequence))
        return TableFull {};
    if (this->records.size() >= this->limits.records && !this->releaseNotRunRecord()) {
        // Without this mark, a later copy could be started after this one was reported as not run.
        this->markRejected(sequence);
        return TableFull {};
    }
    this->records.emplace(sequence, Record { requestHash, {}, {} });
    ++this->running;
    return NewExecution {};
}

FinishResult ExecutionTable::finish(std::uint64_t sequence, StoredResult result, TimePoint now)
{
    const auto found = this->records.find(sequence);
    if (found == this->records.end())
        return {};
    Record& record = found->second;
    if (record.result)
        return { record.result, {} };

    const bool isAnswered = outcomeOf(result.code) == Outcome::Answered;
    const std::size_t bytes = responseBytes(result);
    const bool isKept = isAnswered && result.isBodyKept && bytes <= this->limits.bodyBytes;
    record.result = isKept ? std::make_shared<const StoredResult>(std::move(result)) : this->withoutResponse(result);
    --this->running;

    FinishResult finished { record.result, {} };
    for (WaitingCopy& copy : record.waiting) {
        if (copy.waiter)
            finished.waiters.push_back(std::move(copy.waiter));
    }
    record.waiting = {};

    if (sequence < this->issuer.floor())
        this->records.erase(found);
    else if (outcomeOf(finished.result->code) == Outcome::NotRun)
        this->notRunOrder.push_back(sequence);
    else if (isKept)
        this->keepBytes(sequence, bytes + responseOverhead + finished.result->headers.size() * headerOverhead);
    this->expire(now);
    return finished;
}

bool ExecutionTable::removeWaiter(std::uint64_t sequence, std::uint64_t waiterId)
{
    const auto found = this->records.find(sequence);
    if (found == this->records.end())
        return false;
    return std::erase_if(found->second.waiting, [waiterId](const WaitingCopy& copy) {
        return copy.waiterId == waiterId;
    }) > 0;
}

void ExecutionTable::expire(TimePoint now)
{
    this->issuer.expire(now);
    const std::uint64_t floor = this->issuer.floor();
    if (this->discardedBelow == floor)
        return;

    this->discardRecordsBelow(floor);
    std::erase_if(this->notRunOrder, [floor](std::uint64_t sequence) { return sequence < floor; });
    std::erase_if(this->keptOrder, [this, floor](const auto& entry) {
        if (entry.first >= floor)
            return false;
        this->kept -= entry.second;
        return true;
    });
    while (!this->rejectedBits.empty() && this->rejectedBase + bitsPerWord <= floor) {
        this->rejectedBits.pop_front();
        this->rejectedBase += bitsPerWord;
    }
    this->discardedBelow = floor;
}

std::size_t ExecutionTable::memoryBytes() const
{
    // A map node holds the entry, a link and the allocator's overhead.
    constexpr std::size_t nodeBytes = sizeof(Records::value_type) + 2 * sizeof(void*);
    return this->records.size() * nodeBytes + this->records.bucket_count() * sizeof(void*) + this->kept
        + (this->notRunOrder.size() + this->rejectedBits.size()) * sizeof(std::uint64_t);
}

bool ExecutionTable::isRejected(std::uint64_t sequence) const
{
    if (sequence < this->rejectedBase)
        return false;
    const std::uint64_t offset = sequence - this->rejectedBase;
    if (offset / bitsPerWord >= this->rejectedBits.size())
        return false;
    return ((this->rejectedBits[offset / bitsPerWord] >> (offset % bitsPerWord)) & 1U) != 0;
}

void ExecutionTable::markRejected(std::uint64_t sequence)
{
    if (this->rejectedBits.empty())
        this->rejectedBase = this->issuer.floor() / bitsPerWord * bitsPerWord;
    const std::uint64_t offset = sequence - this->rejectedBase;
    if (offset / bitsPerWord >= this->rejectedBits.size())
        this->rejectedBits.resize(offset / bitsPerWord + 1, 0);
    this->rejectedBits[offset / bitsPerWord] |= std::uint64_t { 1 } << (offset % bitsPerWord);
}

StoredResultPtr ExecutionTable::withoutResponse(const StoredResult& result)
{
    StoredResultPtr& shared = this->resultsWithoutResponse[{ result.code, result.httpStatus }];
    if (!shared) {
        StoredResult reduced;
        reduced.code = result.code;
        reduced.httpStatus = result.httpStatus;
        reduced.isBodyKept = outcomeOf(result.code) != Outcome::Answered;
        shared = std::make_shared<const StoredResult>(std::move(reduced));
    }
    return shared;
}

bool ExecutionTable::releaseNotRunRecord()
{
    if (this->notRunOrder.empty())
        return false;
    const std::uint64_t sequence = this->notRunOrder.front();
    this->notRunOrder.pop_front();
    this->markRejected(sequence);
    this->records.erase(sequence);
    return true;
}

void ExecutionTable::discardRecordsBelow(std::uint64_t floor)
{
    const auto isDiscarded
        = [floor](const Records::value_type& entry) { return entry.first < floor && entry.second.result; };
    // A full scan is cheaper only when at least as many sequences expire at once as there are records. Usually far
    // fewer do, and are looked up one by one.
    if (floor - this->discardedBelow >= this->records.size()) {
        std::erase_if(this->records, isDiscarded);
        return;
    }
    for (std::uint64_t sequence = this->discardedBelow; sequence < floor; ++sequence) {
        const auto found = this->records.find(sequence);
        if (found != this->records.end() && isDiscarded(*found))
            this->records.erase(found);
    }
}

void ExecutionTable::keepBytes(std::uint64_t sequence, std::size_t bytes)
{
    this->keptOrder.emplace_back(sequence, bytes);
    this->kept += bytes;
    while (this->kept > this->limits.keptBytes)
        this->evictOldestBytes();
}

void ExecutionTable::evictOldestBytes()
{
    const auto [sequence, bytes] = this->keptOrder.front();
    this->keptOrder.pop_front();
    this->kept -= bytes;
    const auto found = this->records.find(sequence);
    if (found != this->records.end())
        found->second.result = this->withoutResponse(*found->second.result);
}

} // namespace clementinefall::requests
