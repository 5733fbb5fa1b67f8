#include "registered/control/failover/membership_watch.h"

#include <algorithm>

#include "registered/control/failover/primary_check.h"

namespace cairnhollow::registered::control {

namespace {

bool any_tells_birth(const std::set<registry::BackendIncarnation>& members) {
  return std::any_of(members.begin(), members.end(),
                     [](const auto& member) { return member.start_time_ms != 0; });
}

}  // namespace

void Membership::record(std::set<registry::BackendIncarnation> now_members, TimePoint now) {
  if (members == now_members) return;
  // Incarnations that ended before this node began to watch are not known of.
  if (members.empty() && any_tells_birth(now_members)) {
    left_at = now;
    is_unsettled = true;
    was_replaced = true;
  }
  for (const registry::BackendIncarnation& former : members) {
    if (now_members.count(former) > 0) continue;
    left_at = now;
    is_unsettled = true;
    const auto next = now_members.lower_bound({former.name, 0});
    const bool replaced = next != now_members.end() && next->name == former.name;
    // Its next incarnation may register only after it was found gone.
    was_replaced = was_replaced || replaced || former.start_time_ms != 0;
  }
  members = std::move(now_members);
}

void Membership::settle() {
  is_unsettled = false;
  was_replaced = false;
}

bool Membership::is_stable(TimePoint now) const {
  return !is_unsettled && now - left_at > kMembersSettleTime;
}

void MembershipWatch::watch_all() {
  record_all();
  for (const auto& [group, membership] : memberships_) {
    if (membership.is_unsettled && comparing_.insert(group).second)
      runtime_.spawn("settle_members", settle(group));
  }
}

void MembershipWatch::record_all() {
  if (watched_revision_ == fleet_.revision()) return;
  watched_revision_ = fleet_.revision();
  for (const auto& group : fleet_.groups()) watch(group.name);
  std::erase_if(memberships_,
                [this](const auto& entry) { return fleet_.find_group(entry.first) == nullptr; });
}

const Membership& MembershipWatch::watch(const GroupName& group) {
  const auto [membership, is_new] = memberships_.try_emplace(group);
  if (is_new) membership->second.left_at = runtime_.now();
  membership->second.record(fleet_.incarnations_of(group), runtime_.now());
  return membership->second;
}

Awaitable<void> MembershipWatch::settle(GroupName group) {
  const bool is_settled = co_await compare(group);
  if (!terms_.leads()) {
    // Links are kept for who asks again and again.
    for (const registry::BackendEntry& member : fleet_.backends_of(group)) prober_.close_idle(member.name);
  }
  if (!is_settled) co_await runtime_.sleep_for(terms_.leads() ? kFailoverRetry : kFollowerSettleRetry);
  comparing_.erase(group);
  settled_.notify_all();
}

Awaitable<bool> MembershipWatch::compare(GroupName group) {
  const auto term = terms_.find(group);
  const registry::BackendEntry* primary = term ? fleet_.find_backend(term->primary) : nullptr;
  const TimePoint left_at = memberships_[group].left_at;
  if (primary == nullptr) co_return false;
  const registry::BackendEntry entry = *primary;
  Reason reason;
  const auto leading = co_await prober_.ask(entry, runtime_.now() + kStatusTimeout, reason);
  if (term->is_restarted_primary(entry) || !shows_lead_of(leading, *term)) co_return false;
  const auto findings = co_await prober_.ask_all(fleet_.backends_of(group));
  const bool held = std::any_of(findings.begin(), findings.end(), [&](const MemberFinding& member) {
    return member.entry.name != term->primary && !member.entry.leaving && member.status &&
           member.status->received >= leading->received;
  });
  const auto membership = memberships_.find(group);
  // What left meanwhile is not covered by what was asked.
  if (held && membership != memberships_.end() && membership->second.left_at == left_at)
    membership->second.settle();
  co_return held;
}

}  // namespace cairnhollow::registered::control
