#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Plays arbitrary bytes on the connections of an entry instance with one backend server, on loopback.
namespace clementinefall::fuzz {

/// Plays \a bytes as those of a caller, or of another entry instance (\a isEntryInstance). Returns what is wrong: the
/// server got a request that was not sent, by the framing of RFC 9112.
std::optional<std::string> playRequests(std::string_view bytes, bool isEntryInstance);

/// Plays \a bytes as the response of the backend server to a request. Returns what is wrong: the caller got bytes that
/// are no response in HTTP, a success that the server did not seal, or one of another request.
std::optional<std::string> playResponse(std::string_view bytes);

/// Decodes \a bytes as documents of the platform's store and as messages between entry instances.
void decodeDocuments(std::string_view bytes);

/// Plays the rest of \a bytes as the first one says.
std::optional<std::string> play(std::string_view bytes);

} // namespace clementinefall::fuzz
