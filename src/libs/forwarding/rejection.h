#pragma once

#include "forwarding/wirenames.h"
#include "http/message.h"
#include "requests/retrybudget.h"

/// What a response says of whether its request has run. Towards callers, some statuses are a promise that the request
/// has not run and never will; from a backend server, they state nothing by themselves. Answers servers that fail
/// requests after they have run them.
namespace clementinefall::forwarding {

/// Status of a server that is not the one for which the request was meant.
inline constexpr unsigned misdirectedStatus = 421;

/// Whether callers take a response with \a status as a promise that the request has not run and never will.
bool promisesNotRun(unsigned status);

/// Whether the response of a backend server states that its request has not run. An empty statement states nothing.
bool isStatedNotRun(const http::ResponseHeader& header, const WireNames& names);

/// How an attempt ends that a backend server answers with a whole response: Answered when the response may be passed on
/// as it is. A status that promises more than the server has stated is not passed on for requests that must not run
/// twice; callers of the others lose nothing by it, and get what the server says.
requests::AttemptEnd endOfResponse(const http::ResponseHeader& header, const WireNames& names, bool isIdempotent);

} // namespace clementinefall::forwarding
