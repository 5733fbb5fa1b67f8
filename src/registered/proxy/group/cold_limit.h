// Tells which backends of a group are cold, and which of them recently had no token for a statement.
// links/cold_backend.h describes cold backends and their rate limit.
#pragma once

#include "registered/proxy/group/backend_use.h"
#include "registered/registry/model.h"
#include "registered/tenancy/key_confirmation.h"

namespace cairnhollow::registered::proxy {

/// References are not owned and must outlive this object.
class ColdLimit {
 public:
  /// `rule`: the group's current rule. `confirmation`: control's confirmation of this proxy's fleet snapshot;
  /// null: cold backends are not limited.
  ColdLimit(runtime::Runtime& runtime, const registry::GroupRule& rule,
            const tenancy::KeyConfirmation* confirmation)
      : runtime_(runtime), rule_(rule), confirmation_(confirmation) {}

  /// Statements a second that all proxies together may send to one cold backend; 0: no limit.
  [[nodiscard]] double rate_per_s() const { return rule_.cold_rate_per_s; }
  /// Whether each statement to the backend must take a token.
  [[nodiscard]] bool is_cold(const BackendState& backend) const {
    if (rule_.cold_rate_per_s <= 0 || confirmation_ == nullptr) return false;
    if (backend.entry.cold_ms > 0 || runtime_.now() < backend.cold_until) return true;
    return backend.restart_detector.may_have_restarted(*confirmation_);
  }
  /// Whether it is cold and recently had no token.
  [[nodiscard]] bool is_reached(const BackendState& backend) const {
    return runtime_.now() < backend.cold_limit_reached_until && is_cold(backend);
  }

 private:
  runtime::Runtime& runtime_;
  const registry::GroupRule& rule_;
  const tenancy::KeyConfirmation* confirmation_;
};

}  // namespace cairnhollow::registered::proxy
