// Which tenant a key proves, as the newest known document says.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "registered/registry/model.h"

namespace cairnhollow::registered::tenancy {

/// Tenants that metrics name; the others are counted as one. Chosen: a page of a dashboard.
inline constexpr std::size_t kNamedTenants = 20;

/// Invariant: a key is found exactly as long as a tenant of the directory has it.
class TenantDirectory {
 public:
  void clear();
  /// Replaces the tenant's keys and limits.
  void put(const registry::TenantRule& tenant);
  void remove(const TenantName& name);
  /// Null when the key proves no tenant.
  [[nodiscard]] const registry::TenantRule* find_by_key(const ApiKey& key) const;
  /// Null when there is no such tenant.
  [[nodiscard]] const registry::TenantRule* find(const TenantName& name) const;
  /// The tenant's of all tenants' rates, 0 to 1; alike for all where no tenant has a rate.
  [[nodiscard]] double part_of(const TenantName& name) const;
  /// Whether the tenant is one of the kNamedTenants with the highest rates.
  [[nodiscard]] bool is_large(const TenantName& name) const;
  /// Whether some tenant names the regions in which its statements run.
  [[nodiscard]] bool any_names_regions() const { return naming_regions_ > 0; }
  [[nodiscard]] std::size_t size() const { return tenants_.size(); }

 private:
  void find_large() const;

  std::map<TenantName, registry::TenantRule> tenants_;
  std::unordered_map<ApiKey, TenantName> holders_;
  std::size_t naming_regions_ = 0;
  std::uint64_t rates_ = 0;             ///< of all tenants, operations a second
  mutable std::set<TenantName> large_;  ///< worked out when asked for
  mutable bool large_is_old_ = true;
};

}  // namespace cairnhollow::registered::tenancy
