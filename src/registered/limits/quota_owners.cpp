#include "registered/limits/quota_owners.h"

#include <algorithm>

#include "registered/limits/owner_share.h"

namespace cairnhollow::registered::limits {

namespace {

std::vector<subset::ProxyPointer> owners_among(const subset::SubsetTable& table, const LimitKey& key,
                                               std::size_t count) {
  return table.serving(GroupName(kind_name(key.kind) + (" " + key.name)), static_cast<std::uint32_t>(count));
}

bool contains(const std::vector<subset::ProxyPointer>& proxies, const NodeName& node) {
  return std::any_of(proxies.begin(), proxies.end(),
                     [&](const subset::ProxyPointer& proxy) { return proxy->name == node; });
}

std::vector<subset::ProxyPointer> union_of(const std::vector<subset::ProxyPointer>& accepting,
                                           const std::vector<subset::ProxyPointer>& changed) {
  std::map<NodeName, subset::ProxyPointer> by_name;
  for (const auto& proxy : accepting) by_name.emplace(proxy->name, proxy);
  for (const auto& proxy : changed) by_name.emplace(proxy->name, proxy);
  std::vector<subset::ProxyPointer> result;
  result.reserve(by_name.size());
  for (const auto& [name, proxy] : by_name) result.push_back(proxy);
  return result;
}

}  // namespace

QuotaOwners::QuotaOwners(const std::vector<subset::ProxyPointer>& accepting,
                         const std::vector<subset::ProxyPointer>& changed, std::size_t tenant_owners)
    : accepting_(accepting),
      accepting_or_changed_(union_of(accepting, changed)),
      tenant_owners_(tenant_owners) {
  for (const auto& proxy : changed) {
    changed_.insert(proxy->name);
    has_departures_ = has_departures_ || !contains(accepting, proxy->name);
  }
}

const std::vector<subset::ProxyPointer>& QuotaOwners::owners_of(const LimitKey& key) const {
  const auto [owners, inserted] = owners_.try_emplace(key);
  if (inserted) owners->second = owners_among(accepting_, key, owner_count(key.kind));
  return owners->second;
}

bool QuotaOwners::is_owner(const LimitKey& key, const NodeName& node) const {
  return contains(owners_of(key), node);
}

bool QuotaOwners::remained_owner(const LimitKey& key, const NodeName& node) const {
  return changed_.count(node) == 0 &&
         contains(owners_among(accepting_or_changed_, key, owner_count(key.kind)), node);
}

}  // namespace cairnhollow::registered::limits
