#include "registered/limits/quota_owners.h"

#include <algorithm>

#include "registered/limits/owner_share.h"

namespace cairnhollow::registered::limits {

namespace {

std::vector<subset::ProxyPointer> owners_among(const subset::SubsetTable& table, const LimitedName& limited) {
  return table.serving(GroupName(kind_name(limited.kind) + (" " + limited.name)),
                       static_cast<std::uint32_t>(kQuotaOwners));
}

bool holds(const std::vector<subset::ProxyPointer>& proxies, const NodeName& node) {
  return std::any_of(proxies.begin(), proxies.end(),
                     [&](const subset::ProxyPointer& proxy) { return proxy->name == node; });
}

std::vector<subset::ProxyPointer> united(const std::vector<subset::ProxyPointer>& takers,
                                         const std::vector<subset::ProxyPointer>& changed) {
  std::map<NodeName, subset::ProxyPointer> by_name;
  for (const auto& proxy : takers) by_name.emplace(proxy->name, proxy);
  for (const auto& proxy : changed) by_name.emplace(proxy->name, proxy);
  std::vector<subset::ProxyPointer> both;
  both.reserve(by_name.size());
  for (const auto& [name, proxy] : by_name) both.push_back(proxy);
  return both;
}

}  // namespace

QuotaOwners::QuotaOwners(const std::vector<subset::ProxyPointer>& takers,
                         const std::vector<subset::ProxyPointer>& changed)
    : takers_(takers), with_changed_(united(takers, changed)) {
  for (const auto& proxy : changed) changed_.insert(proxy->name);
}

const std::vector<subset::ProxyPointer>& QuotaOwners::of(const LimitedName& limited) const {
  const auto [owners, is_new] = owners_.try_emplace(limited);
  if (is_new) owners->second = owners_among(takers_, limited);
  return owners->second;
}

bool QuotaOwners::is_owner(const LimitedName& limited, const NodeName& node) const {
  return holds(of(limited), node);
}

bool QuotaOwners::was_owner(const LimitedName& limited, const NodeName& node) const {
  return changed_.count(node) == 0 && holds(owners_among(with_changed_, limited), node);
}

}  // namespace cairnhollow::registered::limits
