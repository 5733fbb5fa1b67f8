// Names of object kinds as operators write and read them.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

inline constexpr ObjectKind kAllKinds[] = {ObjectKind::kProxy, ObjectKind::kBackend,
                                           ObjectKind::kDatabaseGroup, ObjectKind::kRoute};

/// "Proxy", "Backend", "DatabaseGroup" or "Route"; "Unknown" for a value outside the list.
std::string_view kind_name(ObjectKind kind);
/// The reverse of kind_name(), exact; empty for another text.
std::optional<ObjectKind> parse_kind(std::string_view name);
/// "Backend/study-records-1-kelburn".
std::string to_string(const ObjectKey& key);

}  // namespace cairnhollow::declared::config
