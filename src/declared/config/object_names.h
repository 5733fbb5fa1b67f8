// Names of the object kinds in manifests and commands.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

inline constexpr ObjectKind kAllKinds[] = {ObjectKind::kProxy, ObjectKind::kBackend,
                                           ObjectKind::kDatabaseGroup, ObjectKind::kRoute};

/// Returns "Proxy", "Backend", "DatabaseGroup" or "Route"; "Unknown" for an invalid value.
std::string_view kind_name(ObjectKind kind);
/// Inverse of kind_name(), case-sensitive; std::nullopt for other text.
std::optional<ObjectKind> parse_kind(std::string_view name);
/// Formats a key as KIND/NAME, e.g. "Backend/study-records-1-kelburn".
std::string to_string(const ObjectKey& key);

}  // namespace cairnhollow::declared::config
