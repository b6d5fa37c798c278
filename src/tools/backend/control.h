#pragma once

#include "backend/simserver.h"
#include "http/server.h"

#include <vector>

namespace clementinefall::backend {

/// Handler of the simulator's control API:
/// - `GET /effects`: one JSON line for each identity and server that ran it.
/// - `GET /counters`: the counters of each server.
/// - `POST /servers/<name>/<order>`: `drain`, `undrain`, `crash[?ms=]`, `silence`, `mislead[?on=0]`,
///   `slow?factor=`, `lag?ms=`. The name `all` addresses every server and a service's name all of its servers.
/// - `POST /reset`: forgets effects and counters and ends the orders.
http::Handler controlHandler(std::vector<std::shared_ptr<SimServer>> servers);

/// JSON line of one effect, without the line end.
std::string effectLine(const SimServer& server, const std::string& identity, const Effect& effect);

/// JSON object text with the counters of one server.
std::string countersText(const SimServer& server);

} // namespace clementinefall::backend
