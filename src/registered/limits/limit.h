// Defines the limits that are enforced over all proxies together, and the names of what they limit.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "registered/limits/limit_window.h"

namespace cairnhollow::registered::limits {

enum class LimitKind : std::uint8_t {
  kTenant,      ///< operations of a tenant, counted at the proxy that receives them
  kColdBackend  ///< statements to a recently started backend, counted at the proxy that sends them
};

/// Part of the hash key by which proxies select owners; must not change between builds.
inline const char* kind_name(LimitKind kind) {
  return kind == LimitKind::kTenant ? "tenant" : "cold backend";
}

/// Name of the log field that holds LimitKey::name.
inline const char* log_field_name(LimitKind kind) {
  return kind == LimitKind::kTenant ? "tenant" : "cold_backend";
}

/// One tenant, or one backend. Proxies select its owners by kind and name, so neither may change its meaning
/// between builds.
struct LimitKey {
  LimitKind kind = LimitKind::kTenant;
  std::string name;
  auto operator<=>(const LimitKey&) const = default;
};

/// In any interval of length `window.window`, at most (rate x window + burst) x (1 + overshoot) + slack
/// operations or statements pass.
struct Limit {
  LimitKey key;
  double rate_per_s = 0;
  double burst = 0;  ///< operations or statements that may pass at once after an idle period
  LimitWindow window;
  /// Returns false if the limit is disabled, that is if rate and burst are both 0.
  [[nodiscard]] bool is_enabled() const { return rate_per_s > 0 || burst > 0; }
};

}  // namespace cairnhollow::registered::limits
