#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <kj/async-io.h>

#include <functional>
#include <memory>

namespace clementinefall::peers {

/// Byte stream of KJ over an Asio TCP socket. It waits for readiness and then reads or writes without blocking, so that
/// no buffer of a dropped promise is ever in the hands of Asio.
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

    /// Ends the connection; a pending read sees its end.
    void close();

    /// Closes the stream later, from a place that may outlive it.
    std::function<void()> closeCallback() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace clementinefall::peers
