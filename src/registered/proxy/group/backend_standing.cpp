#include "registered/proxy/group/backend_standing.h"

#include <algorithm>

#include "registered/balancing/expected_completion.h"
#include "registered/placement/retry_after.h"

namespace cairnhollow::registered::proxy {

placement::BackendFacts BackendEvaluator::facts_of(const BackendState& backend,
                                                   const PlacementRequest& request) const {
  const TimePoint now = runtime_.now();
  const registry::GroupTerm& term = leadership_.term();
  const auto& leaving_since = backend.leaving_since;
  placement::BackendFacts facts;
  facts.name = backend.entry.name.value;
  facts.is_primary = backend.entry.name == term.primary;
  facts.of_closed_term = facts.is_primary && (!term.open || backends_.is_primary_restarted());
  facts.leaving = backend.entry.leaving;
  facts.leaving_grace_expired = leaving_since && now - *leaving_since > kLeavingPrimaryGrace;
  // A primary in an evacuated zone stays in use for a grace period, so that control can fail over while it
  // still runs.
  facts.transaction_grace_expired = backend.is_off_limits(now);
  facts.zone_evacuated = facts.is_primary ? facts.transaction_grace_expired : backend.is_evacuated();
  if (facts.zone_evacuated) facts.retry_after = placement::kRetryAfterEvacuation;
  facts.tried = request.tried != nullptr && request.tried->count(backend.entry.name) > 0;
  facts.avoided = backend.avoid_until > now || backend.ejection.is_active(now);
  facts.refused = backend.pool.is_refused();
  facts.cold_limit_reached = cold_.is_reached(backend);
  if (facts.cold_limit_reached) facts.retry_after = backend.cold_limit_reached_until - now;
  if (request.allowed != nullptr) facts.region_allowed = request.allowed->allows(backend.entry.zone);
  if (!facts.region_allowed) facts.retry_after = placement::kRetryAfterOutsideRegions;
  if (request.need == nullptr || request.need->primary_only) return facts;
  facts.lags = !facts.is_primary && backend.lag.at(now) > now - request.need->required_since;
  facts.cost = cost_of(backend);
  return facts;
}

GroupFacts BackendEvaluator::facts(const PlacementRequest& request) const {
  GroupFacts facts;
  for (const auto& [name, backend] : backends_.all()) facts.push_back(facts_of(*backend, request));
  return facts;
}

std::shared_ptr<BackendState> BackendEvaluator::primary() const {
  auto candidate = backends_.open_primary();
  if (!candidate) return nullptr;
  const placement::BackendFacts facts = facts_of(*candidate, {});
  return placement::may_lead(facts) && !facts.zone_evacuated ? candidate : nullptr;
}

bool BackendEvaluator::has_other_reader(const ReadNeed& need, const BackendState& backend) const {
  return has_other_reader(PlacementRequest{&need, nullptr, need.allowed}, backend);
}

bool BackendEvaluator::has_other_reader(const PlacementRequest& request, const BackendState& backend) const {
  GroupFacts others = facts(request);
  for (placement::BackendFacts& other : others)
    other.tried = other.tried || other.name == backend.entry.name.value;
  return placement::has_other_reader(request.need->primary_only, others);
}

void BackendEvaluator::record_latency(BackendState& backend, Duration took) {
  const double took_ms = std::chrono::duration<double, std::milli>(took).count();
  group_latency_.record(took_ms);
  backend.latency.record(took_ms, group_latency_.ms(), runtime_.now());
}

void BackendEvaluator::record_outcome(BackendState& backend, bool failed) {
  backend.outcomes.record(failed);
  if (!failed) return;
  balancing::OutcomeCounts peers;
  for (const auto& [name, other] : backends_.all()) {
    if (other.get() != &backend) peers += other->outcomes.counts();
  }
  if (balancing::is_outlier(backend.outcomes.counts(), peers)) eject(backend, peers);
}

void BackendEvaluator::eject(BackendState& backend, const balancing::OutcomeCounts& peers) {
  const TimePoint now = runtime_.now();
  const auto& all = backends_.all();
  const auto ejected = std::count_if(
      all.begin(), all.end(), [now](const auto& entry) { return entry.second->ejection.is_active(now); });
  if (backend.ejection.is_active(now)) return;
  if (!balancing::may_eject(static_cast<std::size_t>(ejected), all.size())) return;
  backend.ejection.begin(now);
  const balancing::OutcomeCounts counts = backend.outcomes.counts();
  backend.outcomes.clear();
  runtime_.logger().log(runtime::LogLevel::kWarning, "backend_ejected",
                        {{"group", backend.entry.group.value},
                         {"backend", backend.entry.name.value},
                         {"failures", std::to_string(counts.failures)},
                         {"outcomes", std::to_string(counts.outcomes)},
                         {"peer_failures", std::to_string(peers.failures)},
                         {"peer_outcomes", std::to_string(peers.outcomes)},
                         {"for_ms", std::to_string(in_ms(backend.ejection.until() - now))}});
}

double BackendEvaluator::cost_of(const BackendState& backend) const {
  balancing::ReadCandidate candidate;
  candidate.latency_ms = backend.latency.at(runtime_.now(), group_latency_.ms());
  candidate.pending = backend.gate.running() + backend.gate.waiting();
  candidate.slots = backend.entry.slots;
  if (backend.entry.zone != zone_) candidate.way = balancing::Way::kOtherZone;
  if (backend.in_other_region) candidate.way = balancing::Way::kOtherRegion;
  candidate.is_primary = backend.entry.name == leadership_.term().primary;
  return balancing::expected_completion_ms(candidate) + (cold_.is_cold(backend) ? kColdCostMs : 0);
}

}  // namespace cairnhollow::registered::proxy
