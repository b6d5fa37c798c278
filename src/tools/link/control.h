#pragma once

#include "http/server.h"
#include "link/tcprelay.h"
#include "link/udprelay.h"

#include <vector>

namespace clementinefall::link {

/// One relay with its two protocols; a protocol that is off is null.
struct Relay {
    std::shared_ptr<RelayState> state;
    std::shared_ptr<TcpRelay> tcp;
    std::shared_ptr<UdpRelay> udp;
};

/// Binds the relay's listeners. Errors: SettingsBadAddress.
Result<Relay> startRelay(asio::io_context& context, RelayState state);

/// Handler of the control API; it must run on the relays' thread:
/// - `GET /relays`: settings, state and counters of each relay.
/// - `POST /relays/<name>/set?[direction=forward|backward|both][&delayMs=][&jitterMs=][&lossPercent=]`
/// - `POST /relays/<name>/cut`: resets every connection and refuses new ones.
/// - `POST /relays/<name>/silence?[direction=][&scope=existing|all]`: bytes are accepted and not delivered.
/// - `POST /relays/<name>/restore`: ends cut and silence. The name `all` addresses every relay.
http::Handler controlHandler(std::vector<Relay> relays);

} // namespace clementinefall::link
