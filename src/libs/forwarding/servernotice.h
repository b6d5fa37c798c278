#pragma once

#include "base/clock.h"
#include "forwarding/wirenames.h"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>

namespace clementinefall::forwarding {

/// What a backend server asks of an entry instance in a response.
struct ServerNotice {
    bool isLeaving = false; ///< It stops soon and wants no new requests. Holds for the incarnation.
    std::optional<Duration> pause; ///< It wants no requests of this instance for this time.
    std::string invalid; ///< Values that were ignored, for the log.

    bool isEmpty() const { return !this->isLeaving && !this->pause && this->invalid.empty(); }
};

/// Longest pause that is kept. A server that states more is asked again after it.
inline constexpr std::chrono::hours maximumServerPause { 1 };

/// Reads the notice in the header of a response with \a status. Retry-After counts in responses with status 503 only,
/// and as a number of seconds, with fractions. Of several valid values the one that asks for most holds.
ServerNotice readServerNotice(const boost::beast::http::fields& header, unsigned status, const WireNames& names);

} // namespace clementinefall::forwarding
