#pragma once

#include "http/server.h"
#include "link/tcprelay.h"
#include "link/udprelay.h"

#include <vector>

namespace clementinefall::link {

/// A relay with its shared state and one pointer for each protocol, null if the protocol is disabled.
struct Relay {
    std::shared_ptr<RelayState> state;
    std::shared_ptr<TcpRelay> tcp;
    std::shared_ptr<UdpRelay> udp;
};

/// Creates the relay and binds its listeners. Errors: SettingsBadAddress.
Result<Relay> startRelay(asio::io_context& context, RelayState state);

/// Handler of the control API. It is not synchronized and must run on the thread of the relays:
/// - `GET /relays`: settings, state and counters of each relay.
/// - `POST /relays/<name>/set?[direction=forward|backward|both][&delayMs=][&jitterMs=][&lossPercent=]`
/// - `POST /relays/<name>/cut`: resets every connection, refuses new ones and drops datagrams.
/// - `POST /relays/<name>/silence?[direction=][&scope=existing|all]`: bytes are accepted and discarded.
/// - `POST /relays/<name>/restore`: ends cut and silence.
/// The name `all` selects every relay.
http::Handler controlHandler(std::vector<Relay> relays);

} // namespace clementinefall::link
