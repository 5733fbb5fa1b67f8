// Converts a tenant's configured rate and burst to a limits::Limit.
#pragma once

#include "registered/limits/limit.h"
#include "registered/registry/model.h"

namespace cairnhollow::registered::tenancy {

inline limits::LimitedName limited(const TenantName& tenant) {
  return {limits::LimitedKind::kTenant, tenant.value};
}

inline limits::Limit limit_of(const registry::TenantRule& tenant, const limits::LimitWindow& window) {
  return {limited(tenant.name), static_cast<double>(tenant.rate_per_s), static_cast<double>(tenant.burst),
          window};
}

}  // namespace cairnhollow::registered::tenancy
