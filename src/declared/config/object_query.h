// Which objects a reader wants.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// Objects that meet every part that is given.
struct ObjectQuery {
  std::optional<ObjectKind> kind;  ///< unset: all kinds
  std::vector<std::string> names;  ///< empty: any name; otherwise looked up, so that few cost little
  Selector selector;
};

}  // namespace cairnhollow::declared::config
