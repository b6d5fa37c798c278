#include "forwarding/serverconnection.h"
#include "forwarding/testwirenames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

using namespace clementinefall;
using namespace clementinefall::forwarding;
using asio::ip::tcp;
using requests::AttemptEnd;

namespace {

/// How a server ends its answer, which it sends as soon as it has the head of a request.
enum class AnswerEnd : std::uint8_t {
    Reset, ///< Resets the connection.
    Finish, ///< Ends its direction of the connection in order.
    FinishAndReset, ///< Ends its direction in order, and resets the connection after a further pause.
};

struct EarlyAnswer {
    std::string head;
    std::size_t bodyBytes = 0;
    bool readsRequest = true; ///< Goes on reading the request.
    Duration pause {}; ///< Before the end.
    AnswerEnd end = AnswerEnd::Reset;
};

std::string bodyOf(std::size_t bytes) { return std::string(bytes, 'b'); }

/// A backend server that answers before it has the request.
class EarlyServer : public std::enable_shared_from_this<EarlyServer> {
public:
    EarlyServer(asio::io_context& context, EarlyAnswer earlyAnswer)
        : acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , socket(context)
        , timer(context)
        , answer(std::move(earlyAnswer))
    {
    }

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    void start()
    {
        this->acceptor.async_accept(this->socket, [self = this->shared_from_this()](beast::error_code error) {
            if (!error)
                self->readHead();
        });
    }

    void stop()
    {
        beast::error_code ignored;
        this->acceptor.close(ignored);
        this->socket.close(ignored);
        this->timer.cancel();
    }

    bool hasEnded = false; ///< The fault has happened.

private:
    void readHead()
    {
        asio::async_read_until(this->socket, asio::dynamic_buffer(this->input), "\r\n\r\n",
            [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                if (error)
                    return;
                if (self->answer.readsRequest)
                    self->readOn();
                self->sendAnswer();
            });
    }

    void readOn()
    {
        this->socket.async_read_some(
            asio::buffer(this->scratch), [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                if (!error)
                    self->readOn();
            });
    }

    void sendAnswer()
    {
        this->output = this->answer.head + bodyOf(this->answer.bodyBytes);
        asio::async_write(this->socket, asio::buffer(this->output),
            [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                if (!error)
                    self->endAfterPause(self->answer.end);
            });
    }

    void endAfterPause(AnswerEnd end)
    {
        this->timer.expires_after(this->answer.pause);
        this->timer.async_wait([self = this->shared_from_this(), end](beast::error_code error) {
            if (error)
                return;
            beast::error_code failure;
            if (end == AnswerEnd::Reset) {
                self->socket.set_option(asio::socket_base::linger(true, 0), failure);
                self->socket.close(failure);
            } else {
                self->socket.shutdown(tcp::socket::shutdown_send, failure);
                if (end == AnswerEnd::FinishAndReset)
                    self->endAfterPause(AnswerEnd::Reset);
            }
            self->hasEnded = !failure;
        });
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
    asio::steady_timer timer;
    EarlyAnswer answer;
    std::string input;
    std::string output;
    std::array<char, 65536> scratch {};
};

/// A caller that takes some time for each part of a response.
class SlowSink : public ResponseSink {
public:
    explicit SlowSink(asio::io_context& context)
        : timer(context)
    {
    }

    Awaitable<bool> begin(const CallerResponse&, std::optional<std::size_t>) override { return this->pass({}); }
    Awaitable<bool> write(std::string_view chunk) override { return this->pass(chunk); }
    bool canPassOn() const override { return true; }

    Duration pause {};
    std::string received;

private:
    Awaitable<bool> pass(std::string_view chunk)
    {
        this->received += chunk;
        this->timer.expires_after(this->pause);
        co_await this->timer.async_wait(useTuple);
        co_return true;
    }

    asio::steady_timer timer;
};

/// One upload to an EarlyServer.
class Upload {
public:
    explicit Upload(EarlyAnswer answer, std::size_t bodyBytes = 6'000'000)
        : server(std::make_shared<EarlyServer>(this->context, std::move(answer)))
        , sink(this->context)
    {
        this->request->id = "r1";
        this->request->method = "POST";
        this->request->target = "/once/1";
        this->request->host = "shop.example";
        this->request->body.assign(bodyBytes, 'u');
        this->server->start();
    }

    ServerResponse run()
    {
        auto endpoint = std::make_shared<BackendServer>();
        endpoint->entry.id = "s1";
        endpoint->entry.address = { "127.0.0.1", this->server->port() };
        this->connection = std::make_shared<ServerConnection>(this->context.get_executor(), endpoint);
        auto future = asio::co_spawn(this->context, this->exchange(), asio::use_future);
        const TimePoint limit = Clock::now() + seconds(10);
        while (future.wait_for(seconds(0)) != std::future_status::ready && Clock::now() < limit)
            this->context.run_one_for(milliseconds(50));
        REQUIRE(future.wait_for(seconds(0)) == std::future_status::ready);
        ServerResponse response = future.get();
        while (!this->server->hasEnded && Clock::now() < limit)
            this->context.run_one_for(milliseconds(50));
        REQUIRE(this->server->hasEnded);
        this->isReusable = this->connection->isReusable();
        this->connection->close();
        this->server->stop();
        this->context.restart();
        this->context.run_for(milliseconds(20));
        return response;
    }

    asio::io_context context { 1 };
    std::shared_ptr<EarlyServer> server;
    SlowSink sink;
    bool isReusable = false; ///< Of the connection after the exchange.

private:
    Awaitable<ServerResponse> exchange()
    {
        REQUIRE(co_await this->connection->connect(seconds(1)));
        const WireNames names = testWireNames();
        std::string head = encodeRequestHead(*this->request, names, "s1", seconds(5));
        const auto memory = std::make_shared<MessageMemory>(this->budget->open([] {}));
        const ExchangeTerms terms { .deadline = Clock::now() + seconds(5) };
        co_return co_await this->connection->exchange(this->request, std::move(head), names, terms, this->sink, memory);
    }

    std::shared_ptr<ForwardedRequest> request = std::make_shared<ForwardedRequest>();
    std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(100'000'000);
    std::shared_ptr<ServerConnection> connection;
};

const std::string headWithoutLength = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n\r\n";

} // namespace

TEST_CASE("A server that answers an upload before it has it, without a length")
{
    // Guards against a part of an answer that reaches the caller as a whole one: a reset is reported once, to the write
    // of the request or to the read of the answer, whichever comes first.
    SECTION("and resets the connection has given no whole answer, whatever has arrived")
    {
        unsigned plays = 0;
        for (const bool readsRequest : { true, false }) {
            for (const std::size_t bodyBytes : { 0UL, 1UL, 100UL, 5'000UL, 60'000UL, 250'000UL }) {
                for (const int pauseMs : { 0, 1, 5, 20 }) {
                    Upload upload({ .head = headWithoutLength,
                        .bodyBytes = bodyBytes,
                        .readsRequest = readsRequest,
                        .pause = milliseconds(pauseMs) });
                    const ServerResponse response = upload.run();
                    INFO(bodyBytes << " bytes, " << pauseMs << " ms, reads on " << readsRequest);
                    CHECK(response.end != AttemptEnd::Answered);
                    CHECK(response.end != AttemptEnd::ShedByServer);
                    CHECK_FALSE(upload.isReusable);
                    ++plays;
                }
            }
        }
        CHECK(plays == 48);
    }

    SECTION("and resets the connection while the answer is passed on has given no whole answer")
    {
        for (const bool readsRequest : { true, false }) {
            Upload upload({ .head = headWithoutLength,
                .bodyBytes = 300'000,
                .readsRequest = readsRequest,
                .pause = milliseconds(5) });
            upload.sink.pause = milliseconds(20);
            const ServerResponse response = upload.run();
            INFO("reads on " << readsRequest);
            CHECK(response.wasStreamed);
            CHECK(response.end == AttemptEnd::ResponseTruncated);
            CHECK(response.isCutOff);
        }
    }

    SECTION("of a size that goes with the head, and resets the connection has given no whole answer")
    {
        for (const std::size_t bodyBytes : { 0UL, 100UL, 60'000UL }) {
            Upload upload({ .head = headWithoutLength, .bodyBytes = bodyBytes, .pause = milliseconds(5) }, 10'000);
            CHECK(upload.run().end == AttemptEnd::ResponseTruncated);
        }
    }

    SECTION("and ends it in order has given a whole answer, whether it reads on or not")
    {
        for (const bool readsRequest : { true, false }) {
            for (const std::size_t bodyBytes : { 0UL, 100UL, 60'000UL, 250'000UL }) {
                Upload upload({ .head = headWithoutLength,
                    .bodyBytes = bodyBytes,
                    .readsRequest = readsRequest,
                    .pause = milliseconds(5),
                    .end = AnswerEnd::Finish });
                const ServerResponse response = upload.run();
                INFO(bodyBytes << " bytes, reads on " << readsRequest);
                CHECK(response.end == AttemptEnd::Answered);
                CHECK(response.message.body == bodyOf(bodyBytes));
                CHECK_FALSE(upload.isReusable);
            }
        }
    }

    SECTION("and ends it in order while the answer is passed on has given a whole answer")
    {
        Upload upload({ .head = headWithoutLength,
            .bodyBytes = 300'000,
            .readsRequest = false,
            .pause = milliseconds(5),
            .end = AnswerEnd::Finish });
        upload.sink.pause = milliseconds(20);
        CHECK(upload.run().end == AttemptEnd::Answered);
        CHECK(upload.sink.received == bodyOf(300'000));
    }

    SECTION("and ends it in order before it resets the connection has given a whole answer or none")
    {
        for (const bool readsRequest : { true, false }) {
            for (const int pauseMs : { 0, 1, 5, 20 }) {
                Upload upload({ .head = headWithoutLength,
                    .bodyBytes = 5'000,
                    .readsRequest = readsRequest,
                    .pause = milliseconds(pauseMs),
                    .end = AnswerEnd::FinishAndReset });
                const ServerResponse response = upload.run();
                INFO(pauseMs << " ms, reads on " << readsRequest);
                if (response.end == AttemptEnd::Answered)
                    CHECK(response.message.body == bodyOf(5'000));
                else
                    CHECK(response.end == AttemptEnd::ResponseTruncated);
            }
        }
    }
}

TEST_CASE("A server that answers an upload before it has it, with a length, and resets the connection")
{
    SECTION("has given a whole answer when all of it has arrived")
    {
        for (const std::string& framing : { std::string("Content-Length: 5000\r\n\r\n") + bodyOf(5000),
                 "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + bodyOf(5000) + "\r\n0\r\n\r\n" }) {
            Upload upload(
                { .head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n" + framing, .pause = milliseconds(50) });
            const ServerResponse response = upload.run();
            INFO(framing.substr(0, 20));
            CHECK(response.end == AttemptEnd::Answered);
            CHECK(response.message.body == bodyOf(5000));
            CHECK_FALSE(upload.isReusable);
        }
    }

    SECTION("has given none when a part is missing")
    {
        for (const std::string& framing : { std::string("Content-Length: 5001\r\n\r\n") + bodyOf(5000),
                 "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + bodyOf(5000) + "\r\n" }) {
            Upload upload(
                { .head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n" + framing, .pause = milliseconds(50) });
            INFO(framing.substr(0, 20));
            CHECK(upload.run().end == AttemptEnd::ResponseTruncated);
        }
    }
}

TEST_CASE("A head with a field that none can have")
{
    // Guards against bytes of a server in trouble that reach the caller as a field, or that hide one that says where
    // the body ends.
    const std::string start = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n";
    const auto endOf = [&start](const std::string& fields) {
        Upload upload({ .head = start + fields + "Content-Length: 4\r\n\r\nbody", .end = AnswerEnd::Finish }, 0);
        return upload.run().end;
    };
    constexpr std::string_view tokenCharacters
        = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"; // RFC 9110 section 5.6.2.

    SECTION("as it holds a byte that no token has is no response, wherever the byte stands")
    {
        unsigned refused = 0;
        for (unsigned byte = 0; byte <= 255; ++byte) {
            const char c = static_cast<char>(byte);
            if (c == ':')
                continue; // Ends the name.
            const bool isToken = tokenCharacters.find(c) != std::string_view::npos;
            for (const std::size_t at : { 0UL, 3UL, 6UL }) {
                std::string name = "X-Name";
                name.insert(at, 1, c);
                INFO("byte " << byte << " at " << at);
                const AttemptEnd end = endOf(name + ": value\r\n");
                CHECK(end == (isToken ? AttemptEnd::Answered : AttemptEnd::ResponseInvalid));
                refused += end == AttemptEnd::ResponseInvalid ? 1 : 0;
            }
        }
        CHECK(refused == 3 * (255 - tokenCharacters.size()));
    }

    SECTION("as it is empty or a blank stands before the colon is no response")
    {
        for (const std::string fields : { ": value\r\n", "X-Name : value\r\n", "X-Name\t: value\r\n",
                 "Content-Length : 1\r\n", "Transfer-Encoding : chunked\r\n", "X-Name\r\n" }) {
            INFO(fields);
            CHECK(endOf(fields) == AttemptEnd::ResponseInvalid);
        }
    }

    SECTION("as it goes on with the field before it, RFC 9112 section 5.2, is no response")
    {
        for (const std::string fields : { " Content-Length: 1\r\n", "\tContent-Length: 1\r\n", " X-Name: value\r\n",
                 "X-Name: value\r\n more\r\n", "X-Name:\r\n value\r\n", " \r\n", "X-Name: value\r\n\t\r\n" }) {
            INFO(fields);
            CHECK(endOf(fields) == AttemptEnd::ResponseInvalid);
        }
        for (const std::string head : { "HTTP/1.1 200 OK\r\n X-Id: r1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody",
                 "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n Content-Length: 4\r\n\r\nbody",
                 "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n\tTransfer-Encoding: "
                 "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                 "HTTP/1.1 100 Continue\r\nX-Name: a\r\n b\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n"
                 "Content-Length: 4\r\n\r\nbody",
                 "HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Not-Run: 1\r\n X-Name: a\r\nContent-Length: 0\r\n\r\n" }) {
            INFO(head);
            Upload upload({ .head = head, .end = AnswerEnd::Finish }, 0);
            CHECK(upload.run().end == AttemptEnd::ResponseInvalid);
        }
    }

    SECTION("or that takes its id or its seal for fields of the connection is no response")
    {
        for (const std::string option : { "X-Seal", "x-seal", "X-Id", "keep-alive, X-Seal" }) {
            INFO(option);
            CHECK(endOf("Connection: " + option + "\r\n") == AttemptEnd::ResponseInvalid);
        }
        CHECK(endOf("Connection: X-Other\r\n") == AttemptEnd::Answered);
    }

    SECTION("or with a value that holds a control byte is no response")
    {
        for (unsigned byte = 0; byte <= 127; ++byte) {
            const bool isControl = (byte < 0x20 && byte != '\t') || byte == 0x7f;
            if (!isControl)
                continue;
            INFO("byte " << byte);
            CHECK(
                endOf("X-Name: a" + std::string(1, static_cast<char>(byte)) + "b\r\n") == AttemptEnd::ResponseInvalid);
        }
    }
}

TEST_CASE("A status that is none")
{
    SECTION("is no response, with a reason or without, also before another head")
    {
        const std::string fields = "\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\n";
        for (const std::string status :
            { "000 OK", "000 ", "000", "0 OK", "00 OK", "0", "099 OK", "600 OK", "999 OK" }) {
            const std::string rest = fields + "body";
            for (const std::string& answer : { fmt::format("HTTP/1.1 {}{}", status, rest),
                     fmt::format("HTTP/1.1 {}\r\n\r\nHTTP/1.1 200 OK{}", status, rest) }) {
                INFO(answer);
                Upload upload({ .head = answer, .end = AnswerEnd::Finish }, 0);
                CHECK(upload.run().end == AttemptEnd::ResponseInvalid);
            }
        }
    }
}
