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
    Refused = 1, ///< Refused, in conflict, or a bundle with errors.
    Usage = 2, ///< Unknown verb, flag or argument, or a file that cannot be read or written.
    Unreachable = 3, ///< The administration API, or the platform behind it, gave no answer; see `--operation`.
};

struct ApiRequest {
    std::string method;
    std::string target;
    std::string body;
    std::string operationId;
    std::string ifMatch;
    bool isRepeatable = true; ///< A second copy under the same operation id changes nothing more.
};

struct ApiResponse {
    unsigned status = 0;
    std::string body;
};

/// Sends one request to the administration API. Errors: PeerUnreachable.
using Transport = std::function<Result<ApiResponse>(const ApiRequest& request)>;

struct Options {
    bool isJson = false; ///< Output as JSON instead of text.
    bool isDryRun = false;
    std::string keyFile; ///< Holds the hex secret key for `sign`.
    std::string signer; ///< Name for `sign`; empty: the operator of the token.
    std::string operationId; ///< Empty: a new one for each command.
    std::string ifMatch;
};

/// Runs one command. \a arguments starts with the verb. Results go to \a out, errors to \a err.
ExitCode runCommand(const Options& options, const std::vector<std::string>& arguments, const Transport& transport,
    std::ostream& out, std::ostream& err);

/// Verbs, flags and exit codes.
std::string usageText();

} // namespace clementinefall::ctl
