#pragma once

#include "base/result.h"
#include "bundle/bundle.h"

#include <string>
#include <string_view>

namespace clementinefall::bundle {

/// Parses a bundle from JSON. Reports the first error with its path, for example `services[2].servers[0].slots`.
/// Errors: BundleNotJson, BundleMissingField, BundleWrongType, BundleOutOfRange, BundleUnknownField.
Result<Bundle> parseBundle(std::string_view json);

/// Returns the canonical JSON: fields in a fixed order, no white space. Equal bundles give equal text.
std::string serializeBundle(const Bundle& bundle);

} // namespace clementinefall::bundle
