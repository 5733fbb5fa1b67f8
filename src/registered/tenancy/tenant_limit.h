// Converts a tenant's configured rate and burst to a limits::Limit.
#pragma once

#include "registered/limits/limit.h"
#include "registered/registry/model.h"

namespace cairnhollow::registered::tenancy {

inline limits::LimitKey limit_key(const TenantName& tenant) {
  return {limits::LimitKind::kTenant, tenant.value};
}

inline limits::Limit limit_of(const registry::TenantRule& tenant, const limits::LimitWindow& window) {
  return {limit_key(tenant.name), static_cast<double>(tenant.rate_per_s), static_cast<double>(tenant.burst),
          window};
}

}  // namespace cairnhollow::registered::tenancy
