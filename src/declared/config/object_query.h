// Filter for reading configuration objects.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// Matches objects that satisfy all given criteria.
struct ObjectQuery {
  std::optional<ObjectKind> kind;  ///< unset: all kinds
  std::vector<std::string> names;  ///< empty: any name; otherwise looked up by key, without a scan
  Selector selector;
};

}  // namespace cairnhollow::declared::config
