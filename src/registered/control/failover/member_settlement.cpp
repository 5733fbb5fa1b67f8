#include "registered/control/failover/member_settlement.h"

#include <algorithm>
#include <utility>

#include "registered/control/failover/primary_check.h"

namespace cairnhollow::registered::control {

using registry::DepartedMember;
using registry::GroupTerm;

registry::BackendEntry departed_entry(const DepartedMember& departed, const GroupName& group) {
  registry::BackendEntry entry;
  entry.name = departed.incarnation.name;
  entry.group = group;
  entry.endpoint = departed.endpoint;
  entry.leaving = true;
  entry.start_time_ms = departed.incarnation.start_time_ms;
  return entry;
}

void MemberSettlement::settle_all() {
  if (!terms_.leads()) return;
  for (const GroupName& group : fleet_.departed().groups()) {
    const registry::GroupRule* rule = fleet_.find_group(group);
    // Without synchronous replicas, the logs of the replicas prove nothing in any case.
    if (rule == nullptr || rule->synchronous_replicas == 0) continue;
    const auto term = terms_.find(group);
    if (term && term->open && running_.insert(group).second) runtime_.spawn("settle_members", settle(group));
  }
}

Awaitable<void> MemberSettlement::settle(GroupName group) {
  const std::size_t unsettled = fleet_.departed().of(group).size();
  Departed ended = co_await find_ended(group);
  const bool all_ended = ended.size() == unsettled;
  bool is_held = false;
  const auto term = terms_.find(group);
  if (!ended.empty() && term && term->open) is_held = co_await has_caught_up_replica(*term);
  if (is_held) co_await terms_.settle(*term, std::move(ended));
  if (!is_held || !all_ended)
    co_await runtime_.sleep_for(all_ended ? kFailoverRetryDelay : kDepartedProbeInterval);
  running_.erase(group);
  settled_.notify_all();
}

Awaitable<MemberSettlement::Departed> MemberSettlement::find_ended(GroupName group) {
  Departed ended;
  const Departed departed = fleet_.departed().of(group);
  for (const DepartedMember& member : departed) {
    bool has_ended = member.has_ended;
    if (!has_ended) has_ended = co_await prober_.has_ended(departed_entry(member, group));
    if (has_ended) ended.push_back(member);
  }
  co_return ended;
}

Awaitable<bool> MemberSettlement::has_caught_up_replica(GroupTerm term) {
  const registry::BackendEntry* primary = fleet_.find_backend(term.primary);
  if (primary == nullptr || term.is_restarted_primary(*primary)) co_return false;
  const registry::BackendEntry entry = *primary;
  Reason reason;
  const auto leading = co_await prober_.query(entry, runtime_.now() + kStatusTimeout, reason);
  if (!is_primary_of(leading, term)) co_return false;
  const auto findings = co_await prober_.query_all(fleet_.backends_of(term.group));
  co_return std::any_of(findings.begin(), findings.end(), [&](const MemberFinding& member) {
    return member.entry.name != term.primary && !member.entry.leaving && member.status &&
           member.status->received >= leading->received;
  });
}

}  // namespace cairnhollow::registered::control
