#pragma once

#include "base/result.h"

#include <string>

namespace clementinefall::ctl {

/// Creates \a path, readable by its owner only. Error: BadParameter, also when the file exists.
Status writeSecretFile(const std::string& path, const std::string& secret);

/// Reads a secret without the white space around it. Refuses a file that other users can read. Error: BadParameter;
/// the message never holds the content.
Result<std::string> readSecretFile(const std::string& path);

/// Error: BadParameter.
Result<std::string> readTextFile(const std::string& path);

} // namespace clementinefall::ctl
