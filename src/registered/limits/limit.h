// What is limited over all proxies together, and by how much.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "registered/limits/limit_window.h"

namespace cairnhollow::registered::limits {

enum class LimitedKind : std::uint8_t {
  kTenant,      ///< operations of a tenant, counted where they come in
  kColdBackend  ///< statements to a backend that was started lately, counted where they are sent
};

/// Proxies choose owners by it: stable.
inline const char* kind_name(LimitedKind kind) {
  return kind == LimitedKind::kTenant ? "tenant" : "cold backend";
}

/// Of a log's field that names what is limited.
inline const char* field_name(LimitedKind kind) {
  return kind == LimitedKind::kTenant ? "tenant" : "cold_backend";
}

/// One tenant, or one backend. Proxies choose its owners by kind and name, so neither may change meaning
/// between builds.
struct LimitedName {
  LimitedKind kind = LimitedKind::kTenant;
  std::string name;
  auto operator<=>(const LimitedName&) const = default;
};

/// In any `window.window` at most (rate x window + burst) x (1 + overshoot) + slack pass.
struct Limit {
  LimitedName of;
  double rate_per_s = 0;
  double burst = 0;  ///< that may pass at once after a rest
  LimitWindow window;
  /// Whether it limits at all.
  [[nodiscard]] bool bounds() const { return rate_per_s > 0 || burst > 0; }
};

}  // namespace cairnhollow::registered::limits
