#pragma once

#include "base/result.h"
#include "forwarding/ratelimit.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace clementinefall::forwarding {

/// Asks the coordinator of a backend server for a permit, or only tells it about a change of the server's limit.
struct PermitRequest {
    std::uint64_t number = 0; ///< Copied to the reply; 0 when none is wanted.
    std::string server;
    Duration maximumDelay {}; ///< A permit that may be used within this time is reserved.
    RateLimitState limit;
};

struct PermitReply {
    std::uint64_t number = 0;
    bool isGranted = false;
    Duration delay {}; ///< Time after which a granted permit may be used.
    /// Time after which the next permit may be used, at the earliest. Empty when the receiver of the request is not the
    /// coordinator.
    std::optional<Duration> nextAvailable;
    Duration retryAfter {}; ///< No further request before this time, if not granted.
    RateLimitState limit; ///< As the coordinator knows it.
};

using PermitMessage = std::variant<PermitRequest, PermitReply>;

/// Whether \a text is an encoded permit message, which shares the socket of the heartbeats.
bool isPermitMessage(std::string_view text);

/// Encodes as JSON; times are sent as ages at \a now.
std::string encodePermitMessage(const PermitMessage& message, TimePoint now);

/// Error: PeerBadMessage.
Result<PermitMessage> decodePermitMessage(std::string_view text, TimePoint now);

} // namespace clementinefall::forwarding
