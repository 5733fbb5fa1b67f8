#include "registered/proxy/group/group_access.h"

#include <chrono>
#include <utility>

namespace cairnhollow::registered::proxy {

GroupAccess::GroupAccess(runtime::Runtime& proxy_runtime, BackendDialer& dialer, GroupName group,
                         const ZoneName& zone, std::shared_ptr<const EvacuatedZones> evacuated,
                         const tenancy::KeyConfirmation* confirmation)
    : runtime(proxy_runtime),
      name(std::move(group)),
      changed(runtime),
      leadership(runtime, changed),
      primary_health(runtime, leadership),
      positions(runtime, changed),
      backends(runtime, dialer, leadership, ConnectionShares(rule, zone), std::move(evacuated)),
      cold(runtime, rule, confirmation),
      evaluator(runtime, leadership, backends, cold, zone) {}

void GroupAccess::set_term(const registry::GroupTerm& term) {
  const TermChange change = leadership.set_term(term);
  if (change.primary_changed) positions.forget();
  primary_health.record_answered();
  if (change.epoch_ended) primary_health.end_epoch();
  changed.notify_all();
}

void GroupAccess::put_backend(const registry::BackendEntry& entry) {
  const BackendChange change = backends.put(entry);
  if (change == BackendChange::kOtherIncarnation && entry.name == term().primary) {
    // The outcome of statements sent to the previous incarnation is unknown, and the positions that it showed
    // do not apply to the new one.
    primary_health.close_pending_links();
    positions.forget();
  }
  if (change != BackendChange::kSame) leadership.record_joined_member();
  changed.notify_all();
}

void GroupAccess::remove_backend(const BackendName& backend) {
  if (backends.remove(backend)) changed.notify_all();
}

bool GroupAccess::is_primary_outside(const locality::PermittedRegions& allowed) const {
  if (allowed.is_unrestricted()) return false;
  const auto primary = backends.open_primary();
  return primary && !allowed.allows(primary->entry.zone);
}

bool GroupAccess::may_read_at_primary(const locality::PermittedRegions* allowed) const {
  const auto primary = backends.open_primary();
  if (!primary) return term().open;
  if (primary->is_off_limits(runtime.now()) || cold.is_reached(*primary)) return false;
  return allowed == nullptr || !is_primary_outside(*allowed);
}

ReadNeed GroupAccess::need_of(const registry::RouteRule& route, const SessionCommit& committed,
                              const locality::PermittedRegions* allowed) {
  ReadNeed need;
  need.primary_only = true;
  need.allowed = allowed;
  if (route.reads == registry::ReadPolicy::kPrimary) return need;
  const TimePoint now = runtime.now();
  const Duration staleness = std::chrono::milliseconds(route.max_staleness_ms);
  positions.record_read(staleness);
  // While the group is open, the next read refreshes the known position at the primary before it is too old,
  // unless the read may not run there or would be refused.
  if (may_read_at_primary(allowed) && positions.needs_refresh(staleness)) return need;
  need.required = positions.history().covering(now - staleness);
  if (!need.required) return need;
  need.required_since = positions.history().first_seen(*need.required).value_or(now);
  if (route.reads == registry::ReadPolicy::kReadYourWrites && committed.position > need.required) {
    need.required = committed.position;
    need.required_since = committed.at;
  }
  need.primary_only = false;
  return need;
}

std::optional<Position> GroupAccess::required_of(const BackendState& backend, const ReadNeed& need) const {
  if (!need.primary_only) return need.required;
  if (!backend.entry.has_start_time() || backend.entry.name != term().primary) return std::nullopt;
  return positions.highest_shown();
}

void GroupAccess::record_replica_answer(BackendState& backend, const ReadNeed& need,
                                        std::optional<Position> shown) const {
  const TimePoint now = runtime.now();
  if (!shown) return backend.lag.record(now - need.required_since, false, now);
  const auto first_seen = positions.history().first_seen(*shown);
  // Newer than any position recorded for the primary: no lag.
  backend.lag.record(first_seen ? now - *first_seen : Duration(0), true, now);
}

}  // namespace cairnhollow::registered::proxy
