#pragma once

#include "capacitypage.h"

#include <vector>

namespace clementinefall::capacity {

/// `membership_*` and `spread_*`: control steps of \a members instances on the fake network with 1% loss, for each
/// instance, and one bundle that the platform gives to one instance. The processor time includes the fake network and
/// the datagram codec, but no sockets.
std::vector<Figure> measureControl(std::size_t members);

/// Heap of one member table that knows \a members others.
std::vector<Figure> measureMemberTable(std::size_t members);

/// `bundle_*` and `snapshot_*`: text size, processor time to parse, adopt (one Ed25519 signature) and index a bundle of
/// the design scale with \a servers backend servers, and the heap of the results. `bundle_change_bytes` is the text of
/// the differences when one server is drained.
std::vector<Figure> measureBundle(std::size_t servers);

/// `lookup_*`: processor time of one ranked lookup in a fleet of \a members instances.
std::vector<Figure> measureLookup(std::size_t members);

/// `blocks_*`: heap of a client block table of \a blocks ranges and processor time to find a client's zone in it.
std::vector<Figure> measureClientBlocks(std::size_t blocks);

/// Length of the platform's answer to a watch or list call when the kind holds \a objects bundle versions.
std::vector<Figure> measurePlatformList(std::size_t objects);

} // namespace clementinefall::capacity
