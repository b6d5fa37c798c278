#include "peers/asiostream.h"

#include <boost/asio/buffer.hpp>
#include <kj/debug.h>

#include <string>

namespace clementinefall::peers {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

class ReadOperation;
class WriteOperation;

kj::Exception disconnectedError(const error_code& error)
{
    return KJ_EXCEPTION(DISCONNECTED, "connection to the peer failed", error.message());
}

bool isRetryable(const error_code& error)
{
    return error == asio::error::would_block || error == asio::error::interrupted;
}

} // namespace

struct AsioStream::State {
    explicit State(asio::ip::tcp::socket streamSocket)
        : socket(std::move(streamSocket))
    {
    }
    asio::ip::tcp::socket socket;
    ReadOperation* reader = nullptr;
    WriteOperation* writer = nullptr;
};

namespace {

/// Pending read of at least \a minimum bytes.
class ReadOperation {
public:
    ReadOperation(kj::PromiseFulfiller<std::size_t>& readFulfiller, std::shared_ptr<AsioStream::State> readState,
        void* buffer, std::size_t minimumBytes, std::size_t maximumBytes)
        : fulfiller(readFulfiller)
        , state(std::move(readState))
        , target(static_cast<char*>(buffer))
        , minimum(minimumBytes)
        , maximum(maximumBytes)
    {
        this->state->reader = this;
        this->continueTransfer();
    }
    ~ReadOperation() { this->state->reader = nullptr; }
    ReadOperation(const ReadOperation&) = delete;
    ReadOperation& operator=(const ReadOperation&) = delete;

    void continueTransfer()
    {
        error_code error;
        while (this->transferredBytes < this->minimum && !error) {
            this->transferredBytes += this->state->socket.read_some(
                asio::buffer(this->target + this->transferredBytes, this->maximum - this->transferredBytes), error);
        }
        if (!error || error == asio::error::eof || error == asio::error::bad_descriptor)
            this->fulfiller.fulfill(kj::cp(this->transferredBytes));
        else if (isRetryable(error))
            this->wait();
        else
            this->fulfiller.reject(disconnectedError(error));
    }

private:
    void wait()
    {
        this->state->socket.async_wait(
            asio::ip::tcp::socket::wait_read, [streamState = this->state, self = this](const error_code&) {
                if (streamState->reader == self)
                    self->continueTransfer();
            });
    }

    kj::PromiseFulfiller<std::size_t>& fulfiller;
    std::shared_ptr<AsioStream::State> state;
    char* target;
    std::size_t minimum;
    std::size_t maximum;
    std::size_t transferredBytes = 0;
};

class WriteOperation {
public:
    WriteOperation(
        kj::PromiseFulfiller<void>& writeFulfiller, std::shared_ptr<AsioStream::State> writeState, std::string bytes)
        : fulfiller(writeFulfiller)
        , state(std::move(writeState))
        , source(std::move(bytes))
    {
        this->state->writer = this;
        this->continueTransfer();
    }
    ~WriteOperation() { this->state->writer = nullptr; }
    WriteOperation(const WriteOperation&) = delete;
    WriteOperation& operator=(const WriteOperation&) = delete;

    void continueTransfer()
    {
        error_code error;
        while (this->transferredBytes < this->source.size() && !error) {
            this->transferredBytes
                += this->state->socket.write_some(asio::buffer(this->source.data() + this->transferredBytes,
                                                      this->source.size() - this->transferredBytes),
                    error);
        }
        if (!error)
            this->fulfiller.fulfill();
        else if (isRetryable(error))
            this->wait();
        else
            this->fulfiller.reject(disconnectedError(error));
    }

private:
    void wait()
    {
        this->state->socket.async_wait(
            asio::ip::tcp::socket::wait_write, [streamState = this->state, self = this](const error_code&) {
                if (streamState->writer == self)
                    self->continueTransfer();
            });
    }

    kj::PromiseFulfiller<void>& fulfiller;
    std::shared_ptr<AsioStream::State> state;
    std::string source;
    std::size_t transferredBytes = 0;
};

void shutdownSocket(AsioStream::State& state)
{
    error_code ignored;
    state.socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

} // namespace

AsioStream::AsioStream(asio::ip::tcp::socket socket)
    : state(std::make_shared<State>(std::move(socket)))
{
    error_code ignored;
    this->state->socket.non_blocking(true, ignored);
    this->state->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

AsioStream::~AsioStream() noexcept
{
    error_code ignored;
    this->state->socket.close(ignored);
}

kj::Promise<std::size_t> AsioStream::tryRead(void* buffer, std::size_t minimumBytes, std::size_t maximumBytes)
{
    return kj::newAdaptedPromise<std::size_t, ReadOperation>(this->state, buffer, minimumBytes, maximumBytes);
}

kj::Promise<void> AsioStream::write(const void* buffer, std::size_t size)
{
    return kj::newAdaptedPromise<void, WriteOperation>(
        this->state, std::string(static_cast<const char*>(buffer), size));
}

kj::Promise<void> AsioStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::string joined;
    for (const auto& piece : pieces)
        joined.append(reinterpret_cast<const char*>(piece.begin()), piece.size());
    return kj::newAdaptedPromise<void, WriteOperation>(this->state, std::move(joined));
}

// Not needed: the RPC system detects a closed connection by its pending read.
kj::Promise<void> AsioStream::whenWriteDisconnected() { return kj::NEVER_DONE; }

void AsioStream::shutdownWrite()
{
    error_code ignored;
    this->state->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void AsioStream::close() { shutdownSocket(*this->state); }

std::function<void()> AsioStream::closeCallback() const
{
    return [weak = std::weak_ptr<State>(this->state)] {
        if (const auto streamState = weak.lock())
            shutdownSocket(*streamState);
    };
}

} // namespace clementinefall::peers
