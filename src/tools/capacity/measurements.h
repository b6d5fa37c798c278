#pragma once

#include "capacitypage.h"

#include <vector>

namespace clementinefall::capacity {

/// `membership_*` and `spread_*`: cost for each instance of the membership protocol with \a members instances on a
/// simulated network with 1% loss, and the dissemination of one bundle that the platform delivers to one instance. The
/// processor time includes the simulated network and the datagram codec, but no sockets.
std::vector<Figure> measureControl(std::size_t members);

/// `member_table_bytes`: heap size of one member table with \a members other instances.
std::vector<Figure> measureMemberTable(std::size_t members);

/// `bundle_*` and `snapshot_*`: text size, processor time to parse, adopt (one Ed25519 signature) and index a bundle at
/// the design scale with \a servers backend servers, and heap size of the results. `bundle_change_bytes` is the text
/// size of the differences when one server is drained, and `bundle_delta_bytes` that of the delta and its two
/// sign-offs.
std::vector<Figure> measureBundle(std::size_t servers);

/// `lookup_*`: processor time of one ranked lookup in a fleet of \a members instances.
std::vector<Figure> measureLookup(std::size_t members);

/// `blocks_*`: heap size of a client block table of \a blocks ranges and processor time to find a client's zone in it.
std::vector<Figure> measureClientBlocks(std::size_t blocks);

/// `platform_list_bytes`: size of the platform's response to a watch or list call with \a objects bundle versions.
std::vector<Figure> measurePlatformList(std::size_t objects);

} // namespace clementinefall::capacity
