#include "registered/capacity/connection_budget.h"

#include <algorithm>

namespace cairnhollow::registered::capacity {

namespace {

/// A backend without a limit on connections is used as one with this many.
constexpr std::uint64_t kUnlimitedConnections = 64;

std::uint64_t for_owners(const ConnectionUsers& users) {
  const std::uint64_t usable = users.usable == 0 ? kUnlimitedConnections : users.usable;
  const std::uint64_t guests = users.guests * kReservedGuestLinks;
  return usable > guests ? usable - guests : 0;
}

/// Returns an owner's limits when all owners share these connections.
LinkLimits share(std::uint64_t connections, std::uint64_t owners) {
  const std::uint64_t part = std::max<std::uint64_t>(connections / std::max<std::uint64_t>(owners, 1), 1);
  return {part > kSpareLinks ? part - kSpareLinks : 1, part};
}

}  // namespace

LinkLimits settled_limits(const ConnectionUsers& users) {
  if (!users.is_owner) return {kGuestLinks, kGuestLinks};
  return share(for_owners(users), users.owners);
}

void ConnectionBudget::set_users(const ConnectionUsers& users, std::uint64_t removed, TimePoint now) {
  if (!started_) started_ = now;
  std::erase_if(lost_, [now](const Lost& lost) { return now >= lost.counted_until; });
  const std::uint64_t part = share(for_owners(users_), users_.owners).maximum;
  if (removed > 0) lost_.push_back({removed * part, now + kLostConnectionsCounted});
  users_ = users;
}

LinkLimits ConnectionBudget::limits(TimePoint now) const {
  const LinkLimits settled = settled_limits(users_);
  if (!started_) return settled;
  const bool is_starting = now < *started_ + kLostConnectionsCounted;
  if (!users_.is_owner) return is_starting ? LinkLimits{kReservedGuestLinks, kReservedGuestLinks} : settled;
  const std::uint64_t all = for_owners(users_);
  std::uint64_t lost = 0;
  for (const Lost& one : lost_) lost += now < one.counted_until ? one.links : 0;
  std::uint64_t left = all > lost ? all - lost : 0;
  if (is_starting) left = std::min(left, all / kStartDivisor);
  const LinkLimits limits = share(left, users_.owners);
  return {std::min(limits.kept, settled.kept), std::min(limits.maximum, settled.maximum)};
}

}  // namespace cairnhollow::registered::capacity
