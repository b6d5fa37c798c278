#pragma once

#include "backend/simserver.h"
#include "http/server.h"

#include <vector>

namespace clementinefall::backend {

/// Request handler of the simulator's control API:
/// - `GET /effects`: one JSON line per server and identity that the server executed.
/// - `GET /counters`: JSON array with the counters of each server.
/// - `POST /servers/<name>/<command>`: `drain`, `undrain`, `crash[?ms=]`, `silence`, `mislead[?on=0]`,
///   `slow?factor=`, `lag?ms=`. The name is that of a server, that of a service for all of its servers, or `all`.
/// - `POST /reset`: calls SimServer::reset() on each server.
http::Handler controlHandler(std::vector<std::shared_ptr<SimServer>> servers);

/// JSON object text of one effect, without a newline.
std::string effectLine(const SimServer& server, const std::string& identity, const Effect& effect);

/// JSON object text with the name, service, zone, slots and counters of one server.
std::string countersText(const SimServer& server);

} // namespace clementinefall::backend
