#include "tenancy/budget_homes.h"

#include <algorithm>

#include "tenancy/limit_budget.h"

namespace cairnhollow::tenancy {

namespace {

std::vector<routing::ProxyPointer> homes_among(const routing::SubsetTable& table, const TenantName& tenant) {
  return table.serving(GroupName("tenant " + tenant.value), static_cast<std::uint32_t>(kHomes));
}

bool holds(const std::vector<routing::ProxyPointer>& proxies, const NodeName& node) {
  return std::any_of(proxies.begin(), proxies.end(),
                     [&](const routing::ProxyPointer& proxy) { return proxy->name == node; });
}

std::vector<routing::ProxyPointer> united(std::vector<routing::ProxyPointer> takers,
                                          const std::vector<routing::ProxyPointer>& changed) {
  for (const auto& proxy : changed) {
    if (!holds(takers, proxy->name)) takers.push_back(proxy);
  }
  return takers;
}

}  // namespace

BudgetHomes::BudgetHomes(const std::vector<routing::ProxyPointer>& takers,
                         const std::vector<routing::ProxyPointer>& changed)
    : takers_(takers), with_changed_(united(takers, changed)) {
  for (const auto& proxy : changed) changed_.push_back(proxy->name);
}

std::vector<routing::ProxyPointer> BudgetHomes::of(const TenantName& tenant) const {
  return homes_among(takers_, tenant);
}

bool BudgetHomes::is_home(const TenantName& tenant, const NodeName& node) const {
  return holds(homes_among(takers_, tenant), node);
}

bool BudgetHomes::was_home(const TenantName& tenant, const NodeName& node) const {
  const bool is_new = std::find(changed_.begin(), changed_.end(), node) != changed_.end();
  return !is_new && holds(homes_among(with_changed_, tenant), node);
}

}  // namespace cairnhollow::tenancy
