#pragma once

#include "forwarding/forwardedrequest.h"
#include "forwarding/servercatalog.h"
#include "http/awaitable.h"
#include "requests/retrybudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace clementinefall::forwarding {

/// How one send to a backend server ended, and its answer if there is one.
struct ServerAnswer {
    requests::AttemptEnd end = requests::AttemptEnd::NothingWritten;
    CallerAnswer answer; ///< Valid with Answered and ShedByServer.
    bool isMisdirected = false; ///< Another server has the address now.
    bool isSealed = false;
    bool wasStreamed = false; ///< The answer, or its first part, was already passed on.
    bool closedByServer = false; ///< The connection broke while the request was with the server.
    std::optional<LoadReport> load;
    std::string detail; ///< Reason of a failure, for the log.
};

/// Takes the pieces of an answer that is too long to be held whole.
class AnswerSink {
public:
    virtual ~AnswerSink() = default;
    /// Starts the answer; nothing in \a length means that it is not known. False when the caller has left.
    virtual Awaitable<bool> begin(const CallerAnswer& head, std::optional<std::size_t> length) = 0;
    virtual Awaitable<bool> write(std::string_view piece) = 0;
};

/// One connection to a backend server, with one request at a time. After a request that did not end cleanly the
/// connection is closed, so that a late answer can never meet a later request. All calls on the executor's thread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    /// Answers up to this size are held whole before they are passed on, so that one that breaks off can be replaced.
    static constexpr std::size_t heldAnswerBytes = 256UL * 1024;

    ServerConnection(const asio::any_io_executor& executor, ServerPointer connectionServer);

    Awaitable<bool> connect(Duration timeout);

    /// Sends a request and receives its answer, until \a deadline. Answers to other requests are dropped.
    Awaitable<ServerAnswer> exchange(std::shared_ptr<const ForwardedRequest> request, std::string head,
        const WireNames& names, TimePoint deadline, AnswerSink& sink);

    /// Closes at once; a pending exchange ends.
    void close();

    bool isReusable() const { return this->reusable; }
    /// Whether the server has closed the idle connection or sent bytes that nobody asked for.
    bool hasPendingInput();
    /// Whether an idle connection is old enough that the server may close it at any moment.
    bool isExpired(TimePoint now) const { return now - this->lastUse >= this->idleLimit; }

private:
    struct Reading;

    void arm(TimePoint deadline);
    Awaitable<void> writeBody(std::shared_ptr<const ForwardedRequest> request);
    Awaitable<bool> readAnswer(Reading& reading, AnswerSink& sink);
    void judgeHeader(Reading& reading, const WireNames& names);
    ServerAnswer failure(const Reading& reading, beast::error_code error);

    asio::ip::tcp::socket socket;
    asio::steady_timer watchdog;
    ServerPointer server;
    beast::flat_buffer buffer;
    TimePoint lastUse {};
    Duration idleLimit;
    bool reusable = false;
    bool timedOut = false;
    bool cancelled = false;
    bool written = false; ///< The whole current request has been handed to the socket.
};

} // namespace clementinefall::forwarding
