#include "declared/config/object_names.h"

#include <fmt/format.h>

namespace cairnhollow::declared::config {

std::string_view kind_name(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kProxy:
      return "Proxy";
    case ObjectKind::kBackend:
      return "Backend";
    case ObjectKind::kDatabaseGroup:
      return "DatabaseGroup";
    case ObjectKind::kRoute:
      return "Route";
  }
  return "Unknown";
}

std::optional<ObjectKind> parse_kind(std::string_view name) {
  for (const ObjectKind kind : kAllKinds) {
    if (kind_name(kind) == name) return kind;
  }
  return std::nullopt;
}

std::string to_string(const ObjectKey& key) { return fmt::format("{}/{}", kind_name(key.kind), key.name); }

}  // namespace cairnhollow::declared::config
