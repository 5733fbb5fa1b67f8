#include "registered/tenancy/tenant_directory.h"

#include <algorithm>

namespace cairnhollow::registered::tenancy {

void TenantDirectory::clear() {
  tenants_.clear();
  large_is_stale_ = true;
  tenant_by_key_.clear();
  total_rate_ = 0;
  region_restricted_count_ = 0;
}

void TenantDirectory::put(const registry::TenantRule& tenant) {
  remove(tenant.name);
  for (const ApiKey& key : tenant.keys) tenant_by_key_[key] = tenant.name;
  tenants_[tenant.name] = tenant;
  large_is_stale_ = true;
  total_rate_ += tenant.rate_per_s;
  if (!tenant.allowed_regions.empty()) ++region_restricted_count_;
}

void TenantDirectory::remove(const TenantName& name) {
  const auto found = tenants_.find(name);
  if (found == tenants_.end()) return;
  // Keeps a key that has since been assigned to another tenant.
  for (const ApiKey& key : found->second.keys) {
    const auto assignment = tenant_by_key_.find(key);
    if (assignment != tenant_by_key_.end() && assignment->second == name) tenant_by_key_.erase(assignment);
  }
  total_rate_ -= found->second.rate_per_s;
  if (!found->second.allowed_regions.empty()) --region_restricted_count_;
  tenants_.erase(found);
  large_is_stale_ = true;
}

const registry::TenantRule* TenantDirectory::find_by_key(const ApiKey& key) const {
  const auto assignment = tenant_by_key_.find(key);
  return assignment == tenant_by_key_.end() ? nullptr : find(assignment->second);
}

double TenantDirectory::limit_fraction(const TenantName& name) const {
  const registry::TenantRule* tenant = find(name);
  if (tenant == nullptr) return 0;
  if (total_rate_ == 0) return 1.0 / static_cast<double>(tenants_.size());
  return static_cast<double>(tenant->rate_per_s) / static_cast<double>(total_rate_);
}

bool TenantDirectory::is_large(const TenantName& name) const {
  if (large_is_stale_) find_large();
  return large_.count(name) > 0;
}

void TenantDirectory::find_large() const {
  std::vector<const registry::TenantRule*> by_rate;
  for (const auto& [name, tenant] : tenants_) by_rate.push_back(&tenant);
  std::stable_sort(by_rate.begin(), by_rate.end(),
                   [](const auto* one, const auto* other) { return one->rate_per_s > other->rate_per_s; });
  by_rate.resize(std::min(by_rate.size(), kLabeledTenants));
  large_.clear();
  for (const registry::TenantRule* tenant : by_rate) large_.insert(tenant->name);
  large_is_stale_ = false;
}

const registry::TenantRule* TenantDirectory::find(const TenantName& name) const {
  const auto found = tenants_.find(name);
  return found == tenants_.end() ? nullptr : &found->second;
}

}  // namespace cairnhollow::registered::tenancy
