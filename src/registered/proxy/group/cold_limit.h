// Which backends of a group are cold, and which of those had no token for a statement a moment ago. What a
// cold backend is, and how much it may be sent: links/cold_backend.h.
#pragma once

#include "registered/proxy/group/backend_use.h"
#include "registered/registry/model.h"
#include "registered/tenancy/key_confirmation.h"

namespace cairnhollow::registered::proxy {

/// What is named outlives it.
class ColdLimit {
 public:
  /// `rule`: of the group as it is now. `confirmation`: control's, of this proxy's copy of the fleet; null:
  /// cold backends are not limited.
  ColdLimit(runtime::Runtime& runtime, const registry::GroupRule& rule,
            const tenancy::KeyConfirmation* confirmation)
      : runtime_(runtime), rule_(rule), confirmation_(confirmation) {}

  /// Statements a second to a cold backend, from all proxies; 0: no limit.
  [[nodiscard]] double rate_per_s() const { return rule_.cold_rate_per_s; }
  /// Whether each statement to the backend takes a token.
  [[nodiscard]] bool is_cold(const BackendUse& backend) const {
    if (rule_.cold_rate_per_s <= 0 || confirmation_ == nullptr) return false;
    if (backend.entry.cold_ms > 0 || runtime_.now() < backend.cold_until) return true;
    return backend.rebirth.may_be_reborn(*confirmation_);
  }
  /// Whether it is cold and there was no token for it a moment ago.
  [[nodiscard]] bool is_reached(const BackendUse& backend) const {
    return runtime_.now() < backend.cold_limit_reached_until && is_cold(backend);
  }

 private:
  runtime::Runtime& runtime_;
  const registry::GroupRule& rule_;
  const tenancy::KeyConfirmation* confirmation_;
};

}  // namespace cairnhollow::registered::proxy
