#include "registered/scheduling/fair_shares.h"

#include <algorithm>

namespace cairnhollow::registered::scheduling {

ShareLevel level_of(const SlotRequest& request) {
  return {!request.in_transaction, request.route_priority, request.tenant_priority};
}

Duration FairShares::start_tag(const ShareLevel& level, const TenantName& tenant) const {
  const auto found = levels_.find(level);
  if (found == levels_.end()) return Duration(0);
  const auto next = found->second.next.find(tenant);
  if (next == found->second.next.end()) return found->second.clock;
  return std::max(found->second.clock, next->second);
}

void FairShares::charge(const ShareLevel& level, const TenantName& tenant, Duration cost) {
  const Duration start = start_tag(level, tenant);
  Level& charged = levels_[level];
  charged.clock = start;
  charged.next[tenant] = start + cost;
  std::erase_if(charged.next, [&](const auto& entry) { return entry.second <= charged.clock; });
}

void FairShares::refund(const ShareLevel& level, const TenantName& tenant, Duration cost) {
  const auto found = levels_.find(level);
  if (found == levels_.end()) return;
  const auto next = found->second.next.find(tenant);
  if (next != found->second.next.end()) next->second -= cost;
}

}  // namespace cairnhollow::registered::scheduling
