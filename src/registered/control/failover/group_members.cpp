// GroupKeeper's part for the members of groups: which lives left, and whether those who stayed hold what they
// held.
#include <algorithm>

#include "registered/control/failover/group_keeper.h"
#include "registered/control/knobs.h"

namespace cairnhollow::registered::control {

namespace {

bool any_tells_birth(const std::set<registry::BackendIncarnation>& members) {
  return std::any_of(members.begin(), members.end(), [](const auto& member) { return member.born_ms != 0; });
}

}  // namespace

void GroupKeeper::watch_all_members() {
  if (watched_revision_ == fleet_.revision()) return;
  watched_revision_ = fleet_.revision();
  for (const auto& group : fleet_.groups()) watch_members(group.name);
  std::erase_if(memberships_,
                [this](const auto& entry) { return fleet_.find_group(entry.first) == nullptr; });
}

void GroupKeeper::watch_members(const GroupName& group) {
  std::set<registry::BackendIncarnation> members = fleet_.incarnations_of(group);
  const auto [membership, is_new] = memberships_.try_emplace(group);
  if (is_new) membership->second.left_at = runtime_.now();
  record_members(membership->second, std::move(members));
}

void GroupKeeper::record_members(Membership& membership, std::set<registry::BackendIncarnation> members) {
  if (membership.members == members) return;
  // Lives that ended before the first look are not known of.
  if (membership.members.empty() && any_tells_birth(members)) {
    membership.left_at = runtime_.now();
    membership.unsettled = true;
    membership.was_replaced = true;
  }
  for (const registry::BackendIncarnation& former : membership.members) {
    if (members.count(former) > 0) continue;
    membership.left_at = runtime_.now();
    membership.unsettled = true;
    const auto next = members.lower_bound({former.name, 0});
    const bool replaced = next != members.end() && next->name == former.name;
    // Its next incarnation may come a look later.
    membership.was_replaced = membership.was_replaced || replaced || former.born_ms != 0;
  }
  membership.members = std::move(members);
}

void GroupKeeper::settle_all_members() {
  for (const auto& [group, membership] : memberships_) {
    if (membership.unsettled && settling_.insert(group).second)
      runtime_.spawn("settle_members", settle_members(group));
  }
}

Awaitable<void> GroupKeeper::settle_members(GroupName group) {
  const bool settled = co_await compare_members(group);
  if (!leads()) {
    // Links are for who asks again and again.
    for (const registry::BackendEntry& member : fleet_.backends_of(group)) prober_.close_idle(member.name);
  }
  if (!settled) co_await runtime_.sleep_for(leads() ? kFailoverRetry : kFollowerSettleRetry);
  settling_.erase(group);
  wake_.notify_all();
}

Awaitable<bool> GroupKeeper::compare_members(GroupName group) {
  const auto term = term_of(group);
  const registry::BackendEntry* primary = term ? fleet_.find_backend(term->primary) : nullptr;
  const TimePoint left_at = memberships_[group].left_at;
  if (primary == nullptr) co_return false;
  const registry::BackendEntry entry = *primary;
  Reason reason;
  const auto leading = co_await prober_.ask(entry, runtime_.now() + kStatusTimeout, reason);
  if (term->is_restarted_primary(entry) || is_dead(leading, *term)) co_return false;
  const auto findings = co_await prober_.ask_all(fleet_.backends_of(group));
  const bool held = std::any_of(findings.begin(), findings.end(), [&](const MemberFinding& member) {
    return member.entry.name != term->primary && !member.entry.leaving && member.status &&
           member.status->received >= leading->received;
  });
  const auto membership = memberships_.find(group);
  if (held && membership != memberships_.end() && membership->second.left_at == left_at) {
    membership->second.unsettled = false;
    membership->second.was_replaced = false;
  }
  co_return held;
}

bool GroupKeeper::are_members_settled(const GroupName& group) const {
  const auto found = memberships_.find(group);
  if (found == memberships_.end() || found->second.unsettled) return false;
  return runtime_.now() - found->second.left_at > kMembersSettleTime;
}

}  // namespace cairnhollow::registered::control
