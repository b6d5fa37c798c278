#pragma once

#include "membership/memberstep.h"
#include "membership/messagecodec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>

namespace clementinefall::peers {

struct MembershipTransportSettings {
    membership::ClusterKey key {};
    milliseconds tickPeriod { 50 };
};

/// What the owner does with the results of the membership steps. The functions run on the control thread.
struct MembershipHandlers {
    std::function<void(const membership::MemberChange&)> changed;
    std::function<void()> resumed; ///< After a long pause; the instance is not offerable until a member answers.
    std::function<void()> superseded; ///< Another process holds the address; this one must stop.
};

struct MembershipCounters {
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t rejectedMessages = 0; ///< PeerBadMessage, refused answers and copies included.
    std::uint64_t rejectedAuthenticators = 0; ///< PeerBadAuthenticator.
    std::uint64_t rejectedVersions = 0; ///< PeerVersion.
};

/// Carries membership messages over UDP and runs the step functions. Owns the member table; everything runs on the
/// thread of the `io_context`.
class MembershipTransport : public std::enable_shared_from_this<MembershipTransport> {
public:
    MembershipTransport(boost::asio::io_context& context, MembershipTransportSettings transportSettings,
        membership::MemberTable initialTable, Random transportRandom, MembershipHandlers transportHandlers);

    /// Binds the address of the own member record; port 0 takes a free one, which is then set in the record. Errors:
    /// SettingsBadAddress.
    Status start();

    /// Announces that the instance takes no new work.
    void leave();

    /// Closes the socket; nothing is called afterwards.
    void stop();

    const membership::MemberTable& table() const { return this->memberTable; }
    const MembershipCounters& counters() const { return this->counts; }

    /// Sets what the next messages report about this instance.
    void setReport(const membership::InstanceReport& report) { this->memberTable.report = report; }
    void setHints(std::vector<HostPort> hints) { this->memberTable.hints = std::move(hints); }

private:
    boost::asio::awaitable<void> receiveLoop();
    boost::asio::awaitable<void> tickLoop();
    void receivePending();
    void handle(std::string_view datagram);
    void recordRejection(const Error& error);
    void apply(membership::Step& step);
    void send(const membership::Outgoing& outgoing);

    MembershipTransportSettings settings;
    membership::MemberTable memberTable;
    Random random;
    MembershipHandlers handlers;
    MembershipCounters counts;
    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    bool isStopped = false;
    /// One byte more than the longest datagram, so that a longer one is seen as such.
    std::array<char, membership::maximumDatagramBytes + 1> buffer {};
};

} // namespace clementinefall::peers
