#include "registered/capacity/connection_budget.h"

#include <algorithm>

namespace cairnhollow::registered::capacity {

namespace {

/// A backend without a limit on connections is used as one with this many.
constexpr std::uint64_t kUnlimitedConnections = 64;

std::uint64_t for_owners(const ConnectionUsers& users) {
  const std::uint64_t usable = users.usable == 0 ? kUnlimitedConnections : users.usable;
  const std::uint64_t guests = users.guests * kGuestLinks;
  return usable > guests ? usable - guests : 0;
}

/// Returns one owner's part, at least 1.
std::uint64_t part_of(std::uint64_t connections, const ConnectionUsers& users) {
  return std::max<std::uint64_t>(connections / std::max<std::uint64_t>(users.owners, 1), 1);
}

}  // namespace

LinkLimits settled_limits(const ConnectionUsers& users) {
  if (!users.is_owner) return {kGuestLinks, kGuestLinks};
  const std::uint64_t connections = for_owners(users);
  const std::uint64_t takeover = connections / kTakeoverDivisor;
  const std::uint64_t kept = part_of(connections - takeover, users);
  return {kept, std::max(kept, part_of(connections - takeover + takeover / kTransactionDivisor, users))};
}

LinkLimits takeover_limits(const ConnectionUsers& users) {
  if (!users.is_owner) return {kGuestLinks, kGuestLinks};
  const std::uint64_t kept = part_of(for_owners(users) / kTakeoverDivisor, users);
  return {kept, kept};
}

void ConnectionBudget::set_users(const ConnectionUsers& users, bool owners_changed, TimePoint now) {
  if (owners_changed) {
    const LinkLimits before = limits(now);
    const bool was_owner = users_.is_owner;
    const LinkLimits begins = was_owner ? settled_limits(users) : takeover_limits(users);
    until_settled_ =
        was_owner ? LinkLimits{std::min(before.kept, begins.kept), std::min(before.maximum, begins.maximum)}
                  : begins;
    settled_at_ = now + kLostConnectionsCounted;
  }
  users_ = users;
}

LinkLimits ConnectionBudget::limits(TimePoint now) const {
  const LinkLimits settled = settled_limits(users_);
  if (now >= settled_at_) return settled;
  return {std::min(until_settled_.kept, settled.kept), std::min(until_settled_.maximum, settled.maximum)};
}

}  // namespace cairnhollow::registered::capacity
