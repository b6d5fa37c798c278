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

/// Callbacks for the results of the membership steps. They run on the control thread.
struct MembershipHandlers {
    std::function<void(const membership::MemberChange&)> changed;
    /// Called after a long pause of the process; the instance is not offerable until a member responds.
    std::function<void()> resumed;
    std::function<void()> superseded; ///< Another process uses the address; this one must stop.
};

struct MembershipCounters {
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t rejectedMessages = 0; ///< PeerBadMessage, including rejected responses and duplicates.
    std::uint64_t rejectedAuthenticators = 0; ///< PeerBadAuthenticator.
    std::uint64_t rejectedVersions = 0; ///< PeerVersion.
};

/// Sends and receives membership messages over UDP and runs the membership steps. Owns the member table. Must be used
/// on the thread of the `io_context` only.
class MembershipTransport : public std::enable_shared_from_this<MembershipTransport> {
public:
    MembershipTransport(boost::asio::io_context& context, MembershipTransportSettings transportSettings,
        membership::MemberTable initialTable, Random transportRandom, MembershipHandlers transportHandlers);

    /// Binds the address of the local member record. With port 0, a free port is selected and set in the record.
    /// Errors: SettingsBadAddress.
    Status start();

    /// Announces that the instance accepts no new work.
    void leave();

    /// Closes the socket. No handler is called afterwards.
    void stop();

    const membership::MemberTable& table() const { return this->memberTable; }
    const MembershipCounters& counters() const { return this->counts; }

    /// Sets what the next messages report about this instance.
    void setReport(const membership::InstanceReport& report) { this->memberTable.report = report; }
    void setHints(std::vector<HostPort> joinAddresses) { this->memberTable.joinAddresses = std::move(joinAddresses); }

private:
    boost::asio::awaitable<void> receiveLoop();
    boost::asio::awaitable<void> tickLoop();
    void receivePending();
    void handle(std::string_view datagram);
    void recordRejection(const Error& error);
    void apply(membership::StepResult& step);
    void send(const membership::OutgoingMessage& outgoing);

    MembershipTransportSettings settings;
    membership::MemberTable memberTable;
    Random random;
    MembershipHandlers handlers;
    MembershipCounters counts;
    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    bool isStopped = false;
    /// One byte more than the maximum datagram, so that oversized datagrams are detected.
    std::array<char, membership::maximumDatagramBytes + 1> buffer {};
};

} // namespace clementinefall::peers
