#include "requests/upstreamattempt.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace clementinefall::requests {

UpstreamAttempt::UpstreamAttempt(ConnectionPool& connectionPool, HostPort target, TimePoint attemptDeadline)
    : pool(connectionPool)
    , address(std::move(target))
    , deadline(attemptDeadline)
{
}

UpstreamAttempt::~UpstreamAttempt()
{
    if (this->lease.connection)
        this->pool.release(std::move(this->lease), Clock::now());
}

void UpstreamAttempt::cancel()
{
    this->isCancelled = true;
    if (this->lease.connection)
        this->lease.connection->close();
}

AttemptEnd UpstreamAttempt::attemptEndFor(const Error& error) const
{
    if (this->isCancelled)
        return this->isConnected && this->lease.connection->hasSentBytes() ? AttemptEnd::CancelledSent
                                                                           : AttemptEnd::CancelledUnsent;
    if (error.code == ResultCode::NotRunConnectRefused)
        return AttemptEnd::ConnectRefused;
    if (!this->isConnected || !this->lease.connection->hasSentBytes())
        return AttemptEnd::NothingWritten;
    switch (error.code) {
    case ResultCode::UnknownTimeout:
        return AttemptEnd::TimedOut;
    case ResultCode::UnknownAnswerCut:
        return AttemptEnd::ResponseTruncated;
    case ResultCode::UnknownAnswerInvalid:
        return AttemptEnd::ResponseInvalid;
    default:
        return AttemptEnd::LostAfterWrite;
    }
}

Awaitable<AttemptEnd> UpstreamAttempt::run(http::RequestHeader header, RequestBody& body)
{
    this->lease = this->pool.take(this->address, Clock::now());
    const auto connection = this->lease.connection;
    if (this->lease.isNew) {
        const Status status = co_await this->connect();
        if (!isOk(status))
            co_return this->attemptEndFor(errorOf(status));
    }
    this->isConnected = true;
    const Status sent = co_await this->send(std::move(header), body);
    if (!isOk(sent) && !this->hasEarlyResponse)
        co_return this->attemptEndFor(errorOf(sent));
    TimePoint headerDeadline = this->deadline;
    if (this->firstByteLimit && !this->lease.isNew)
        headerDeadline = std::min(headerDeadline, Clock::now() + *this->firstByteLimit);
    Result<http::ResponseHeader> head = co_await connection->receiveHeader(headerDeadline);
    if (!isOk(head)) {
        if (errorOf(head).code == ResultCode::UnknownTimeout)
            this->connectionsSuspected
                = this->pool.recordExchangeTimeout(this->lease, connection->hasReceivedBytes(), Clock::now());
        co_return this->attemptEndFor(errorOf(head));
    }
    this->received.header = std::move(valueOf(head));
    this->received.totalBytes = connection->responseBodyBytes();
    std::string piece(http::relayBufferBytes, '\0');
    while (this->received.body.size() < http::relayBufferBytes) {
        const asio::mutable_buffer target = asio::buffer(piece);
        const Result<std::size_t> bytes = co_await connection->receiveBody(target, this->deadline);
        if (!isOk(bytes))
            co_return this->attemptEndFor(errorOf(bytes));
        if (valueOf(bytes) == 0) {
            this->received.isBodyComplete = true;
            this->received.totalBytes = this->received.body.size();
            break;
        }
        this->received.body.append(piece, 0, valueOf(bytes));
    }
    co_return AttemptEnd::Answered;
}

Awaitable<Status> UpstreamAttempt::connect()
{
    const auto connection = this->lease.connection;
    while (this->isConnectionRateLimited && !this->isCancelled) {
        const auto delayedUntil = this->pool.reserveNewConnection(this->address, Clock::now());
        if (!delayedUntil)
            break;
        if (*delayedUntil >= this->deadline)
            co_return makeError(ResultCode::NotRunDeadline,
                "{}: the connection rate limit allows no new connection before the deadline", this->address.text());
        asio::steady_timer timer(co_await asio::this_coro::executor, *delayedUntil);
        co_await timer.async_wait(useTuple);
    }
    if (this->isCancelled)
        co_return makeError(
            ResultCode::NotRunCancelled, "{}: the attempt was cancelled before connecting", this->address.text());
    const HostPort target = this->address;
    co_return co_await connection->connect(target, this->deadline);
}

Awaitable<Status> UpstreamAttempt::send(http::RequestHeader header, RequestBody& body)
{
    const auto connection = this->lease.connection;
    Status sent = co_await connection->sendHeader(std::move(header), body.totalBytes, this->deadline);
    if (isOk(sent) && !body.prefix.empty())
        sent = co_await connection->sendBody(body.prefix, this->deadline);
    if (!isOk(sent))
        co_return sent;
    if (!body.isComplete) {
        std::string piece(http::relayBufferBytes, '\0');
        std::uint64_t sentBytes = body.prefix.size();
        while (true) {
            // A server that responds before the end of the body has rejected the request, so the rest is not sent.
            if (connection->hasPendingInput()) {
                this->hasEarlyResponse = true;
                co_return okStatus();
            }
            const asio::mutable_buffer target = asio::buffer(piece);
            body.isRestConsumed = true;
            const Result<std::size_t> bytes = co_await body.rest->receiveBody(target);
            if (!isOk(bytes)) {
                // The sender aborted the request. Closing the connection ensures that the server never receives it
                // whole.
                connection->close();
                co_return errorOf(bytes);
            }
            if (valueOf(bytes) == 0)
                break;
            sentBytes += valueOf(bytes);
            if (sentBytes > body.maximumBytes) {
                connection->close();
                co_return makeError(
                    ResultCode::BodyTooLarge, "the request body exceeds the limit of {} bytes", body.maximumBytes);
            }
            sent = co_await connection->sendBody(std::string_view(piece).substr(0, valueOf(bytes)), this->deadline);
            if (!isOk(sent))
                co_return sent;
        }
    }
    if (!body.totalBytes || *body.totalBytes > 0)
        sent = co_await connection->endBody(this->deadline);
    co_return sent;
}

Awaitable<Result<std::size_t>> UpstreamAttempt::receiveMore(asio::mutable_buffer buffer)
{
    return this->lease.connection->receiveBody(buffer, this->deadline);
}

} // namespace clementinefall::requests
