// Finds the tenant that an API key authenticates, according to the newest known document.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "registered/registry/model.h"

namespace cairnhollow::registered::tenancy {

/// Number of tenants with metric labels of their own, about one dashboard page. All others share one label.
inline constexpr std::size_t kLabeledTenants = 20;

/// Invariant: a key is found if and only if a tenant of the directory has it.
class TenantDirectory {
 public:
  void clear();
  /// Adds the tenant, or replaces its keys and limits.
  void put(const registry::TenantRule& tenant);
  void remove(const TenantName& name);
  /// Returns nullptr if no tenant has the key. Valid until the tenant is replaced or removed.
  [[nodiscard]] const registry::TenantRule* find_by_key(const ApiKey& key) const;
  /// Returns nullptr if there is no such tenant. Valid until the tenant is replaced or removed.
  [[nodiscard]] const registry::TenantRule* find(const TenantName& name) const;
  /// Returns the tenant's fraction of the rates of all tenants, 0 to 1; equal fractions if no tenant has a
  /// rate, and 0 for an unknown tenant.
  [[nodiscard]] double limit_fraction(const TenantName& name) const;
  /// Returns whether the tenant is one of the kLabeledTenants with the highest rates.
  [[nodiscard]] bool is_large(const TenantName& name) const;
  /// Returns whether any tenant restricts the regions in which its statements run.
  [[nodiscard]] bool any_restricts_regions() const { return region_restricted_count_ > 0; }
  [[nodiscard]] std::size_t size() const { return tenants_.size(); }

 private:
  void find_large() const;

  std::map<TenantName, registry::TenantRule> tenants_;
  std::unordered_map<ApiKey, TenantName> tenant_by_key_;
  std::size_t region_restricted_count_ = 0;
  std::uint64_t total_rate_ = 0;        ///< sum over all tenants, operations per second
  mutable std::set<TenantName> large_;  ///< computed on demand, see large_is_stale_
  mutable bool large_is_stale_ = true;
};

}  // namespace cairnhollow::registered::tenancy
