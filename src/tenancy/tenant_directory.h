// Which tenant a key proves, as the newest known document says.
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "registry/model.h"

namespace cairnhollow::tenancy {

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
  [[nodiscard]] std::size_t size() const { return tenants_.size(); }

 private:
  std::map<TenantName, registry::TenantRule> tenants_;
  std::unordered_map<ApiKey, TenantName> holders_;
  std::uint64_t rates_ = 0;  ///< of all tenants, operations a second
};

}  // namespace cairnhollow::tenancy
