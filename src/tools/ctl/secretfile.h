#pragma once

#include "base/result.h"

#include <string>

namespace clementinefall::ctl {

/// Writes \a secret to the new file \a path, which only its owner can access. Error: BadParameter, also if the file
/// exists.
Status writeSecretFile(const std::string& path, const std::string& secret);

/// Reads a secret and trims white space. Error: BadParameter, also if group or others have any access to the file; the
/// message never contains the secret.
Result<std::string> readSecretFile(const std::string& path);

/// Reads a whole file. Error: BadParameter if it cannot be read or is empty.
Result<std::string> readTextFile(const std::string& path);

} // namespace clementinefall::ctl
