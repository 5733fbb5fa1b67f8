// Validates configuration documents before they are accepted.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "registered/registry/model.h"

namespace cairnhollow::registered::registry {

/// Returns all faults of the document, each naming its field, e.g. "routes[2].timeout: must not be 0". Empty
/// if the document is valid.
std::vector<std::string> find_faults(const ConfigurationDocument& document);

}  // namespace cairnhollow::registered::registry
