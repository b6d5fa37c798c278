#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <kj/async-io.h>

#include <functional>
#include <memory>

namespace clementinefall::peers {

/// KJ byte stream over an Asio TCP socket. It waits for readiness and then reads or writes without blocking, so that
/// Asio never holds the buffer of a cancelled promise.
class AsioStream final : public kj::AsyncIoStream {
public:
    explicit AsioStream(boost::asio::ip::tcp::socket socket);
    ~AsioStream() noexcept;
    AsioStream(const AsioStream&) = delete;
    AsioStream& operator=(const AsioStream&) = delete;

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minimumBytes, std::size_t maximumBytes) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;

    /// Shuts the connection down in both directions; a pending read reports the end of the stream.
    void close();

    /// Returns a function that closes the stream, or does nothing if the stream no longer exists.
    std::function<void()> closeCallback() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace clementinefall::peers
