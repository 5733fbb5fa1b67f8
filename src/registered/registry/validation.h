// What a configuration document must satisfy before it is taken.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "registered/registry/model.h"

namespace cairnhollow::registered::registry {

/// Every fault of the document, each naming its field, e.g. "routes[2].timeout: must not be 0"; empty: valid.
std::vector<std::string> find_faults(const ConfigurationDocument& document);

}  // namespace cairnhollow::registered::registry
