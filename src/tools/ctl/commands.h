#pragma once

#include "base/result.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace clementinefall::ctl {

/// Exit codes of clementinefall-ctl.
enum class ExitCode : std::uint8_t {
    Ok = 0,
    Rejected = 1, ///< The command was rejected or in conflict, or the bundle has errors.
    Usage = 2, ///< Unknown verb, flag or argument, or a file could not be read or written.
    Unreachable = 3, ///< The administration API, or the platform behind it, did not respond; see `--operation`.
};

struct ApiRequest {
    std::string method;
    std::string target;
    std::string body;
    std::string operationId;
    std::string ifMatch; ///< Entity tag for the If-Match header; empty: not sent.
    bool isRepeatable = true; ///< Idempotent: sending it again with the same operation id has no further effect.
};

struct ApiResponse {
    unsigned status = 0;
    std::string body;
};

/// Sends one request to the administration API. Errors: PeerUnreachable.
using Transport = std::function<Result<ApiResponse>(const ApiRequest& request)>;

struct Options {
    bool isJson = false; ///< Output as JSON instead of text.
    bool isDryRun = false; ///< Check the command without changing anything.
    std::string keyFile; ///< File with the secret key for `sign`, in hexadecimal.
    std::string signer; ///< Name of the signer for `sign`; empty: the operator of the token.
    std::string operationId; ///< Empty: generated for each command.
    std::string ifMatch; ///< Entity tag that the object must still have; empty: not checked.
};

/// Runs one command. \a arguments starts with the verb. Results go to \a out, errors to \a err.
ExitCode runCommand(const Options& options, const std::vector<std::string>& arguments, const Transport& transport,
    std::ostream& out, std::ostream& err);

/// Help text with the verbs, flags and exit codes.
std::string usageText();

} // namespace clementinefall::ctl
