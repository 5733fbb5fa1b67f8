#include "registered/control/failover/membership_watch.h"

#include <algorithm>

#include "registered/control/failover/primary_check.h"

namespace cairnhollow::registered::control {

namespace {

bool any_reports_start_time(const std::set<registry::BackendIncarnation>& members) {
  return std::any_of(members.begin(), members.end(),
                     [](const auto& member) { return member.start_time_ms != 0; });
}

}  // namespace

void Membership::record(std::set<registry::BackendIncarnation> current_members, TimePoint now) {
  if (members == current_members) return;
  // Incarnations that ended before this node started watching are unknown to it.
  if (members.empty() && any_reports_start_time(current_members)) {
    last_departure = now;
    is_unsettled = true;
    was_replaced = true;
  }
  for (const registry::BackendIncarnation& former : members) {
    if (current_members.count(former) > 0) continue;
    last_departure = now;
    is_unsettled = true;
    const auto next = current_members.lower_bound({former.name, 0});
    const bool replaced = next != current_members.end() && next->name == former.name;
    // The next incarnation may register only after this removal was seen.
    was_replaced = was_replaced || replaced || former.start_time_ms != 0;
  }
  members = std::move(current_members);
}

void Membership::settle() {
  is_unsettled = false;
  was_replaced = false;
}

bool Membership::is_stable(TimePoint now) const {
  return !is_unsettled && now - last_departure > kMembersSettleTime;
}

void MembershipWatch::update_all() {
  record_all();
  for (const auto& [group, membership] : memberships_) {
    if (membership.is_unsettled && comparing_.insert(group).second)
      runtime_.spawn("settle_members", settle(group));
  }
}

void MembershipWatch::record_all() {
  if (watched_revision_ == fleet_.revision()) return;
  watched_revision_ = fleet_.revision();
  for (const auto& group : fleet_.groups()) update(group.name);
  std::erase_if(memberships_,
                [this](const auto& entry) { return fleet_.find_group(entry.first) == nullptr; });
}

const Membership& MembershipWatch::update(const GroupName& group) {
  const auto [membership, is_new] = memberships_.try_emplace(group);
  if (is_new) membership->second.last_departure = runtime_.now();
  membership->second.record(fleet_.incarnations_of(group), runtime_.now());
  return membership->second;
}

Awaitable<void> MembershipWatch::settle(GroupName group) {
  const bool is_settled = co_await compare(group);
  if (!terms_.leads()) {
    // Idle connections are kept only for the leader, which queries often.
    for (const registry::BackendEntry& member : fleet_.backends_of(group)) prober_.close_idle(member.name);
  }
  if (!is_settled)
    co_await runtime_.sleep_for(terms_.leads() ? kFailoverRetryDelay : kFollowerComparisonInterval);
  comparing_.erase(group);
  settled_.notify_all();
}

Awaitable<bool> MembershipWatch::compare(GroupName group) {
  const auto term = terms_.find(group);
  const registry::BackendEntry* primary = term ? fleet_.find_backend(term->primary) : nullptr;
  const TimePoint last_departure = memberships_[group].last_departure;
  if (primary == nullptr) co_return false;
  const registry::BackendEntry entry = *primary;
  Reason reason;
  const auto leading = co_await prober_.query(entry, runtime_.now() + kStatusTimeout, reason);
  if (term->is_restarted_primary(entry) || !is_primary_of(leading, *term)) co_return false;
  const auto findings = co_await prober_.query_all(fleet_.backends_of(group));
  const bool caught_up = std::any_of(findings.begin(), findings.end(), [&](const MemberFinding& member) {
    return member.entry.name != term->primary && !member.entry.leaving && member.status &&
           member.status->received >= leading->received;
  });
  const auto membership = memberships_.find(group);
  // A member that left during the queries is not covered by their answers.
  if (caught_up && membership != memberships_.end() && membership->second.last_departure == last_departure)
    membership->second.settle();
  co_return caught_up;
}

}  // namespace cairnhollow::registered::control
