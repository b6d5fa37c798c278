#pragma once

#include "base/result.h"
#include "bundle/bundle.h"

#include <string>
#include <string_view>

namespace clementinefall::bundle {

/// Reads a bundle from JSON. Reports the first mistake with its place, for example `services[2].servers[0].slots`.
/// Errors: BundleNotJson, BundleMissingField, BundleWrongType, BundleOutOfRange, BundleUnknownField.
Result<Bundle> parseBundle(std::string_view json);

/// Writes the canonical form: fields in a fixed order, no white space. Equal bundles give equal text.
std::string serializeBundle(const Bundle& bundle);

} // namespace clementinefall::bundle
