#pragma once

#include "forwarding/forwarder.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <memory>

namespace clementinefall::forwarding {

/// Memory for the bodies that are held while their requests are on the way.
class BodyMemory {
public:
    explicit BodyMemory(std::uint64_t limitBytes)
        : limit(limitBytes)
    {
    }

    bool take(std::uint64_t bytes)
    {
        if (this->used + bytes > this->limit)
            return false;
        this->used += bytes;
        return true;
    }
    void giveBack(std::uint64_t bytes) { this->used -= bytes; }

private:
    std::uint64_t limit;
    std::uint64_t used = 0;
};

/// What all callers' connections share.
struct SessionContext {
    std::shared_ptr<Forwarder> forwarder;
    WireNames names;
    BodyMemory bodies { 64ULL * 1024 * 1024 };
    bool isStopping = false; ///< Answers close their connections.
    bool refusesNew = false; ///< Requests that arrive now are refused as not run.
    std::size_t inProgress = 0; ///< Requests that were read and are not answered.
};

/// One connection of a caller. Requests that were sent one after another without waiting run at the same time when they
/// may be repeated; answers keep the order of the requests.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(asio::ip::tcp::socket callerSocket, std::shared_ptr<SessionContext> sessionContext);

    Awaitable<void> run();

    bool isIdle() const { return this->queue.empty() && this->buffer.size() == 0 && !this->isReading; }
    void close();

private:
    class Sink;
    struct Entry;

    using Parser = beast::http::request_parser<beast::http::string_body>;

    Awaitable<bool> receive();
    /// Errors: BodyTooLarge, NotRunBodyLimit, SlowSender, BadRequest; UnknownCancelled when the caller has left.
    Awaitable<Status> receiveBody(Parser& parser, std::shared_ptr<Entry> entry, std::uint64_t limitBytes);
    Awaitable<void> serve(std::shared_ptr<Entry> entry);
    Awaitable<bool> awaitTurn(std::shared_ptr<Entry> entry);
    Awaitable<bool> send(const CallerAnswer& answer, bool isHead);
    /// Answers a request that was not read whole and ends the connection. \a request is null when not even its header
    /// was understood. Both stay valid until the call has ended.
    Awaitable<void> reject(const Error& error, std::shared_ptr<const ForwardedRequest> request);
    Awaitable<void> discardInput();
    void finishEntry(const std::shared_ptr<Entry>& entry);
    void abandon();
    void arm(TimePoint deadline);
    void armForIdle();
    CallerLimits limits() const;

    asio::ip::tcp::socket socket;
    asio::steady_timer watchdog;
    asio::steady_timer writeWatchdog;
    asio::steady_timer roomSignal;
    std::shared_ptr<SessionContext> context;
    beast::flat_buffer buffer;
    std::deque<std::shared_ptr<Entry>> queue; ///< Requests in order; the first one may answer.
    bool isReading = false; ///< Part of a request has arrived.
    bool isClosed = false;
    bool isLast = false; ///< The last answer says that the connection closes.
};

} // namespace clementinefall::forwarding
